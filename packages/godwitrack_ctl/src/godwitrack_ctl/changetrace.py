"""Traces one revision of the routes through the hosted nodes by their log lines."""

import datetime
import json
import statistics

from godwitrack.exceptions import SettingsError

IN_FORCE_EVENT = "routes in force"
READ_EVENT = "table changed"
TABLE = "OPERATORS"
COLUMNS = ("in force", "after the first", "node", "source", "bytes", "patches")


class NodeChange:
    """How one node got a revision.

    Attributes:
        time: datetime at which it came into force there.
        node: Name of the node.
        source: "store", the address of the node that it came from, or "?".
        received_bytes: Bytes that it took on the way, or "?".
        patches: Number of patches among them, or "?".
    """

    __slots__ = ("node", "patches", "received_bytes", "source", "time")

    def __init__(self, time, node, read):
        self.time = time
        self.node = node
        self.source = read.get("source", "?")
        self.received_bytes = read.get("received_bytes", "?")
        self.patches = read.get("patches", "?")


def read_change(lines, revision):
    """Return the NodeChanges of a revision in the order of their times.

    Args:
        lines: Iterable of log lines of any number of nodes. Text before the first
            brace of a line is ignored, and lines without JSON are skipped.
        revision: Revision of the routes.
    """
    changes, reads = {}, {}
    for line in lines:
        if READ_EVENT not in line and IN_FORCE_EVENT not in line:
            continue
        try:
            data = json.loads(line[line.index("{") :])
            time = datetime.datetime.fromisoformat(data["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        node = str(data.get("node", "?"))
        if data.get("event") == READ_EVENT and data.get("table") == TABLE:
            reads[node] = data
        elif data.get("event") == IN_FORCE_EVENT and data.get("revision") == revision:
            # A node that restarts has it in force once more.
            changes.setdefault(node, NodeChange(time, node, reads.get(node, {})))
    return sorted(changes.values(), key=lambda change: change.time)


def make_rows(changes):
    """Return the rows of a table with COLUMNS for NodeChanges in order."""
    return [
        (
            change.time.strftime("%H:%M:%S.%f")[:-3],
            f"{_count_seconds(changes[0], change):.2f} s",
            change.node,
            change.source,
            change.received_bytes,
            change.patches,
        )
        for change in changes
    ]


def summarize_change(changes, revision):
    """Return one line about the way of a revision, as the client prints it.

    Raises:
        SettingsError: There are no NodeChanges.
    """
    if not changes:
        raise SettingsError(f"the logs do not hold revision {revision} in force")
    seconds = [_count_seconds(changes[0], change) for change in changes]
    from_store = sum(change.source == "store" for change in changes)
    return (
        f"revision {revision}: in force at {len(changes)} nodes, half of them "
        f"{statistics.median(seconds):.2f} s and the last one {seconds[-1]:.2f} s "
        f"after the first; {from_store} of them read the store"
    )


def _count_seconds(first, change):
    return (change.time - first.time).total_seconds()
