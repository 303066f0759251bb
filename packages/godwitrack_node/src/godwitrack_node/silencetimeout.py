"""How long a node waits for a sign of a call before it queries the other node."""

# Share of the route's latency objective after which silence is unusual.
SILENCE_SHARE = 0.6
MIN_SILENCE_SECONDS = 0.15
# Answers and refusals from another region take several round trips more and wait behind
# bodies on the link between the regions, where each query adds a handshake.
REGIONAL_SECONDS = 0.25


def compute_silence_timeout(objective, is_regional):
    """Return the seconds of silence on a link after which its node is queried.

    Args:
        objective: Latency objective of the route in seconds.
        is_regional: Whether the node is in another region.
    """
    seconds = max(objective * SILENCE_SHARE, MIN_SILENCE_SECONDS)
    return seconds + REGIONAL_SECONDS if is_regional else seconds
