"""Tests of godwitrack.settings."""

import pathlib

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from godwitrack.exceptions import SettingsError
from godwitrack.settings import OPTIONS, Settings, load_settings

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


def read_example():
    return yaml.safe_load((EXAMPLES / "ljusgemenskapen" / "node.yaml").read_text())


@pytest.mark.parametrize("name", ["ljusgemenskapen", "hinokuni"])
def test_example_settings_are_valid(name):
    settings = load_settings(EXAMPLES / name / "node.yaml")
    assert settings.get("backend.connections") == 260


@pytest.mark.parametrize(
    ("section", "key", "value", "expected"),
    [
        ("node", "colour", "red", "node.colour: unknown key"),
        ("node", "name", "Upper", "node.name: expected lower-case"),
        ("node", "name", 7, "node.name: expected lower-case"),
        ("listen", "callers", "localhost:80", "listen.callers: expected an IP"),
        ("listen", "callers", "1.2.3.4:99999", "listen.callers: expected an IP"),
        ("listen", "callers", "1.2.3.400:80", "listen.callers: expected an IP"),
        ("links", "secret", "short", "links.secret: expected at least 16"),
        ("links", "silence_ms", 0, "links.silence_ms: expected a whole number"),
        ("links", "silence_ms", True, "links.silence_ms: expected a whole number"),
        ("logs", "request_share", 2, "logs.request_share: expected a number"),
        ("logs", "form", "xml", "logs.form: expected one of json, console"),
        ("peers", "seeds", "127.0.0.1:1", "peers.seeds: expected a list"),
        ("platform", "tables", "ftp://x", "platform.tables: expected a URL"),
    ],
)
def test_error_names_the_invalid_setting(section, key, value, expected):
    data = read_example()
    data.setdefault(section, {})[key] = value
    with pytest.raises(SettingsError, match="node.yaml") as caught:
        Settings(data, "node.yaml")
    assert expected in str(caught.value)


def test_error_names_the_missing_setting():
    data = read_example()
    del data["node"]["region"]
    with pytest.raises(SettingsError, match=r"x: node\.region: missing"):
        Settings(data, "x")


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (None, "can't be read"),
        (b"node: [", "not YAML"),
        (b"\xff\xfe\x00", "UTF-8"),
        (b"just text", "expected a mapping of sections"),
        (b"node: 3", "node: expected a mapping of keys"),
    ],
)
def test_error_names_the_file_without_valid_settings(tmp_path, content, expected):
    path = tmp_path / "node.yaml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError, match=expected) as caught:
        load_settings(path)
    assert str(path) in str(caught.value)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.sampled_from(OPTIONS), VALUES)
def test_any_value_is_accepted_or_the_error_says_what_was_expected(option, value):
    data = read_example()
    section, _, key = option.path.partition(".")
    data.setdefault(section, {})[key] = value
    try:
        Settings(data, "x")
    except SettingsError as error:
        assert str(error).startswith(f"x: {option.path}: expected")
