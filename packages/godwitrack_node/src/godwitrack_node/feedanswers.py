"""Packs pages of the store's tables into messages between nodes, and unpacks them."""

import threading

from godwitrack.controlmessages import FeedAnswer
from godwitrack.exceptions import MessageError, StoreError
from godwitrack.feed import FeedPage, FeedRow
from godwitrack.message import pack_list
from godwitrack.patches import Patch, PatchedRow

# Readers ask for the rows after different versions, and with different bases.
MAX_CACHED = 4


class FeedAnswerBuilder:
    """Builds the FeedAnswers that carry FeedPages, and caches the compressed rows.

    All followers of a node ask for the same changes at the same moment.
    """

    def __init__(self):
        self._cached = {}
        self._lock = threading.Lock()

    def build(self, table, page):
        """Return the FeedAnswer for a FeedPage of a FeedTable.

        Args:
            table: FeedTable.
            page: FeedPage, whose rows may be PatchedRows.
        """
        # The threads of all followers wait for the first one to compress the rows.
        with self._lock:
            packed = self._pack(table, page.rows)
        age_ms = int(page.age * 1000)
        return FeedAnswer(int(table), packed, page.version, page.is_whole, age_ms)

    def _pack(self, table, rows):
        cached = self._cached.setdefault(table, {})
        content = tuple((row.key, row.version, _find_base(row)) for row in rows)
        if content not in cached:
            while len(cached) >= MAX_CACHED:
                del cached[next(iter(cached))]
            cached[content] = pack_list([_encode_row(row) for row in rows])
        return cached[content]


def decode_answer(message):
    """Return the FeedPage that a FeedAnswer carries.

    Raises:
        StoreError: The content or one of its rows is malformed.
    """
    try:
        items = message.unpack()
    except MessageError as error:
        raise StoreError(str(error)) from None
    rows = [_decode_row(item) for item in items]
    return FeedPage(rows, message.version, message.is_whole, message.age_ms / 1000)


def _find_base(row):
    """Return the digest that a row's patches apply to, or None for a whole row."""
    if type(row) is PatchedRow and row.patches:
        return row.patches[0].base
    return None


def _encode_row(row):
    if type(row) is PatchedRow:
        return [row.key, row.version, [patch.to_data() for patch in row.patches]]
    return [row.key, row.version, row.value]


def _decode_row(item):
    if type(item) is not list or [type(part) for part in item[:2]] != [str, int]:
        raise StoreError("a row has a key and a version")
    if len(item) != 3 or not isinstance(item[2], bytes | list | None):
        raise StoreError("the value of a row is bytes, a list of patches, or nothing")
    key, version, value = item
    if type(value) is list:
        return PatchedRow(key, version, [Patch.from_data(data) for data in value])
    return FeedRow(key, version, value)
