"""Setup of structured logging."""

import logging
import sys

import structlog

from godwitrack.logwriter import ROUTINE_KEY

LEVELS = ("debug", "info", "warning", "error")


def configure_logs(form, level, stream=None, budget=None, node=None):
    """Configure structlog for the whole process.

    Args:
        form: "json" for one JSON object per line, "console" for human readers.
        level: Lowest level that is logged, one of LEVELS.
        stream: Text file to write to; standard error by default.
        budget: LogBudget that limits the lines, or None for no limit.
        node: Name of the node to add to every line, or None.
    """

    def add_node(logger, method, event):
        if node is not None:
            event.setdefault("node", node)
        return event

    if form == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            budget or _drop_routine_mark,
            structlog.contextvars.merge_contextvars,
            add_node,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=True,
    )


def _drop_routine_mark(logger, method, event):
    event.pop(ROUTINE_KEY, None)
    return event


def get_logger(name):
    """Return the logger of a module or service."""
    return structlog.get_logger(component=name)
