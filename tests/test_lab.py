"""Tests of the lab: checks of scenario files and traces, and a replay."""

import pathlib
import socket
import subprocess
import sys

import pytest

from godwitrack.exceptions import SettingsError
from godwitrack.plans import RequestClass
from godwitrack_lab.deployment import find_ports
from godwitrack_lab.replay import Replay, read_trace
from godwitrack_lab.scenario import Scenario
from godwitrack_lab.simulation import PRODUCT_POLICY

TRACES = pathlib.Path(__file__).parents[1] / "examples" / "traces"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("- 1", "expected a mapping"),
        ("colour: red", "colour: unknown key"),
        ("name: [", "not YAML"),
    ],
)
def test_an_invalid_scenario_is_refused_with_path_and_key(tmp_path, text, expected):
    path = tmp_path / "wrong.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected) as caught:
        Scenario(path)
    assert str(path) in str(caught.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "no requests"),
        ("{", "line 1: not JSON"),
        ("{}", "line 1: at: missing"),
        ("7", "line 1: at: missing"),
    ],
)
def test_an_invalid_trace_is_refused_with_line_and_field(tmp_path, text, expected):
    path = tmp_path / "wrong.jsonl"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected):
        read_trace(path)


@pytest.mark.parametrize("name", ["ljusgemenskapen", "hinokuni"])
def test_the_example_traces_are_valid(name):
    assert len(read_trace(TRACES / f"{name}.jsonl")) > 100


@pytest.mark.parametrize("name", ["ljusgemenskapen", "hinokuni"])
def test_a_noisy_customer_does_not_slow_down_the_others(name):
    """The others' interactive p99 stays within 1.2 times that without the fault."""
    trace = TRACES / f"{name}.jsonl"
    replay = Replay(trace, copies=10, service_ms=20.0)
    without_fault = replay.simulate(PRODUCT_POLICY, "none")
    noisy = replay.simulate(PRODUCT_POLICY, "noisy")
    checked = 0
    for before, after in zip(without_fault.flows, noisy.flows, strict=True):
        is_interactive = before.request_class is RequestClass.INTERACTIVE
        if is_interactive and before.customer != replay.get_noisy_customer():
            assert after.get_percentile_ms(99) <= 1.2 * before.get_percentile_ms(99)
            checked += 1
    assert checked > 2


def test_found_ports_stay_free_until_they_are_bound():
    """Guards against nodes that find their ports taken by other listeners.

    Of 3,000 draws of nine ports, 23 lost one to the next six listeners.
    """
    for _ in range(500):
        ports = set(find_ports(9))
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(6)]
        taken = {listener.getsockname()[1] for listener in listeners}
        for listener in listeners:
            listener.close()
        assert len(ports) == 9
        assert not ports & taken


def test_two_processes_find_different_ports():
    script = "from godwitrack_lab.deployment import find_ports; print(*find_ports(400))"
    own = set(find_ports(400))
    command = [sys.executable, "-c", script]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert not own & {int(port) for port in output.split()}
