"""Tests of the lab: its language and traces refuse what is wrong."""

import pathlib

import pytest

from godwitrack.exceptions import SettingsError
from godwitrack_lab.replay import read_trace
from godwitrack_lab.scenario import Scenario

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
