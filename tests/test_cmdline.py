"""Tests of the command lines of the operators' client and of the node."""

import pathlib

import pytest

from godwitrack.exceptions import StoreError
from godwitrack_ctl.cmdline import COMMANDS, main
from godwitrack_ctl.commands import Commands
from godwitrack_node.cmdline import main as run_node

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples" / "ljusgemenskapen"
LISTS = [
    f"--customers={EXAMPLES / 'customers.yaml'}",
    f"--plans={EXAMPLES / 'plans.yaml'}",
]


@pytest.mark.parametrize("name", ["", *COMMANDS])
def test_help(name, capsys, snapshot):
    assert main([*name.split(), "--help"]) == 0
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        ([], 2, "usage"),
        (["nothing"], 2, "usage"),
        (["plans", "check"], 2, "--customers is missing"),
        (["plans", "check", "--colour=red", *LISTS], 2, "colour"),
        (["plans", "check", "--customers=none", "--plans=none"], 2, "none: can't be"),
        (["server", "take-out"], 2, "--name is missing"),
        (["status", "--node=127.0.0.1:1"], 1, "Could not connect"),
        (["status", "--token_file=none"], 2, "none: can't be read"),
        (["status", "--watch=0"], 2, "watch"),
    ],
)
def test_a_command_that_fails_reports_why(arguments, status, text, capsys):
    assert main(arguments) == status
    assert text in capsys.readouterr().err


def test_lists_are_checked_without_a_node(capsys):
    assert main(["plans", "check", *LISTS]) == 0
    assert "good" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("old", "new", "text"),
    [
        ("plan: premium", "plan: none-such", "brand-ask.plan: no plan is named"),
        ("plan: premium", "plan: 7", "brand-ask.plan: 7 is not of type"),
        ("plan: premium", "colour: red", "brand-ask: "),
        ("customers:", "clients:", "customers: expected a mapping"),
    ],
)
def test_an_invalid_list_is_reported_with_its_path(tmp_path, old, new, text, capsys):
    content = (EXAMPLES / "customers.yaml").read_text().replace(old, new, 1)
    path = tmp_path / "customers.yaml"
    path.write_text(content)
    assert main(["plans", "check", f"--customers={path}", LISTS[1]]) == 2
    error = capsys.readouterr().err
    assert str(path) in error
    assert text in error


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["--check", f"--settings={EXAMPLES / 'node.yaml'}"], 0, "good"),
        ([], 2, "usage"),
        (["--settings=none.yaml"], 2, "none.yaml: can't be read"),
        (["--colour=red"], 2, "colour"),
        (["--help"], 0, "godwitrackd"),
    ],
)
def test_the_node_checks_its_command_line(arguments, status, text, capsys):
    assert run_node(["godwitrackd", *arguments]) == status
    output = capsys.readouterr()
    assert text in output.out + output.err


class ScriptedClient:
    """Returns the scripted answers in turn; raises those that are exceptions."""

    def __init__(self, answers):
        self._answers = list(answers)

    def get(self, path, **query):
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Values:
    json = True
    watch = 2


def test_a_watch_continues_while_the_node_is_unreachable():
    waits, texts = [], []

    def sleep(seconds):
        waits.append(seconds)
        if len(waits) == 3:
            raise KeyboardInterrupt

    answers = [{"revision": 1}, StoreError("away"), {"revision": 2}]
    client = ScriptedClient(answers)
    commands = Commands(Values, client, texts.append, sleep)
    assert commands.show_status() == 0
    text = "\n".join(texts)
    assert waits == [2, 2, 2]
    assert text.index('"revision": 1') < text.index("no answer: away")
    assert text.index("no answer: away") < text.index('"revision": 2')
