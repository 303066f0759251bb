"""Tests of explain-change: the way of a revision of the routes, from logs."""

import json

import pytest

from godwitrack_ctl.cmdline import EXIT_USAGE, main

REVISION = 17


def make_line(second, node, event, **fields):
    time = f"2026-12-06T06:13:{second:06.3f}Z"
    return json.dumps({"event": event, "node": node, "timestamp": time, **fields})


def make_read(second, node, source, received_bytes, patches, table="OPERATORS"):
    fields = {"source": source, "received_bytes": received_bytes, "patches": patches}
    return make_line(second, node, "table changed", table=table, **fields)


LINES = [
    make_read(40.1, "a-1", "store", 832707, 0),
    make_line(40.11, "a-1", "routes in force", revision=REVISION),
    make_read(40.2, "a-2", "10.1.0.3:7620", 505, 1),
    # The fleet's table is another matter.
    make_read(40.21, "a-2", "10.1.0.3:7620", 99, 0, table="FLEET"),
    "40.21 a-2 " + make_line(40.21, "a-2", "routes in force", revision=REVISION),
    make_line(41.61, "b-1", "routes in force", revision=REVISION),
    # A restart later on.
    make_line(55.0, "a-1", "routes in force", revision=REVISION),
    make_line(39.0, "b-1", "routes in force", revision=REVISION - 1),
    "routes in force",
    '{"event": "routes in force", "timestamp": "never"}',
]


def explain(tmp_path, *arguments):
    path = tmp_path / "nodes.log"
    path.write_text("\n".join(LINES))
    return main(["explain-change", f"--logs={path}", *arguments])


def test_the_way_of_a_change_is_shown(tmp_path, capsys):
    assert explain(tmp_path, f"--revision={REVISION}") == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split() for line in lines[1:4]] == [
        ["06:13:40.110", "0.00", "s", "a-1", "store", "832707", "0"],
        ["06:13:40.210", "0.10", "s", "a-2", "10.1.0.3:7620", "505", "1"],
        ["06:13:41.610", "1.50", "s", "b-1", "?", "?", "?"],
    ]
    assert lines[4] == (
        "revision 17: in force at 3 nodes, half of them 0.10 s and the last one 1.50 s "
        "after the first; 1 of them read the store"
    )


def test_the_way_of_a_change_is_printed_as_json(tmp_path, capsys):
    assert explain(tmp_path, f"--revision={REVISION}", "--json") == 0
    nodes = json.loads(capsys.readouterr().out)["nodes"]
    assert [node["node"] for node in nodes] == ["a-1", "a-2", "b-1"]


@pytest.mark.parametrize("arguments", [(), ("--revision=4",), ("--revision=x",)])
def test_a_revision_that_the_logs_lack_is_a_usage_error(tmp_path, capsys, arguments):
    assert explain(tmp_path, *arguments) == EXIT_USAGE
    assert "explain-change: " in capsys.readouterr().err
