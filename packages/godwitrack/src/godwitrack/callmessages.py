"""Messages of one call between an entry and the guard of a backend server."""

from godwitrack.message import Message


class Call(Message):
    """A request that an entry sends to the guard of the selected backend server.

    The field `request_id` identifies this attempt, `path` includes the query, and
    `deadline_ms` is the time left until the deadline. `depth` is the position in the
    chain of calls, 1 for the first. `is_regional` says whether the two nodes are in
    different regions. `length` is the size of the whole body in bytes, or -1 if it is
    not known, and `more` says whether Chunks with further parts follow.
    """

    TAG = 1
    FIELDS = (
        ("request_id", str),
        ("incarnation", int),
        ("revision", int),
        ("customer", str),
        ("request_class", str),
        ("service", str),
        ("method", str),
        ("path", str),
        ("headers", list),
        ("idempotent", bool),
        ("regions", list),
        ("deadline_ms", float),
        ("depth", int),
        ("retries_left", int),
        ("is_regional", bool),
        ("length", int),
        ("body", bytes),
        ("more", bool),
    )
    __slots__ = tuple(name for name, _ in FIELDS)


class RoutedCall(Message):
    """A request of a host route, sent to the guard of the selected backend server.

    The field `request_id` identifies this attempt, `caller_id` is the id that the
    caller sent, and `incarnation` identifies the start of the node that was selected.
    `objective_ms` is the route's latency objective, counted from the caller's first
    try, and `waited_ms` is how much of it has passed. `is_repeat` says that an earlier
    attempt may have reached a server, or that the run which makes this nested call is
    itself a repeat. `may_move` says that another backend server nearby can serve the
    request. `path`, `deadline_ms`, `is_regional`, `length` and `more` are as in Call.
    """

    TAG = 16
    FIELDS = (
        ("request_id", str),
        ("caller_id", str),
        ("incarnation", int),
        ("revision", int),
        ("service", str),
        ("caller_service", str),
        ("method", str),
        ("path", str),
        ("headers", list),
        ("idempotent", bool),
        ("is_nested", bool),
        ("is_repeat", bool),
        ("may_move", bool),
        ("regions", list),
        ("priority", int),
        ("objective_ms", float),
        ("waited_ms", float),
        ("deadline_ms", float),
        ("is_regional", bool),
        ("length", int),
        ("body", bytes),
        ("more", bool),
    )
    __slots__ = tuple(name for name, _ in FIELDS)


class Chunk(Message):
    """A further part of a body; `more` says whether another part follows."""

    TAG = 2
    FIELDS = (("data", bytes), ("more", bool))
    __slots__ = ("data", "more")


class Refused(Message):
    """An error response sent in place of the backend server's response.

    The field `load` is the Load of the guard's backend server as plain data.
    """

    TAG = 3
    FIELDS = (("kind", str), ("detail", str), ("load", list))
    __slots__ = ("detail", "kind", "load")


class Answer(Message):
    """The head of the backend server's response, with the first part of its body.

    The field `load` is the Load of the guard's backend server as plain data. `length`
    and `more` are as in Call.
    """

    TAG = 4
    FIELDS = (
        ("request_id", str),
        ("status", int),
        ("headers", list),
        ("load", list),
        ("length", int),
        ("body", bytes),
        ("more", bool),
    )
    __slots__ = tuple(name for name, _ in FIELDS)


class Query(Message):
    """Asks for the outcome of a request; fences the request if it has not started."""

    TAG = 5
    FIELDS = (("request_id", str), ("incarnation", int))
    __slots__ = ("incarnation", "request_id")


class Outcome(Message):
    """The outcome of a request: the value of an OutcomeState and a stored response."""

    TAG = 6
    FIELDS = (("state", str), ("status", int), ("headers", list), ("body", bytes))
    __slots__ = ("body", "headers", "state", "status")


class Proceed(Message):
    """Asks the sender of a body for the rest, or acknowledges a part of it."""

    TAG = 15
    __slots__ = ()
