"""Versioned tables of the platform's store and the feed of changes to them.

A store that is restored from a copy begins a new era and gives out numbers again that
it gave to lost changes. A version therefore consists of the era and of the number that
the store gave in it. Versions are plain integers, so that they compare and travel as
one value; in the first era they equal the store's own numbers.
"""

import abc
import enum
import hashlib

from godwitrack.exceptions import StoreError

FIRST_ERA = 1
# The store's numbers stay below this, so that a later era has higher versions.
ERA_VERSIONS = 2**44
DIGEST_BYTES = 16


def make_version(era, number):
    """Return the version of a change.

    Args:
        era: Era of the store, from FIRST_ERA on.
        number: Number that the store gave in that era, below ERA_VERSIONS.
    """
    return (era - FIRST_ERA) * ERA_VERSIONS + number


def get_era(version):
    """Return the era of a version."""
    return version // ERA_VERSIONS + FIRST_ERA


def get_number(version):
    """Return the number that the store gave to a version in its era."""
    return version % ERA_VERSIONS


def format_version(version):
    """Return a version as "ERA:NUMBER", for logs and errors."""
    return f"{get_era(version)}:{get_number(version)}"


def compute_digest(value):
    """Return the digest by which nodes name a value of a row."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


class FeedTable(enum.IntEnum):
    """Tables whose changes nodes follow."""

    OPERATORS = 1
    FLEET = 2


class FeedRow:
    """The state of one row after a change.

    Attributes:
        key: Key of the row.
        version: Version of the change; increases across all tables and eras.
        value: Bytes, or None if the row was removed.
    """

    __slots__ = ("_digest", "key", "value", "version")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value
        self._digest = None

    @property
    def digest(self):
        """Digest of the value, which is not None."""
        if self._digest is None:
            self._digest = compute_digest(self.value)
        return self._digest


class FeedPage:
    """The rows of a table that changed up to a version.

    Attributes:
        rows: List of FeedRows.
        version: Version up to which the rows are complete.
        is_whole: Whether the page holds the whole table, so that rows not listed do
            not exist.
        age: Seconds since the store confirmed the content.
        received_bytes: Bytes that it took on the way, as far as they were counted.
    """

    __slots__ = ("age", "is_whole", "received_bytes", "rows", "version")

    def __init__(self, rows, version, is_whole, age=0.0):
        self.rows = rows
        self.version = version
        self.is_whole = is_whole
        self.age = age
        self.received_bytes = 0


class ReaderState:
    """What the reader of a table has, by which a source knows what it lacks.

    Attributes:
        after: Version up to which it has all changes, or -1 for none.
        content: Version of the latest change that it has; no later than `after`, which
            moves with the changes of all tables.
        bases: List of (key, digest) of its large values.
    """

    __slots__ = ("after", "bases", "content")

    def __init__(self, after, content, bases=()):
        self.after = after
        self.content = content
        self.bases = list(bases)


class HistoryLost(StoreError):
    """The store does not have all changes since the requested version.

    They are too old, or the store was restored from a copy that lacks them.
    """


class RowConflict(StoreError):
    """A row did not have the expected version, so nothing was written.

    Attributes:
        row: The current FeedRow, or None if the row does not exist.
    """

    def __init__(self, row):
        super().__init__("the row changed meanwhile")
        self.row = row


class FeedStore(abc.ABC):
    """The part of the platform's store that nodes use."""

    @abc.abstractmethod
    def read_all(self, table, on_data=None):
        """Return a FeedPage of all rows of a FeedTable.

        Args:
            table: FeedTable.
            on_data: Function called after each part of an answer with the number of
                its bytes so far and the one stated for the whole, 0 if none is, or
                None. If it returns False, the read ends with a StoreError.

        Raises:
            StoreError: No usable answer came.
        """

    @abc.abstractmethod
    def read_changes(self, table, after, wait, timeout, on_data=None):
        """Return a FeedPage of the rows that changed after a version.

        Args:
            table: FeedTable.
            after: Version up to which the reader has all changes.
            wait: Seconds to wait for a first change.
            timeout: Seconds after which the read has failed if no answer began.
            on_data: Function called after each part of an answer with the number of
                its bytes so far and the one stated for the whole, 0 if none is, or
                None. If it returns False, the read ends with a StoreError.

        Returns:
            The FeedPage. Its version names the store's present era. In another era than
            that of `after`, the page may lack changes.

        Raises:
            HistoryLost: The history does not go back to `after`.
            StoreError: No usable answer came.
        """

    @abc.abstractmethod
    def write_row(self, table, key, value, expected):
        """Write or remove a row.

        Args:
            table: FeedTable.
            key: Key of the row.
            value: Bytes, or None to remove it.
            expected: Version that the row must have; 0 if it must not exist.

        Returns:
            The version of the change.

        Raises:
            RowConflict: The row has another version; nothing was written.
            StoreError: No usable answer came; the write may take effect, even later.
        """
