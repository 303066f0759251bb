"""The command line of the operators' client."""

import os
import sys

from absl import flags

from godwitrack.exceptions import GodwitrackError, SettingsError
from godwitrack_ctl.client import NodeClient
from godwitrack_ctl.commands import EXIT_FAILED, Commands

EXIT_USAGE = 2
NODE_VARIABLE = "GODWITRACK_NODE"
TOKEN_VARIABLE = "GODWITRACK_TOKEN"
DEFAULT_NODE = "127.0.0.1:9001"

# Flag name: (type, default value, help text).
FLAGS = {
    "node": ("string", None, f"Operators' port of any node; or ${NODE_VARIABLE}."),
    "token_file": ("string", None, f"File with the token; or ${TOKEN_VARIABLE}."),
    "json": ("bool", False, "Print JSON."),
    "customers": ("string", None, "YAML file with the customers' plans."),
    "plans": ("string", None, "YAML file with what each plan may use."),
    "base": ("integer", None, "Revision that the change is based on."),
    "wait": ("bool", False, "Wait until it is in force at every node."),
    "author": ("string", None, "Name recorded with the change."),
    "name": ("string", None, "Name of the data centre or backend server."),
    "watch": ("positive", None, "Show it again after this many seconds, for ever."),
    "reason": ("string", "", "Reason, for other operators."),
    "customer": ("string", None, "Name of the customer."),
    "service": ("string", None, "Name of the service."),
    "method": ("string", "GET", "HTTP method."),
    "path": ("string", "/", "Path within the service."),
    "request": ("string", None, "Id of the request."),
    "revision": ("integer", None, "Revision of the routes."),
    "logs": ("string", None, "Log files, by commas; standard input by default."),
}
COMMON_FLAGS = ("node", "token_file", "json")


class Command:
    """Describes one subcommand and its flags.

    Attributes:
        method: Name of the method of Commands that runs it.
        flags: Names of the flags it accepts besides COMMON_FLAGS.
        required: Names of the flags that must be given.
        needs_node: Whether it sends requests to a node.
    """

    __slots__ = ("flags", "method", "needs_node", "required")

    def __init__(self, method, flags=(), required=(), needs_node=True):
        self.method = method
        self.flags = flags
        self.required = required
        self.needs_node = needs_node


_LIST_FLAGS = ("customers", "plans")
_ORDER_FLAGS = ("name", "reason", "author", "wait")

COMMANDS = {
    "plans show": Command("show_plans"),
    "plans check": Command("check_plans", _LIST_FLAGS, _LIST_FLAGS, needs_node=False),
    "plans apply": Command(
        "apply_plans", (*_LIST_FLAGS, "base", "author", "wait"), _LIST_FLAGS
    ),
    "data-centre list": Command("list_data_centres"),
    "data-centre take-out": Command("take_out_data_centre", _ORDER_FLAGS, ("name",)),
    "data-centre bring-back": Command(
        "bring_back_data_centre", _ORDER_FLAGS, ("name",)
    ),
    "server list": Command("list_servers"),
    "server take-out": Command("take_out_server", _ORDER_FLAGS, ("name",)),
    "server bring-back": Command("bring_back_server", _ORDER_FLAGS, ("name",)),
    "status": Command("show_status", ("watch",)),
    "explain": Command(
        "explain",
        ("customer", "service", "method", "path"),
        ("customer", "service"),
    ),
    "explain-request": Command(
        "explain_request", ("request", "logs"), ("request",), needs_node=False
    ),
    "explain-change": Command(
        "explain_change", ("revision", "logs"), ("revision",), needs_node=False
    ),
}


def run():
    """Run the client and exit with its status."""
    sys.exit(main(sys.argv[1:]))


def main(arguments):
    """Run one subcommand.

    Args:
        arguments: Command-line arguments without the program's name.

    Returns:
        Exit status.
    """
    name, rest = _split_command(arguments)
    if name is None:
        is_help = arguments[:1] in (["--help"], ["help"], ["-h"])
        print(_format_command_list(), file=sys.stdout if is_help else sys.stderr)
        return 0 if is_help else EXIT_USAGE
    command = COMMANDS[name]
    if "--help" in rest or "-h" in rest:
        print(_format_command_help(name, command))
        return 0
    try:
        values = _parse_flags(name, command, rest)
        client = _make_client(values) if command.needs_node else None
    except (flags.Error, SettingsError) as error:
        print(f"godwitrack {name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    return _run_command(name, command, values, client)


def _run_command(name, command, values, client):
    commands = Commands(values, client)
    try:
        return getattr(commands, command.method)()
    except SettingsError as error:
        print(f"godwitrack {name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    except GodwitrackError as error:
        print(f"godwitrack {name}: {error}", file=sys.stderr)
        return EXIT_FAILED


def _split_command(arguments):
    for count in (2, 1):
        name = " ".join(arguments[:count])
        if name in COMMANDS:
            return name, arguments[count:]
    return None, arguments


def _parse_flags(name, command, rest):
    values = flags.FlagValues()
    define_functions = {
        "string": flags.DEFINE_string,
        "bool": flags.DEFINE_bool,
        "integer": flags.DEFINE_integer,
        "positive": _define_positive,
    }
    for flag in (*COMMON_FLAGS, *command.flags):
        kind, default, text = FLAGS[flag]
        define_functions[kind](flag, default, text, flag_values=values)
    extra = values([name, *rest])[1:]
    if extra and "name" in command.flags and values.name is None:
        values.name = extra.pop(0)
    if extra:
        raise flags.Error(f"unexpected {extra[0]!r}")
    for flag in command.required:
        if getattr(values, flag) is None:
            raise flags.Error(f"--{flag} is missing")
    return values


def _define_positive(name, default, text, flag_values):
    flags.DEFINE_integer(name, default, text, lower_bound=1, flag_values=flag_values)


def _make_client(values):
    token = os.environ.get(TOKEN_VARIABLE, "")
    if values.token_file:
        try:
            with open(values.token_file, encoding="utf-8") as file:
                token = file.read().strip()
        except OSError as error:
            raise SettingsError(
                f"{values.token_file}: can't be read: {error.strerror}"
            ) from None
    address = values.node or os.environ.get(NODE_VARIABLE, DEFAULT_NODE)
    return NodeClient(address, token)


def _format_command_list():
    lines = ["usage: godwitrack COMMAND [flags]", ""]
    width = max(map(len, COMMANDS))
    for name, command in COMMANDS.items():
        text = getattr(Commands, command.method).__doc__.partition("\n")[0]
        lines.append(f"  {name.ljust(width)}  {text}")
    lines.append("")
    lines.append("godwitrack COMMAND --help lists the flags of a command.")
    return "\n".join(lines)


def _format_command_help(name, command):
    text = getattr(Commands, command.method).__doc__.partition("\n")[0]
    lines = [f"usage: godwitrack {name} [flags]", "", text, ""]
    for flag in (*command.flags, *COMMON_FLAGS):
        suffix = " Required." if flag in command.required else ""
        lines.append(f"  --{flag}  {FLAGS[flag][2]}{suffix}")
    return "\n".join(lines)
