"""Tests of reads of a long list of routes by followers of a leader."""

import random

import pytest

from feedparts import make_feed_sync
from godwitrack.controlmessages import FeedContentRequest, FeedRequest
from godwitrack.feed import FeedPage, FeedTable
from godwitrack.hashing import hash_text
from godwitrack_node.backoff import Backoff

VERSION = 5
LEADER, OWN = sorted(("10.0.0.1:7000", "10.0.0.2:7000"), key=hash_text)


def make_request(position, content):
    return FeedContentRequest(int(FeedTable.OPERATORS), position, 0, OWN, content)


@pytest.mark.parametrize(
    ("position", "content", "version"),
    [
        # The same content, read earlier or later: nothing is missing.
        (VERSION, VERSION, 8),
        (VERSION + 6, VERSION, 8),
        # The asking node has a change that the leader lacks.
        (VERSION + 6, VERSION + 5, -1),
    ],
)
def test_a_source_is_behind_only_if_it_lacks_a_change(
    clock, position, content, version
):
    """Guards against followers that read the store as their leader polled it (CONFIG).

    Each change of the fleet's table moves the position of a node in the store's
    sequence, also where it reads the operators' table.
    """
    feed_sync, replica = make_feed_sync(clock, LEADER, [LEADER, OWN], None)
    replica.merge(FeedPage([], 8, False))
    request = make_request(position, content)
    assert feed_sync.answer(request, None).version == version
    # Builds without patches say no more than their position.
    request = FeedRequest(int(FeedTable.OPERATORS), position, 0, OWN)
    assert feed_sync.answer(request, None).version == (8 if position <= 8 else -1)


class RecordingPool:
    """A pool of links to one node, whose answers come from a FeedSync."""

    received_bytes = 0

    def __init__(self, feed_sync):
        self._feed_sync = feed_sync
        self.requests = []

    def acquire(self, address, timeout):
        return self

    def release(self, link):
        pass

    def abort(self):
        pass

    def send(self, request, timeout):
        self.requests.append(request)

    def receive(self, timeout):
        return self._feed_sync.answer(self.requests[-1], None)


@pytest.mark.parametrize("position", [6, 9, 13])
def test_a_follower_keeps_a_leader_with_the_same_content(clock, position):
    """Guards against sixteen nodes that read a whole list from the store (CONFIG)."""
    leader, leader_replica = make_feed_sync(clock, LEADER, [LEADER, OWN], None)
    leader_replica.merge(FeedPage([], 9, False))
    pool = RecordingPool(leader)
    feed_sync, replica = make_feed_sync(clock, OWN, [LEADER, OWN], None, pool)
    replica.merge(FeedPage([], position, False))
    follower = feed_sync.get_follower(FeedTable.OPERATORS)
    follower.follow_once(Backoff(random.Random(1)))
    assert not follower.is_skipped(LEADER)
    assert replica.version == max(position, 9)
