"""Settings of a node, read from YAML and checked against one table of options."""

import re

import yaml

from godwitrack.address import Address
from godwitrack.exceptions import SettingsError

REQUIRED = object()

NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}$")


class Option:
    """One setting: its path, the values that it accepts and its meaning.

    Attributes:
        path: Dotted path in the settings file, for example "listen.callers".
        parse: Function from the YAML value to the setting; raises a ValueError that
            says what was expected.
        default: Value if the file does not contain the setting, or REQUIRED.
        text: One sentence for the settings reference, with the unit.
    """

    __slots__ = ("default", "parse", "path", "text")

    def __init__(self, path, parse, default, text):
        self.path = path
        self.parse = parse
        self.default = default
        self.text = text


def _parse_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError("expected a non-empty string")
    return value


def _parse_name(value):
    if not isinstance(value, str) or not NAME_PATTERN.match(value):
        raise ValueError("expected lower-case letters, digits, dots and hyphens")
    return value


def _parse_secret(value):
    if len(_parse_text(value)) < 16:
        raise ValueError("expected at least 16 characters")
    return value


def _make_choice_parser(*names):
    def parse(value):
        if value not in names:
            raise ValueError(f"expected one of {', '.join(names)}")
        return value

    return parse


def _make_integer_parser(low, high):
    def parse(value):
        if type(value) is not int or not low <= value <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return value

    return parse


def _make_number_parser(low, high):
    def parse(value):
        if type(value) not in (int, float) or not low <= value <= high:
            raise ValueError(f"expected a number from {low} to {high}")
        return float(value)

    return parse


def _parse_addresses(value):
    if not isinstance(value, list):
        raise ValueError('expected a list of "host:port"')
    return tuple(Address.parse(item) for item in value)


def _parse_url(value):
    if not re.match(r"^https?://[^/\s]+$", str(value)):
        raise ValueError('expected a URL like "http://10.0.0.5:7000"')
    return value


OPTIONS = (
    Option(
        "node.name",
        _parse_name,
        REQUIRED,
        "Name of the backend server, unique for ever.",
    ),
    Option(
        "node.service", _parse_name, REQUIRED, "Service that the backend server runs."
    ),
    Option("node.region", _parse_name, REQUIRED, "Region of the VM."),
    Option("node.data_centre", _parse_name, REQUIRED, "Data centre of the VM."),
    Option("listen.callers", Address.parse, REQUIRED, "Where callers are served."),
    Option("listen.operators", Address.parse, REQUIRED, "Where operators are served."),
    Option("listen.links", Address.parse, REQUIRED, "Where other nodes connect."),
    Option("backend.address", Address.parse, REQUIRED, "The backend server."),
    Option(
        "backend.connections",
        _make_integer_parser(1, 10_000),
        260,
        "Most connections to the backend server, idle and busy.",
    ),
    Option(
        "backend.cold_slots",
        _make_integer_parser(1, 1000),
        1,
        "Most requests at once that a backend server in a cold start bears.",
    ),
    Option(
        "operators.token", _parse_secret, REQUIRED, "Token that operators must show."
    ),
    Option("links.secret", _parse_secret, REQUIRED, "Secret shared by all nodes."),
    Option(
        "links.connect_timeout_ms",
        _make_integer_parser(1, 60_000),
        500,
        "Time allowed to open a link, in ms.",
    ),
    Option(
        "links.silence_ms",
        _make_integer_parser(10, 60_000),
        500,
        "Silence on a busy link after which the other node is asked, in ms.",
    ),
    Option(
        "peers.seeds", _parse_addresses, (), "Links of a few nodes to join through."
    ),
    Option(
        "peers.ping_interval_ms",
        _make_integer_parser(50, 60_000),
        1000,
        "Time between heartbeats to a peer, in ms.",
    ),
    Option(
        "peers.silent_after",
        _make_integer_parser(1, 100),
        3,
        "Heartbeats missed in a row before a peer counts as silent.",
    ),
    Option(
        "peers.control_bytes_per_second",
        _make_integer_parser(500, 1_000_000),
        6000,
        "Most control bytes that the node sends each second.",
    ),
    Option(
        "platform.tables",
        _parse_url,
        REQUIRED,
        "URL of the transactional table service.",
    ),
    Option("platform.objects", _parse_url, REQUIRED, "URL of the object store."),
    Option(
        "platform.timeout_ms",
        _make_integer_parser(10, 60_000),
        2000,
        "Time allowed for one call to the platform, in ms.",
    ),
    Option(
        "platform.fleet_reads_per_second",
        _make_number_parser(0.1, 1000),
        20.0,
        "Reads of the configuration's revision by all nodes together each second.",
    ),
    Option(
        "requests.max_body_bytes",
        _make_integer_parser(0, 2**40),
        2**30,
        "Largest request body, in bytes.",
    ),
    Option(
        "requests.default_deadline_ms",
        _make_integer_parser(1, 600_000),
        10_000,
        "Deadline of a request that names none, in ms.",
    ),
    Option(
        "requests.max_deadline_ms",
        _make_integer_parser(1, 600_000),
        300_000,
        "Longest deadline that a caller may ask for, in ms.",
    ),
    Option(
        "requests.max_depth",
        _make_integer_parser(1, 100),
        17,
        "Longest chain of calls, counted from the first caller.",
    ),
    Option(
        "requests.connections",
        _make_integer_parser(1, 10_000),
        512,
        "Most callers' connections at once.",
    ),
    Option(
        "logs.form",
        _make_choice_parser("json", "console"),
        "json",
        "Form of the log lines.",
    ),
    Option(
        "logs.level",
        _make_choice_parser("debug", "info", "warning", "error"),
        "info",
        "Lowest level that is logged.",
    ),
    Option(
        "logs.request_share",
        _make_number_parser(0, 1),
        0.01,
        "Share of requests written to the request log, from 0 to 1.",
    ),
    Option(
        "stop.timeout_ms",
        _make_integer_parser(0, 3_600_000),
        60_000,
        "Time allowed for requests in flight when the node stops, in ms.",
    ),
    Option(
        "stop.notice_ms",
        _make_integer_parser(0, 60_000),
        1500,
        "Time between leaving the directory and refusing new work, in ms.",
    ),
)


class Settings:
    """Validated settings.

    Attributes:
        source: Path of the file, for error messages.
    """

    __slots__ = ("_values", "source")

    def __init__(self, values, source="settings"):
        """Validate a nested mapping against OPTIONS.

        Args:
            values: Mapping of sections, as read from YAML.
            source: Name used in error messages.

        Raises:
            SettingsError: A key is unknown or missing, or its value is invalid.
        """
        self.source = source
        self._values = {}
        values_by_path = _flatten(values, source)
        for option in OPTIONS:
            self._values[option.path] = _read_option(option, values_by_path, source)
        if values_by_path:
            raise SettingsError(f"{source}: {min(values_by_path)}: unknown key")

    def get(self, path):
        """Return the value of a setting.

        Args:
            path: Dotted path of an Option in OPTIONS.
        """
        return self._values[path]

    def get_seconds(self, path):
        """Return a setting in seconds that the file gives in milliseconds."""
        return self._values[path] / 1000.0


def load_settings(path):
    """Load Settings from a YAML file.

    Raises:
        SettingsError: The file can't be read, is not YAML or has an invalid value.
    """
    return Settings(read_yaml(path), str(path))


def read_yaml(path):
    """Return the content of a YAML file.

    Raises:
        SettingsError: The file can't be read or is not YAML.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return yaml.safe_load(file)
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: can't be read: not UTF-8") from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = f" line {mark.line + 1}:" if mark else ""
        problem = getattr(error, "problem", None) or "not YAML"
        raise SettingsError(f"{path}:{line} not YAML: {problem}") from None


def _flatten(values, source):
    if not isinstance(values, dict):
        raise SettingsError(f"{source}: expected a mapping of sections")
    values_by_path = {}
    for section, body in values.items():
        if not isinstance(body, dict):
            raise SettingsError(f"{source}: {section}: expected a mapping of keys")
        for key, value in body.items():
            values_by_path[f"{section}.{key}"] = value
    return values_by_path


def _read_option(option, values_by_path, source):
    if option.path not in values_by_path:
        if option.default is REQUIRED:
            raise SettingsError(f"{source}: {option.path}: missing")
        return option.default
    value = values_by_path.pop(option.path)
    try:
        return option.parse(value)
    except ValueError as error:
        raise SettingsError(
            f"{source}: {option.path}: {error}, not {value!r}"
        ) from None
