"""One request's way through the nodes, from their logs."""

import json

from godwitrack.exceptions import SettingsError

# Fields that stand on every line and are shown apart.
COMMON_FIELDS = ("component", "event", "level", "node", "request_id", "timestamp")
END_EVENT = "request ended"

# What ended a request, and where its cause is found.
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
        moment: Time of the line, as text that sorts.
        node: Name of the node.
        event: What happened.
        fields: Mapping of the other fields.
    """

    __slots__ = ("event", "fields", "moment", "node")

    def __init__(self, data):
        self.moment = str(data.get("timestamp", ""))
        self.node = str(data.get("node", "?"))
        self.event = str(data.get("event", ""))
        self.fields = {
            name: value
            for name, value in data.items()
            if name not in COMMON_FIELDS and value is not None
        }

    def format(self):
        """Return the line for people."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.moment}  {self.node}  {self.event}  {fields}"


def read_trace(lines, request_id):
    """Return the TraceLines of a request in the order of their times.

    Args:
        lines: Iterable of texts, from any number of nodes; what stands before the
            first brace of a line, and lines that are no JSON, are passed over.
        request_id: Id of the request.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        try:
            data = json.loads(line[line.index("{") :])
        except ValueError:
            continue
        if isinstance(data, dict) and data.get("request_id") == request_id:
            found.append(TraceLine(data))
    return sorted(found, key=lambda item: item.moment)


def explain_end(trace):
    """Return what ended a request, as one text for people.

    Raises:
        SettingsError: The logs do not hold its end.
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
