"""Answers as raw bytes, most of which are not valid HTTP."""

BODY = b"ok"
LENGTH_LINE = b"Content-Length: 2"
# What makes an answer one of the backend server's own, on the platform.
OWN_LINES = (b"Godwitrack-Request-Id: r1", b"Godwitrack-Server-Signature: signed")


def make_raw_answer(first_line=b"HTTP/1.1 200 OK", lines=(), length_line=LENGTH_LINE):
    """Return an answer with a body of two bytes, line by line as given."""
    head = [first_line, *OWN_LINES, *lines]
    if length_line is not None:
        head.append(length_line)
    return b"\r\n".join(head) + b"\r\n\r\n" + BODY


def make_chunked_answer(line, trailer=b""):
    return make_raw_answer(lines=[line], length_line=None).removesuffix(BODY) + (
        b"2\r\nok\r\n0\r\n" + trailer + b"\r\n"
    )


def make_raw_health(first_line, instance):
    """Return an answer to a health check by which a process leaves service."""
    lines = [first_line, f"Godwitrack-Instance-Id: {instance}".encode()]
    lines += [b"Server-Leaving: 1", b"Content-Length: 0"]
    return b"\r\n".join(lines) + b"\r\n\r\n"


FIRST_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 001": b"HTTP/1.1 001 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status 999": b"HTTP/1.1 999 OK",
    "status of two digits": b"HTTP/1.1 20 OK",
    "status of four digits": b"HTTP/1.1 2000 OK",
    "status with a sign": b"HTTP/1.1 +20 OK",
    "status of letters": b"HTTP/1.1 abc OK",
    "no status": b"HTTP/1.1",
    "two blanks": b"HTTP/1.1  200 OK",
    "lower case": b"http/1.1 200 OK",
    "version 9.9": b"HTTP/9.9 200 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "version 0.9": b"HTTP/0.9 200 OK",
    "ICY": b"ICY 200 OK",
    "ICE": b"ICE/1.0 200 OK",
    "RTSP": b"RTSP/1.0 200 OK",
}
FIELD_LINES = {
    "blank in the name": b"X Y: a",
    "tab in the name": b"X\tY: a",
    "01 in the name": b"X\x01Y: a",
    "00 in the name": b"X\x00Y: a",
    "0b in the name": b"X\x0bY: a",
    "7f in the name": b"X\x7fY: a",
    "e9 in the name": b"X\xe9Y: a",
    "brackets in the name": b"X(Y): a",
    "empty name": b": a",
    "blank before the colon": b"X : a",
    "tab before the colon": b"X\t: a",
    "no colon": b"XY",
    "00 in the value": b"X: a\x00b",
    "01 in the value": b"X: a\x01b",
    "7f in the value": b"X: a\x7fb",
    "bare CR in the value": b"X: a\rb",
    "length with a blank before the colon": b"Content-Length : 3",
    "length with a blank in the name": b"Content Length: 3",
    "coding with a blank before the colon": b"Transfer-Encoding : chunked",
    "coding with a blank in the name": b"Transfer Encoding: chunked",
    "second length": b"Content-Length: 3",
}
LENGTH_LINES = {
    "length with a sign": b"Content-Length: +2",
    "length of letters": b"Content-Length: x",
    "negative length": b"Content-Length: -1",
}
# Each is refused by every reader of answers.
INVALID_ANSWERS = {
    **{name: make_raw_answer(line) for name, line in FIRST_LINES.items()},
    **{name: make_raw_answer(lines=[line]) for name, line in FIELD_LINES.items()},
    **{name: make_raw_answer(length_line=line) for name, line in LENGTH_LINES.items()},
    "blank before the first name": make_raw_answer().replace(b"Godwit", b" Godwit", 1),
    "unknown coding": make_chunked_answer(b"Transfer-Encoding: zip"),
    "blank in the name of a trailer": make_chunked_answer(
        b"Transfer-Encoding: chunked", b"X Y: a\r\n"
    ),
    "no end after a trailer": make_chunked_answer(
        b"Transfer-Encoding: chunked", b"X: a\r\n"
    ).removesuffix(b"\r\n"),
    "switch of the protocol": make_raw_answer(
        b"HTTP/1.1 101 Switching Protocols",
        [b"Connection: upgrade", b"Upgrade: other"],
        length_line=None,
    ),
}
# RFC 9112, 2.2 and 5.2, and RFC 9110, 8.6, let a recipient repair or refuse these.
REPAIRABLE_ANSWERS = {
    "folded line": make_raw_answer(lines=[b"X: a\r\n b"]),
    "bare LF": make_raw_answer().replace(b"\r\n", b"\n"),
    "repeated length": make_raw_answer(length_line=b"Content-Length: 2, 2"),
}
VALID_ANSWERS = {
    "length": make_raw_answer(),
    "no length": make_raw_answer(length_line=None),
    "HTTP/1.0": make_raw_answer(b"HTTP/1.0 200 OK", length_line=None),
    "no reason": make_raw_answer(b"HTTP/1.1 200"),
    "odd reason": make_raw_answer(b"HTTP/1.1 200 \xe9\x01"),
    "all characters of a name": make_raw_answer(lines=[b"!#$%&'*+-.^_`|~09aZ: a"]),
    "empty value": make_raw_answer(lines=[b"X:"]),
    "odd value": make_raw_answer(lines=[b"X:\t a\tb \xe9\xff~ "]),
    "chunks": make_chunked_answer(b"Transfer-Encoding: chunked"),
    "trailer": make_chunked_answer(b"Transfer-Encoding: chunked", b"X: a\r\n"),
    "after 103": b"HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n" + make_raw_answer(),
}
