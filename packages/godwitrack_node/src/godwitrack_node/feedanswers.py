"""Packs pages of the store's tables into messages between nodes, and unpacks them."""

import threading

from godwitrack.controlmessages import FeedAnswer
from godwitrack.exceptions import MessageError, StoreError
from godwitrack.feed import FeedPage, FeedRow
from godwitrack.message import pack_list

# Readers ask for the rows after different versions.
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
            page: FeedPage.
        """
        # The threads of all followers wait for the first one to compress the rows.
        with self._lock:
            packed = self._pack(table, page.rows)
        age_ms = int(page.age * 1000)
        return FeedAnswer(int(table), packed, page.version, page.is_whole, age_ms)

    def _pack(self, table, rows):
        cached = self._cached.setdefault(table, {})
        content = tuple((row.key, row.version) for row in rows)
        if content not in cached:
            while len(cached) >= MAX_CACHED:
                del cached[next(iter(cached))]
            cached[content] = pack_list([[r.key, r.version, r.value] for r in rows])
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


def _decode_row(item):
    if type(item) is not list or [type(part) for part in item[:2]] != [str, int]:
        raise StoreError("a row has a key and a version")
    if len(item) != 3 or not isinstance(item[2], bytes | None):
        raise StoreError("the value of a row is bytes or nothing")
    return FeedRow(*item)
