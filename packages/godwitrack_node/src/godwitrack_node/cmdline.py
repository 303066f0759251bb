"""The command line of godwitrackd."""

import signal
import sys
import threading
import traceback

from absl import flags

from godwitrack.exceptions import SettingsError, StartCancelled, StartError
from godwitrack.logs import configure_logs, get_logger
from godwitrack.settings import load_settings
from godwitrack_node.node import THREAD_STACK_BYTES, Node
from godwitrack_node.processend import end_process

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def run():
    """Run godwitrackd and exit with its exit status; does not return."""
    status = EXIT_FAILED
    try:
        status = main(sys.argv)
    except Exception:
        traceback.print_exc()
    finally:
        end_process(status)


def main(arguments):
    """Run godwitrackd.

    Args:
        arguments: Command line, starting with the program's name.

    Returns:
        Exit status.
    """
    values = _define_flags()
    try:
        rest = values(arguments)
    except flags.Error as error:
        print(f"godwitrackd: {error}", file=sys.stderr)
        return EXIT_USAGE
    if values.help:
        print("godwitrackd, the node beside a backend server\n")
        print(values.main_module_help() or values.get_help(), flush=True)
        return EXIT_DONE
    if len(rest) > 1 or not values.settings:
        print("godwitrackd: usage: godwitrackd --settings=FILE", file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = load_settings(values.settings)
    except SettingsError as error:
        print(f"godwitrackd: {error}", file=sys.stderr)
        return EXIT_USAGE
    if values.check:
        print(f"{values.settings}: good", flush=True)
        return EXIT_DONE
    return _serve(settings)


def _define_flags():
    values = flags.FlagValues()
    flags.DEFINE_string("settings", None, "Settings file, in YAML.", flag_values=values)
    flags.DEFINE_bool(
        "check", False, "Check the settings and start nothing.", flag_values=values
    )
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    return values


def _serve(settings):
    configure_logs(settings.get("logs.form"), settings.get("logs.level"))
    threading.stack_size(THREAD_STACK_BYTES)
    node = Node(settings)
    # The start may wait for ports, and a stop ends that wait.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: node.ask_stop())
    try:
        node.start()
    except StartCancelled as error:
        get_logger("node").info("start cancelled", reason=str(error))
        return EXIT_DONE
    except StartError as error:
        for cause in error.exceptions:
            get_logger("node").error("not started", error=str(cause))
        return EXIT_FAILED
    node.wait_stop()
    return EXIT_FAILED if node.stop() else EXIT_DONE
