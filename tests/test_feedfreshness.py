"""Tests that a change reaches a node in time although its feed source is cut off.

All reads run on a manual clock: the fakes below advance it by what each wait takes.
"""

import random

import pytest

from feedparts import APPLY_SECONDS, FakePool, make_feed_sync
from godwitrack.controlmessages import FeedAnswer
from godwitrack.exceptions import LinkTimeout, StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack.hashing import hash_text
from godwitrack.message import pack_list
from godwitrack_node.backoff import FIRST_PAUSE_SECONDS, Backoff

# Left for the store's answer and for putting the change in force.
STORE_SECONDS = 0.05
LEADER, FOLLOWER = sorted(("10.0.0.1:7000", "10.0.0.2:7000"), key=hash_text)
OLD_VERSION, NEW_VERSION = 5, 6


class FakePeer(FakePool):
    """A pool of links to one node, which answers at once with a page of one age."""

    def __init__(self, version, age):
        self._version = version
        self._age = age

    def receive(self, timeout):
        return FeedAnswer(
            int(FeedTable.OPERATORS),
            pack_list([]),
            self._version,
            False,
            int(self._age * 1000),
        )


class FakeLeader(FakePeer):
    """A leader that got its last answer of the store when the test began.

    Args:
        is_frozen: Whether it answers nothing at all.
    """

    def __init__(self, clock, is_frozen):
        super().__init__(OLD_VERSION, 0.0)
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._is_frozen = is_frozen
        self._wait_ms = 0

    def send(self, request, timeout):
        self._wait_ms = request.wait_ms

    def receive(self, timeout):
        if self._is_frozen or self._wait_ms / 1000 > timeout:
            self._clock.advance(timeout)
            raise LinkTimeout("nothing arrived in time")
        self._clock.advance(self._wait_ms / 1000)
        self._age = self._clock.read_monotonic() - self._started_at
        return super().receive(timeout)


class FakeStore:
    """A store that has a newer row, and whose first answers may not arrive."""

    def __init__(self, clock, silent_reads=0):
        self._clock = clock
        self._silent_reads = silent_reads

    def read_changes(self, table, after, wait, timeout, on_data=None):
        if self._silent_reads:
            self._silent_reads -= 1
            self._clock.advance(timeout)
            raise StoreError("no answer in time")
        self._clock.advance(STORE_SECONDS)
        return FeedPage([FeedRow("config", NEW_VERSION, b"")], NEW_VERSION, False)


def follow_until_new(feed_sync, replica):
    """Read from one source after the other until the new row is there."""
    backoff = Backoff(random.Random(1))
    while replica.version < NEW_VERSION:
        feed_sync.get_follower(FeedTable.OPERATORS).follow_once(backoff)


@pytest.mark.parametrize("is_frozen", [False, True], ids=["no store", "frozen"])
@pytest.mark.parametrize("asked_at", [0.0, 0.3, 0.6, 0.9, 0.99])
def test_a_change_after_the_leader_lost_the_store_comes_into_force_in_time(
    clock, asked_at, is_frozen
):
    """Guards against a follower that waits for its leader until the change is late.

    A leader without a store lost it just before the change, and the follower asked it
    `asked_at` seconds later. A leader that freezes does so as the follower asks.
    """
    started_at = clock.read_monotonic()
    feed_sync, replica = make_feed_sync(
        clock,
        FOLLOWER,
        [LEADER, FOLLOWER],
        FakeStore(clock),
        FakeLeader(clock, is_frozen),
        OLD_VERSION,
    )
    clock.advance(asked_at)
    changed_at = clock.read_monotonic() if is_frozen else started_at
    follow_until_new(feed_sync, replica)
    assert clock.read_monotonic() - changed_at <= APPLY_SECONDS


def test_a_change_while_the_leaders_connection_to_the_store_is_silent_is_in_time(clock):
    """Guards against a leader that waits 3 s for an answer on a silent connection."""
    feed_sync, replica = make_feed_sync(
        clock,
        LEADER,
        [LEADER, FOLLOWER],
        FakeStore(clock, silent_reads=1),
        version=OLD_VERSION,
    )
    started_at = clock.read_monotonic()
    follow_until_new(feed_sync, replica)
    elapsed = clock.read_monotonic() - started_at
    # The pause after a failure takes up to one and a half times this, and no time here.
    assert elapsed + 1.5 * FIRST_PAUSE_SECONDS <= APPLY_SECONDS


@pytest.mark.parametrize(
    ("version", "age", "after", "is_usable"),
    [
        (5, 0.5, 3, True),
        (5, 0.5, 5, True),
        (5, 0.5, 6, False),
        (5, 2.5, 3, False),
        # Too old to allow another poll before the store has to be read.
        (5, 1.7, 3, False),
        # A node without content accepts any age, as in a long outage of the store.
        (5, 600.0, -1, True),
        # The other node has no content either.
        (-1, 0.0, -1, False),
    ],
)
def test_a_page_of_another_node_is_usable_if_new_enough(
    clock, version, age, after, is_usable
):
    """A source with an older page is skipped, but its later rows are not lost."""
    pool = FakePeer(version, age)
    feed_sync, replica = make_feed_sync(
        clock, FOLLOWER, [LEADER, FOLLOWER], FakeStore(clock), pool, after
    )
    feed_sync.get_follower(FeedTable.OPERATORS).follow_once(Backoff(random.Random(1)))
    assert replica.version == max(version, after)
    is_skipped = feed_sync.get_follower(FeedTable.OPERATORS).is_skipped(LEADER)
    assert is_skipped is not is_usable
