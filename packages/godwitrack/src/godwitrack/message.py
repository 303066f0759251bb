"""Base of the messages between nodes, and the parts that several of them have."""

import zlib

import cbor2

from godwitrack.exceptions import MessageError

# Several times the rows of the largest fleets.
MAX_UNPACKED_BYTES = 4 * 2**20
# Lists and mappings take many times their bytes in memory. All bytes that may begin one
# are counted, also those within numbers and texts, since that is fast.
MAX_UNPACKED_ITEMS = 400_000
ITEM_MARKS = bytes(range(0x80, 0xF8))


class Message:
    """Base of all messages.

    Subclasses list their fields in FIELDS as pairs of name and type. A message is
    encoded as a CBOR array of its TAG and its fields in that order.
    """

    __slots__ = ()
    TAG = 0
    FIELDS = ()
    FIELD_NAMES = ()
    FIELD_TYPES = ()

    def __init_subclass__(cls):
        cls.FIELD_NAMES = tuple(name for name, _ in cls.FIELDS)
        cls.FIELD_TYPES = [field_type for _, field_type in cls.FIELDS]

    def __init__(self, *values):
        for name, value in zip(self.FIELD_NAMES, values, strict=True):
            setattr(self, name, value)

    def encode(self):
        """Return the message as CBOR bytes."""
        values = [getattr(self, name) for name in self.FIELD_NAMES]
        return cbor2.dumps([self.TAG, *values])

    def __repr__(self):
        fields = ", ".join(
            f"{name}={getattr(self, name, None)!r:.60}" for name in self.FIELD_NAMES
        )
        return f"{type(self).__name__}({fields})"


def check_headers(headers):
    """Check that the items of a list are pairs of strings, and return the list.

    Raises:
        MessageError: An item is not a pair of strings.
    """
    for item in headers:
        if (
            type(item) is not list
            or len(item) != 2
            or type(item[0]) is not str
            or type(item[1]) is not str
        ):
            raise MessageError("headers must be pairs of strings")
    return headers


def pack_list(items):
    """Return a list of plain data as compressed CBOR bytes."""
    return zlib.compress(cbor2.dumps(items))


def unpack_list(name, packed):
    """Return the plain data that `pack_list` compressed.

    Args:
        name: Name of the message, for errors.
        packed: Compressed bytes.

    Raises:
        MessageError: The data is malformed, not a list, or takes too much memory.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if len(data) - len(data.translate(None, ITEM_MARKS)) > MAX_UNPACKED_ITEMS:
            raise MessageError(f"{name}.packed: more than {MAX_UNPACKED_ITEMS} items")
        items = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise MessageError(f"{name}.packed is malformed: {error}") from None
    if not decompressor.eof or type(items) is not list:
        raise MessageError(f"{name}.packed is too long or not a list")
    return items
