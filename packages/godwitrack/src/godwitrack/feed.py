"""Versioned tables of the platform's store, and the feed of their changes."""

import abc
import enum

from godwitrack.exceptions import StoreError


class FeedTable(enum.IntEnum):
    """Tables that nodes follow."""

    OPERATORS = 1
    FLEET = 2


class FeedRow:
    """One row as it was after one change.

    Attributes:
        key: Key of the row.
        version: Version of the change; grows over all tables.
        value: Bytes, or None where the row was removed.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value


class FeedPage:
    """Rows that changed up to a version.

    Attributes:
        rows: List of FeedRows.
        version: Version up to which nothing is missing.
        is_whole: Whether rows that are not listed do not exist.
        age: Seconds since the store confirmed the content.
    """

    __slots__ = ("age", "is_whole", "rows", "version")

    def __init__(self, rows, version, is_whole, age=0.0):
        self.rows = rows
        self.version = version
        self.is_whole = is_whole
        self.age = age


class HistoryLost(StoreError):
    """The changes since a version are no longer to be had."""


class RowConflict(StoreError):
    """A row had another version than expected, so that nothing was written.

    Attributes:
        row: The FeedRow as it is, or None where it does not exist.
    """

    def __init__(self, row):
        super().__init__("the row changed meanwhile")
        self.row = row


class FeedStore(abc.ABC):
    """The part of the platform's store that nodes use."""

    @abc.abstractmethod
    def read_all(self, table):
        """Return a whole FeedPage of a FeedTable.

        Raises:
            StoreError: No usable answer came.
        """

    @abc.abstractmethod
    def read_changes(self, table, after, wait):
        """Return a FeedPage of what changed after a version.

        Args:
            table: FeedTable.
            after: Version up to which the reader knows everything.
            wait: Seconds to wait for a first change.

        Raises:
            HistoryLost: The history no longer goes back so far.
            StoreError: No usable answer came.
        """

    @abc.abstractmethod
    def write_row(self, table, key, value, expected):
        """Write or remove a row.

        Args:
            table: FeedTable.
            key: Key of the row.
            value: Bytes, or None to remove it.
            expected: Version that the row must have; 0 where it must not exist.

        Returns:
            The version of the change.

        Raises:
            RowConflict: The row has another version; nothing was written.
            StoreError: No usable answer came; it may be written, also later.
        """
