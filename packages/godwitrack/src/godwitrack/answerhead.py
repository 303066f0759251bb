"""The rules for heads of HTTP answers, whoever reads or writes them.

RFC 9110 has them: statuses in section 15, names of fields in 5.1 and 5.6.2, and their
values in 5.5. An answer that breaks one is no answer: its sender is in trouble, and
where its head and its body end is not known.
"""

import re

from godwitrack.exceptions import HeadError

INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
VALID_STATUSES = range(100, 600)
# No request of a node asks for another protocol.
STATUS_SWITCHING_PROTOCOLS = 101
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: .*)?", re.DOTALL)
NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
INVALID_VALUE_CHARACTER = re.compile(r"[^\t\x20-\x7e\x80-\xff]")
LINE_END = b"\r\n"
MAX_SHOWN_CHARACTERS = 60


def check_status(status):
    """Check the status of an answer, informational or final.

    Args:
        status: Number that the status line holds.

    Raises:
        HeadError: It is no status of HTTP, or switches to another protocol.
    """
    if status not in VALID_STATUSES:
        raise HeadError(f"the status {status:03d} is not within 100 to 599")
    if status == STATUS_SWITCHING_PROTOCOLS:
        raise HeadError(f"the status {status} switches to a protocol not asked for")


def check_field(name, value):
    """Check one field of a head or trailer.

    Args:
        name: Text before the colon.
        value: Text after it, without blanks around.

    Raises:
        HeadError: The name is no token, or the value holds a control character.
    """
    if not NAME.fullmatch(name):
        shown = name[:MAX_SHOWN_CHARACTERS]
        raise HeadError(f"the name of a field is no token: {shown!r}")
    if found := INVALID_VALUE_CHARACTER.search(value):
        shown = name[:MAX_SHOWN_CHARACTERS]
        raise HeadError(f"the value of the field {shown} holds {found[0]!r}")


def check_head(status, headers):
    """Check the head of a final answer.

    Args:
        status: HTTP status.
        headers: List of pairs of texts.

    Raises:
        HeadError: The status is not final, or a field is not valid.
    """
    if status not in FINAL_STATUSES:
        raise HeadError(f"the status {status:03d} is not within 200 to 599")
    for name, value in headers:
        check_field(name, value)


def parse_status_line(line):
    """Return the status in the first line of a head.

    Args:
        line: Bytes with the end of the line.

    Raises:
        HeadError: The line is no status line of HTTP/1, or its status is not valid.
    """
    line = line.rstrip(LINE_END)
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        shown = line[:MAX_SHOWN_CHARACTERS]
        raise HeadError(f"the first line is no status line of HTTP/1: {shown!r}")
    status = int(match[1])
    check_status(status)
    return status


def parse_field_line(line):
    """Return name and value in a line of a head or trailer, as a list of two texts.

    Args:
        line: Bytes with the end of the line.

    Raises:
        HeadError: The line holds no valid field.
    """
    text = line.rstrip(LINE_END).decode("latin-1")
    name, colon, value = text.partition(":")
    if not colon:
        raise HeadError(f"a line has no colon: {text[:MAX_SHOWN_CHARACTERS]!r}")
    value = value.strip(" \t")
    check_field(name, value)
    return [name, value]
