"""Tests that the pages say what the code does."""

import pathlib

import pytest

from godwitrack.exceptions import ERROR_ANSWERS
from godwitrack.settings import OPTIONS
from godwitrack_node.requestcounts import COUNTERS, GAUGES

DOCS = pathlib.Path(__file__).parents[1] / "docs"


@pytest.mark.parametrize("option", OPTIONS, ids=lambda option: option.path)
def test_each_setting_is_described(option):
    lines = (DOCS / "OPERATIONS.md").read_text().splitlines()
    assert any(
        line.startswith(f"| `{option.path}` |") and option.text in line
        for line in lines
    )


@pytest.mark.parametrize("kind", ERROR_ANSWERS, ids=lambda kind: kind.value)
def test_each_error_kind_is_described(kind):
    answer = ERROR_ANSWERS[kind]
    words = ["yes" if value else "no" for value in (answer.not_run, answer.repeatable)]
    row = f"| `{kind.value}` | {answer.status} | {' | '.join(words)} |"
    assert row in (DOCS / "CALLERS.md").read_text().splitlines()


@pytest.mark.parametrize("metric", [*COUNTERS, *GAUGES])
def test_each_metric_of_a_hosted_node_is_described(metric):
    page = (DOCS / "OPERATIONS.md").read_text()
    hosted = page.partition("## A hosted node")[2]
    assert f"| `{metric}` |" in hosted
