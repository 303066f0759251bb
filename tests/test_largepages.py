"""Tests of changes that take long to arrive, since they are large and links narrow."""

import random
import socket
import threading
import time

import pytest

from fakeplatform import APPLY_SECONDS, Fleet
from feedparts import FakePool, make_feed_sync
from godwitrack.clock import SystemClock
from godwitrack.controlmessages import FeedAnswer, FeedPending, FeedRequest
from godwitrack.exceptions import StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable, ReaderState
from godwitrack.hashing import hash_text
from godwitrack.link import Authenticator, accept_link
from godwitrack.message import pack_list
from godwitrack.store import HttpClient
from godwitrack_node.backoff import Backoff
from godwitrack_node.feedfollower import MAX_PENDING_SECONDS, MIN_PENDING_SECONDS
from godwitrack_node.feedfreshness import ReadTimes
from godwitrack_node.feedsources import LARGE_PAGE_BYTES, PeerSource
from godwitrack_node.linkpool import LinkPool
from hostedfleet import RESOURCES, ask
from operatorsrows import make_config, make_route
from testcaller import wait_for

SECRET = "a secret that both nodes share"
TIMEOUT_SECONDS = 0.4
TOTAL_SECONDS = 2.0
# Time for a thread to notice that its wait has ended.
MARGIN_SECONDS = 0.25
PIECES = 12
VERSION = 5
LEADER, FOLLOWER = sorted(("10.0.0.1:7000", "10.0.0.2:7000"), key=hash_text)
# Six nodes in two data centres, each of which has one node that reads the store.
MACHINE_SPECS = [("scenbok", "dc-a"), ("styrning", "dc-a"), ("scenbok", "dc-a")]
MACHINE_SPECS += [("scenbok", "dc-b"), ("styrning", "dc-b"), ("scenbok", "dc-b")]
ROUTE_COUNT = 600
EMPTY_STATE = ReaderState(-1, -1)
PAGE_SECONDS = 0.8


class SlowServer:
    """Sends an HTTP response in pieces, with a pause before each."""

    def __init__(self, pauses):
        self._pauses = pauses
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.url = f"http://{host}:{port}/"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._socket.close()

    def _serve(self):
        sock, _ = self._socket.accept()
        with sock:
            sock.recv(65536)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self._pauses)}\r\n\r\n"
            piece = head.encode()
            try:
                for pause in self._pauses:
                    time.sleep(pause)
                    sock.sendall(piece + b"x")
                    piece = b""
            except OSError:
                return


@pytest.fixture
def make_slow_server():
    servers = []

    def make(pauses):
        servers.append(SlowServer(pauses))
        return servers[-1]

    yield make
    for server in servers:
        server.close()


def test_a_response_that_goes_on_arriving_is_read_whole(make_slow_server):
    """Guards against large pages that are begun anew again and again (CONFIG)."""
    server = make_slow_server([0.1] * PIECES)
    client = HttpClient(TIMEOUT_SECONDS, total_timeout=TOTAL_SECONDS)
    assert client.fetch("GET", server.url).body == b"x" * PIECES


def test_a_reader_learns_the_length_of_a_response_from_its_first_part(make_slow_server):
    """Guards against a full link before a node asks another one for the change."""
    server, parts = make_slow_server([0.0] + [0.05] * 3), []

    def record(count, length):
        parts.append((count, length))

    HttpClient(TIMEOUT_SECONDS).fetch("GET", server.url, on_data=record)
    assert (parts[0], parts[-1]) == ((1, 4), (4, 4))


@pytest.mark.parametrize(
    ("pauses", "seconds"),
    [
        ([5.0], TIMEOUT_SECONDS),
        ([0.0, 5.0], TIMEOUT_SECONDS),
        ([0.0, 0.2, 0.2, 5.0], 0.4 + TIMEOUT_SECONDS),
        ([0.1] * 100, TOTAL_SECONDS),
    ],
    ids=["silent", "stops in the head", "stops in the body", "endless"],
)
def test_a_response_that_stops_arriving_is_given_up(make_slow_server, pauses, seconds):
    server = make_slow_server(pauses)
    client = HttpClient(TIMEOUT_SECONDS, total_timeout=TOTAL_SECONDS)
    started_at = time.monotonic()
    with pytest.raises(StoreError):
        client.fetch("GET", server.url)
    elapsed = time.monotonic() - started_at
    assert seconds - 0.01 <= elapsed < seconds + MARGIN_SECONDS


class SlowNode:
    """A node that answers one FeedRequest, its answer in pieces with pauses."""

    def __init__(self, pause):
        self._pause = pause
        self._authenticator = Authenticator(SECRET, SystemClock())
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._socket.close()

    def _serve(self):
        sock, _ = self._socket.accept()
        link = accept_link(sock, "follower", self._authenticator, TIMEOUT_SECONDS)
        assert type(link.receive(TIMEOUT_SECONDS)) is FeedRequest
        rows = [["config", VERSION, random.Random(1).randbytes(4000)]]
        table = int(FeedTable.OPERATORS)
        answer = FeedAnswer(table, pack_list(rows), VERSION, True, 0)
        link._protocol.send_binary(answer.encode())
        data = b"".join(link._protocol.data_to_send())
        size = len(data) // PIECES + 1
        try:
            for start in range(0, len(data), size):
                time.sleep(self._pause)
                sock.sendall(data[start : start + size])
            sock.recv(1)
        except OSError:
            return


@pytest.mark.parametrize(("pause", "is_read"), [(0.1, True), (1.5, False)])
def test_an_answer_of_a_node_is_read_as_long_as_it_goes_on_arriving(pause, is_read):
    """Guards against followers that give up a large page of their leader (CONFIG)."""
    node = SlowNode(pause)
    clock = SystemClock()
    pool = LinkPool(clock, Authenticator(SECRET, clock), TIMEOUT_SECONDS)
    source = PeerSource(clock, pool, node.address, FOLLOWER)
    times = ReadTimes(0.0, TIMEOUT_SECONDS)
    try:
        if is_read:
            assert (
                source.read(FeedTable.OPERATORS, ReaderState(-1, -1), times).version
                == VERSION
            )
            return
        with pytest.raises(StoreError):
            source.read(FeedTable.OPERATORS, ReaderState(-1, -1), times)
    finally:
        pool.stop()
        node.close()


class ReceivingStore:
    """A store of whose next answer a part has come; runs a check then."""

    def __init__(self, check, version):
        self._check = check
        self._version = version

    def read_changes(self, table, after, wait, timeout, on_data):
        on_data(1, LARGE_PAGE_BYTES)
        self._check()
        rows = [FeedRow("config", self._version, b"")] if self._version > after else []
        return FeedPage(rows, self._version, False)


@pytest.mark.parametrize(
    ("after", "silent_seconds", "kind"),
    [
        (VERSION, 0.0, FeedPending),
        (VERSION, 5.0, FeedAnswer),
        (VERSION - 1, 0.0, FeedAnswer),
        (-1, 0.0, FeedAnswer),
        # The answering node is behind the asking one, and receiving what it lacks.
        (VERSION + 1, 0.0, FeedPending),
        (VERSION + 1, 5.0, FeedAnswer),
    ],
)
def test_a_node_that_is_receiving_changes_says_so(clock, after, silent_seconds, kind):
    answers = []
    request = FeedRequest(int(FeedTable.OPERATORS), after, 0, FOLLOWER)

    def ask_node():
        clock.advance(silent_seconds)
        answers.append(feed_sync.answer(request, None))

    store = ReceivingStore(ask_node, VERSION + 1)
    feed_sync, replica = make_feed_sync(clock, LEADER, [LEADER, FOLLOWER], store)
    feed_sync.get_follower(FeedTable.OPERATORS).follow_once(Backoff(random.Random(1)))
    assert replica.version == VERSION + 1
    answers.append(feed_sync.answer(request, None))
    assert [type(answer) for answer in answers] == [kind, FeedAnswer]


def test_a_page_without_changes_leaves_no_node_waiting(clock):
    store = ReceivingStore(lambda: None, VERSION)
    feed_sync, _ = make_feed_sync(clock, LEADER, [LEADER, FOLLOWER], store)
    feed_sync.get_follower(FeedTable.OPERATORS).follow_once(Backoff(random.Random(1)))
    request = FeedRequest(int(FeedTable.OPERATORS), VERSION, 0, FOLLOWER)
    assert type(feed_sync.answer(request, None)) is FeedAnswer


class ReceivingLeader(FakePool):
    """A pool of links to a node that is receiving changes all the time."""

    def __init__(self, clock):
        self._clock = clock
        self._wait_ms = 0

    def send(self, request, timeout):
        self._wait_ms = request.wait_ms

    def receive(self, timeout):
        self._clock.advance(max(self._wait_ms / 1000, 0.001))
        return FeedPending(int(FeedTable.OPERATORS))


class CountingStore:
    """A store that records when it was first read."""

    def __init__(self, clock):
        self._clock = clock
        self.read_at = None

    def read_changes(self, table, after, wait, timeout, on_data):
        self.read_at = self._clock.read_monotonic()
        return FeedPage([], after, False)


def test_a_follower_waits_for_a_leader_that_is_receiving_changes(clock):
    """Guards against followers that all read the store at the same moment (CONFIG)."""
    store = CountingStore(clock)
    feed_sync, _ = make_feed_sync(
        clock, FOLLOWER, [LEADER, FOLLOWER], store, ReceivingLeader(clock)
    )
    started_at = clock.read_monotonic()
    polls = 0
    while store.read_at is None:
        feed_sync.get_follower(FeedTable.OPERATORS).follow_once(
            Backoff(random.Random(1))
        )
        polls += 1
    waited = store.read_at - started_at
    assert MIN_PENDING_SECONDS <= waited <= MAX_PENDING_SECONDS + 2.0
    assert polls <= 15


def test_a_page_that_takes_longer_than_a_timeout_reaches_all_nodes_in_time():
    """Guards against a fleet that stays at old routes over a narrow link (DENIED).

    All nodes gave up the page on the way, read it from the store in place of their
    leader, and began anew, until the link carried nothing but pages given up.
    """
    fleet = Fleet(MACHINE_SPECS)
    try:
        fleet.store.put("op", "config", make_config(4, *RESOURCES))
        fleet.wait_ready()
        # Nodes that just started have a poll to the store open.
        time.sleep(APPLY_SECONDS)
        routes = [
            make_route(f"more-{number}", f"/more-{number}/", "scenbok")
            for number in range(ROUTE_COUNT)
        ]
        config = make_config(5, *RESOURCES, *routes)
        # The value of a row, in base64.
        page_bytes = len(str(config)) * 4 // 3
        fleet.store.bytes_per_second = page_bytes / PAGE_SECONDS
        changed_at = time.monotonic()
        sent_before = fleet.store.sent_bytes
        fleet.store.put("op", "config", config)
        wait_for(
            lambda: all(
                machine.find("configurations").table.revision == 5
                for machine in fleet.machines
            )
        )
        elapsed = time.monotonic() - changed_at
        pages = (fleet.store.sent_bytes - sent_before) / page_bytes
        assert (elapsed <= APPLY_SECONDS, pages < 3) == (True, True), (elapsed, pages)
        assert ask(fleet.machines[0], "/more-7/1").status == 200
    finally:
        fleet.close()


@pytest.mark.parametrize(
    ("age", "status"), [(0.0, 404), (APPLY_SECONDS - 0.5, 404), (APPLY_SECONDS, 503)]
)
def test_a_node_with_old_routes_does_not_deny_others(fleet, age, status):
    """Guards against a 404 of a node that can't know whether there is a route (DENIED).

    Callers retry a 503, which says that the request did not run, and no 404.
    """
    machine = fleet.machines[0]
    for other in fleet.machines:
        other.find("membership").stop()
    replica = machine.find("membership").get_replica(FeedTable.OPERATORS)
    wait_for(lambda: replica.age >= age)
    if age < APPLY_SECONDS:
        assert replica.age < APPLY_SECONDS
    assert ask(machine, "/none/1").status == status
    assert ask(machine, "/read/1").status == 200
