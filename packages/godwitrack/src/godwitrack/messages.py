"""Typed messages between nodes and their encoding in CBOR."""

import zlib

import cbor2

from godwitrack.exceptions import MessageError

MAX_UNPACKED_BYTES = 16 * 2**20


class Message:
    """Base of all messages.

    Subclasses list their fields in FIELDS as pairs of name and accepted types; a
    message travels as a CBOR array of its TAG and its fields in that order.
    """

    __slots__ = ()
    TAG = 0
    FIELDS = ()
    NAMES = ()
    KINDS = ()

    def __init_subclass__(cls):
        cls.NAMES = tuple(name for name, _ in cls.FIELDS)
        cls.KINDS = [kind for _, kind in cls.FIELDS]

    def __init__(self, *values):
        for name, value in zip(self.NAMES, values, strict=True):
            setattr(self, name, value)

    def encode(self):
        """Return the message as bytes."""
        values = [getattr(self, name) for name in self.NAMES]
        return cbor2.dumps([self.TAG, *values])

    def __repr__(self):
        fields = ", ".join(
            f"{name}={getattr(self, name, None)!r:.60}" for name in self.NAMES
        )
        return f"{type(self).__name__}({fields})"


class Call(Message):
    """A request sent to the node beside a backend server.

    The field `is_regional` tells whether the two nodes are in different regions.
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


class Chunk(Message):
    """A further part of a body."""

    TAG = 2
    FIELDS = (("data", bytes), ("more", bool))
    __slots__ = ("data", "more")


class Refused(Message):
    """An error answer in place of the backend server's."""

    TAG = 3
    FIELDS = (("kind", str), ("detail", str), ("load", list))
    __slots__ = ("detail", "kind", "load")


class Answer(Message):
    """The head of the backend server's answer, with the first part of the body."""

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
    """Asks what became of a request, and fences it if it did not start."""

    TAG = 5
    FIELDS = (("request_id", str), ("incarnation", int))
    __slots__ = ("incarnation", "request_id")


class Outcome(Message):
    """What became of a request: an OutcomeState by name, with a kept answer."""

    TAG = 6
    FIELDS = (("state", str), ("status", int), ("headers", list), ("body", bytes))
    __slots__ = ("body", "headers", "state", "status")


class Ping(Message):
    """A heartbeat, which carries news of the directory and the configuration."""

    TAG = 7
    FIELDS = (
        ("sender", str),
        ("incarnation", int),
        ("digest", int),
        ("revision", int),
        ("records", list),
    )
    __slots__ = ("digest", "incarnation", "records", "revision", "sender")


class Pong(Ping):
    """The answer to a heartbeat, with the same content from the other side."""

    TAG = 8
    __slots__ = ()


class DigestRequest(Message):
    """Sends the digest of each bucket of the directory, to get what differs."""

    TAG = 9
    FIELDS = (("digests", list),)
    __slots__ = ("digests",)


def pack_list(items):
    """Return a list of plain data as compressed bytes."""
    return zlib.compress(cbor2.dumps(items))


class Records(Message):
    """Records of the directory in the buckets that differ, compressed."""

    TAG = 10
    FIELDS = (("buckets", list), ("packed", bytes))
    __slots__ = ("buckets", "packed")

    @classmethod
    def pack(cls, buckets, records):
        """Return the message for some records.

        Args:
            buckets: Numbers of the buckets whose records are all there.
            records: Records as plain data, a list.
        """
        return cls(buckets, pack_list(records))

    def unpack(self):
        """Return the records as plain data.

        Raises:
            MessageError: They are malformed, or too many.
        """
        return _unpack_list("Records", self.packed)


class ChangesRequest(Message):
    """Asks for the changes of the configuration after a revision."""

    TAG = 11
    FIELDS = (("after", int),)
    __slots__ = ("after",)


class Changes(Message):
    """Changes in order, or a whole configuration where the log is too short.

    The field `snapshot` is empty, or holds one pair of revision and records.
    """

    TAG = 12
    FIELDS = (("changes", list), ("snapshot", list))
    __slots__ = ("changes", "snapshot")


class Probe(Message):
    """Asks a node to send a heartbeat to a third one."""

    TAG = 13
    FIELDS = (("address", str),)
    __slots__ = ("address",)


class ProbeResult(Message):
    """Tells whether the third node answered."""

    TAG = 14
    FIELDS = (("alive", bool),)
    __slots__ = ("alive",)


class Proceed(Message):
    """Tells the sender of a body that the rest may follow, or that a part came."""

    TAG = 15
    __slots__ = ()


class RoutedCall(Message):
    """A request of a host route, sent to the node beside a backend server.

    The field `request_id` names this one attempt, `caller_id` is the id that the
    caller gave, and `instance` the id of the backend server's process that was
    chosen. `objective_ms` is the time within which an answer is worth most, counted
    from the caller's first try, and `waited_ms` what of it is over. With `is_repeat`,
    an earlier attempt reached a server, or a repeated run makes this call. With
    `may_move`, another backend server nearby can take it.
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


class FeedRequest(Message):
    """Asks another node for the changes of a table after a version.

    The field `sender` is the address of the asking node's links, `wait_ms` the
    time to wait for a first change.
    """

    TAG = 17
    FIELDS = (("table", int), ("after", int), ("wait_ms", int), ("sender", str))
    __slots__ = tuple(name for name, _ in FIELDS)


class FeedAnswer(Message):
    """Changes of a table: rows of key, version and bytes or None, compressed.

    Routes of a large fleet are several hundred kilobytes, which a VM with a slow link
    would have to send to each of its followers. The field `age_ms` is the time since
    the store confirmed the content.
    """

    TAG = 18
    FIELDS = (
        ("table", int),
        ("packed", bytes),
        ("version", int),
        ("is_whole", bool),
        ("age_ms", int),
    )
    __slots__ = tuple(name for name, _ in FIELDS)

    def unpack(self):
        """Return the rows as plain data.

        Raises:
            MessageError: They are malformed, or too many.
        """
        return _unpack_list("FeedAnswer", self.packed)


MESSAGES = {
    message.TAG: message
    for message in (
        Call,
        Chunk,
        Refused,
        Answer,
        Query,
        Outcome,
        Ping,
        Pong,
        DigestRequest,
        Records,
        ChangesRequest,
        Changes,
        Probe,
        ProbeResult,
        Proceed,
        RoutedCall,
        FeedRequest,
        FeedAnswer,
    )
}


def decode_message(data):
    """Return the message held by bytes.

    Args:
        data: One CBOR array, as made by Message.encode.

    Raises:
        MessageError: The bytes are not CBOR, or no message of a known type.
    """
    try:
        values = cbor2.loads(data)
    except Exception as error:
        # The decoder raises many types for bad input, MemoryError among them.
        raise MessageError(f"not CBOR: {type(error).__name__}") from None
    if type(values) is not list or not values or type(values[0]) is not int:
        raise MessageError("not an array that starts with a tag")
    kind = MESSAGES.get(values[0])
    if kind is None:
        raise MessageError(f"unknown tag {values[0]}")
    del values[0]
    if [type(value) for value in values] != kind.KINDS:
        raise _explain(kind, values)
    return kind(*values)


def _explain(kind, values):
    """Return the MessageError for values that do not fit a kind of message."""
    if len(values) != len(kind.FIELDS):
        return MessageError(f"{kind.__name__} has {len(kind.FIELDS)} fields")
    for (name, accepted), value in zip(kind.FIELDS, values, strict=True):
        if type(value) is not accepted:
            break
    return MessageError(f"{kind.__name__}.{name} is no {accepted.__name__}")


def check_headers(headers):
    """Check that plain data is a list of pairs of texts, and return it.

    Raises:
        MessageError: It is not.
    """
    for item in headers:
        if (
            type(item) is not list
            or len(item) != 2
            or type(item[0]) is not str
            or type(item[1]) is not str
        ):
            raise MessageError("headers are pairs of texts")
    return headers


def _unpack_list(name, packed):
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        items = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise MessageError(f"{name}.packed is malformed: {error}") from None
    if not decompressor.eof or type(items) is not list:
        raise MessageError(f"{name}.packed holds no list, or too long a one")
    return items
