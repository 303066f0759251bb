"""The rules for heads of HTTP answers, whoever reads or writes them.

RFC 9110 has them. An answer that breaks one is no answer: its sender is in trouble.
"""

from godwitrack.exceptions import HeadError

# RFC 9110, section 15.
VALID_STATUSES = range(100, 600)
STATUS_SWITCHING_PROTOCOLS = 101


def check_status(status):
    """Check the status of an answer, informational or final.

    Args:
        status: Number that the status line holds.

    Raises:
        HeadError: It is no status of HTTP, or one for which no node asks.
    """
    if status not in VALID_STATUSES:
        raise HeadError(f"the status {status:03d} is not within 100 to 599")
    if status == STATUS_SWITCHING_PROTOCOLS:
        raise HeadError(f"the status {status} switches to a protocol not asked for")
