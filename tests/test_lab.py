"""Tests of the lab: its language and traces refuse what is wrong."""

import pathlib

import pytest

from godwitrack.exceptions import SettingsError
from godwitrack.plans import RequestClass
from godwitrack_lab.replay import Replay, read_trace
from godwitrack_lab.scenario import Scenario
from godwitrack_lab.stage import PRODUCT_POLICY

TRACES = pathlib.Path(__file__).parents[1] / "examples" / "traces"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("- 1", "expected a mapping"),
        ("colour: red", "colour: unknown key"),
        ("name: [", "not YAML"),
    ],
)
def test_a_wrong_scenario_is_named(tmp_path, text, expected):
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
def test_a_wrong_trace_is_named(tmp_path, text, expected):
    path = tmp_path / "wrong.jsonl"
    path.write_text(text)
    with pytest.raises(SettingsError, match=expected):
        read_trace(path)


@pytest.mark.parametrize("name", ["ljusgemenskapen", "hinokuni"])
def test_shipped_traces_are_good(name):
    assert len(read_trace(TRACES / f"{name}.jsonl")) > 100


@pytest.mark.parametrize("name", ["ljusgemenskapen", "hinokuni"])
def test_a_noisy_customer_leaves_the_others_their_latency(name):
    """Target: p99 of the others' urgent requests within 1.2 times that in calm."""
    trace = TRACES / f"{name}.jsonl"
    replay = Replay(trace, copies=10, service_ms=20.0)
    calm = replay.play(PRODUCT_POLICY, "none")
    noisy = replay.play(PRODUCT_POLICY, "noisy")
    checked = 0
    for before, after in zip(calm.flows, noisy.flows, strict=True):
        is_urgent = before.request_class is RequestClass.INTERACTIVE
        if is_urgent and before.customer != replay.find_noisy():
            assert after.find_percentile(99) <= 1.2 * before.find_percentile(99)
            checked += 1
    assert checked > 2
