"""Traces one request through the nodes by their log lines."""

import json

from godwitrack.exceptions import SettingsError

# Every line has these fields. The trace shows them in columns or omits them.
COMMON_FIELDS = ("component", "event", "level", "node", "request_id", "timestamp")
END_EVENT = "request ended"

# Error kind of a request: how it ended, and where to look for the cause.
CAUSES = {
    None: "It was answered; the backend server's own status was handed on.",
    "no_room": (
        "It did not run. Each server that was tried refused it; 'call refused' lines "
        "tell what ran and waited there."
    ),
    "no_server": (
        "It did not run. No server of the service could be chosen: all are leaving, "
        "taken out, out of reach or outside the route's regions."
    ),
    "outcome_unknown": (
        "It may have run, and must not be repeated by the node. The last 'call "
        "refused' line tells how the connection to the server ended."
    ),
    "answer_lost": "It ran, and its answer was lost between two nodes.",
    "timeout": "It may have run. Its time was up before the server answered.",
    "unknown_route": (
        "It did not run. No route of the revision shown matched; compare the revision "
        "with the newest one, and its time in force at this node."
    ),
    "not_ready": "It did not run. The node knew no routes yet.",
    "stopping": "It did not run. The node was stopping.",
}
OTHER_CAUSE = "See docs/CALLERS.md for this kind of error."


class TraceLine:
    """One log line of a request.

    Attributes:
        timestamp: Timestamp of the line; sorts as a string.
        node: Name of the node.
        event: Name of the log event.
        fields: Mapping from name to value of the other fields.
    """

    __slots__ = ("event", "fields", "node", "timestamp")

    def __init__(self, data):
        self.timestamp = str(data.get("timestamp", ""))
        self.node = str(data.get("node", "?"))
        self.event = str(data.get("event", ""))
        self.fields = {
            name: value
            for name, value in data.items()
            if name not in COMMON_FIELDS and value is not None
        }

    def format(self):
        """Return the line as the client prints it."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.timestamp}  {self.node}  {self.event}  {fields}"


def read_trace(lines, request_id):
    """Return the TraceLines of a request in the order of their timestamps.

    Args:
        lines: Iterable of log lines of any number of nodes. Text before the first
            brace of a line is ignored, and lines without JSON are skipped.
        request_id: Id of the request.
    """
    trace = []
    for line in lines:
        if request_id not in line:
            continue
        try:
            data = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if isinstance(data, dict) and data.get("request_id") == request_id:
            trace.append(TraceLine(data))
    return sorted(trace, key=lambda trace_line: trace_line.timestamp)


def explain_end(trace):
    """Return how a request ended and why, as the client prints it.

    Raises:
        SettingsError: The logs do not contain the end of the request.
    """
    ends = [line for line in trace if line.event == END_EVENT]
    if not ends:
        raise SettingsError(
            "the logs do not hold the end of this request; add those of the node that "
            "its caller asked"
        )
    end = ends[-1]
    kind = end.fields.get("kind")
    cause = CAUSES.get(kind, OTHER_CAUSE)
    status = end.fields.get("status")
    return f"ended with {status} ({kind or 'answered'}) at {end.node}: {cause}"
