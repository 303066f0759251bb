"""Tests of work that needs a thread at a moment when none can be started."""

import io
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from feedparts import FakeKernel, FakeMembers
from godwitrack.address import Address
from godwitrack.clock import SystemClock
from godwitrack.exceptions import StartCancelled
from godwitrack.logwriter import LogBudget, LogWriter
from godwitrack_node import connectionserver, healthwatch, memberrow, scheduler
from godwitrack_node.connectionbudget import ConnectionBudget
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.feedsync import FeedSync
from godwitrack_node.healthwatch import HealthWatch
from godwitrack_node.memberrow import MemberRow
from godwitrack_node.reachability import ReachabilityChecks
from godwitrack_node.routing import Location
from godwitrack_node.scheduler import Scheduler
from godwitrack_node.threadpool import ThreadPool

APPLY_SECONDS = 2.5
WAIT_SECONDS = 5.0


class OnceFailingExecutor:
    """Can't start a thread for the first call; collects the others."""

    def __init__(self):
        self.calls = 0

    def submit(self, function, *arguments):
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("can't start new thread")


class View:
    """A node to check."""

    is_being_checked = False


def hint(clock, executor):
    location = Location("south", "dc-a")
    feed_sync = FeedSync(clock, executor, None, "127.0.0.1:1", location, APPLY_SECONDS)
    feed_sync.connect(FakeKernel(None, FakeMembers(["127.0.0.1:1", "127.0.0.1:2"])))
    return lambda: feed_sync.hint("127.0.0.1:2", 5)


def check(clock, executor):
    checks, view = ReachabilityChecks(clock, executor), View()
    return lambda: checks.start_check(view)


@pytest.mark.parametrize("make_work", [hint, check])
def test_work_without_a_thread_is_done_when_it_is_due_again(clock, make_work):
    """Guards against a request that fails, and work that never happens again."""
    executor = OnceFailingExecutor()
    work = make_work(clock, executor)
    work()
    work()
    # The second call is under way, so that the third has nothing to do.
    work()
    assert executor.calls == 2


def refuse_start(thread):
    raise RuntimeError("can't start new thread")


def test_each_call_gets_a_thread_after_a_lack_of_threads(monkeypatch):
    """Guards against connections that are accepted and then wait for no thread."""
    is_over, are_running = threading.Event(), threading.Barrier(5)
    with ThreadPool(8, "test") as pool:
        first = pool.submit(is_over.wait)
        with monkeypatch.context() as patch:
            patch.setattr(threading.Thread, "start", refuse_start)
            for _ in range(3):
                with pytest.raises(RuntimeError, match="can't start"):
                    pool.submit(print, "not called")
        is_over.set()
        first.result(WAIT_SECONDS)
        calls = [pool.submit(are_running.wait, WAIT_SECONDS) for _ in range(4)]
        are_running.wait(WAIT_SECONDS)
        for call in calls:
            call.result(WAIT_SECONDS)


def test_a_start_waits_for_a_thread(monkeypatch):
    """Guards against a node that ends where the machine has no thread for a moment."""
    refusals = iter(range(3))
    start = threading.Thread.start

    def refuse_first(thread):
        if next(refusals, None) is not None:
            refuse_start(thread)
        start(thread)

    checks = []
    with ThreadPool(8, "test") as pool:
        monkeypatch.setattr(threading.Thread, "start", refuse_first)
        with pool.wait_for_threads(lambda: checks.append(1)):
            assert pool.submit(max, 1, 2).result(WAIT_SECONDS) is None
    assert len(checks) == 3


def test_a_start_without_threads_ends_when_a_stop_is_requested(monkeypatch):
    def cancel():
        raise StartCancelled("a stop was requested")

    with ThreadPool(8, "test") as pool, monkeypatch.context() as patch:
        patch.setattr(threading.Thread, "start", refuse_start)
        with pytest.raises(StartCancelled), pool.wait_for_threads(cancel):
            pool.submit(print, "not called")
        # Other threads' calls, and those after the start, do not wait.
        with pytest.raises(RuntimeError, match="can't start"):
            pool.submit(print, "not called")


def test_a_log_without_a_thread_writes_once_there_is_one(monkeypatch):
    stream = io.StringIO()
    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, "start", refuse_start)
        writer = LogWriter(stream, LogBudget())
        writer.write("first ")
    writer.write("second")
    assert writer.drain(WAIT_SECONDS)
    assert stream.getvalue() == "first second"


class FailingLogger:
    """Has no memory for a line."""

    def __getattr__(self, name):
        raise MemoryError


class FailingOnce:
    """Work that fails when it is done first."""

    def __init__(self):
        self.ran = threading.Event()
        self._outcomes = iter([MemoryError()])

    def run(self):
        for error in self._outcomes:
            raise error
        self.ran.set()


def test_jobs_outlast_a_failure_that_can_not_be_logged(monkeypatch):
    """Guards against periodic jobs that end for good for a moment's lack of memory."""
    monkeypatch.setattr(scheduler, "get_logger", lambda name: FailingLogger())
    work = FailingOnce()
    with ThreadPoolExecutor(2) as executor:
        jobs = Scheduler(SystemClock(), executor)
        jobs.add(0.05, work.run)
        jobs.start()
        try:
            assert work.ran.wait(WAIT_SECONDS)
        finally:
            jobs.stop()


class ReadyRoutes:
    """Routes that a health check may use."""

    is_ready = True


class EmptyReplica:
    """A table that was read and has no rows."""

    version = 0

    def find(self, key):
        return None


def make_health_watch(executor, work):
    watch = HealthWatch(SystemClock(), executor, lambda: True, lambda now: work())
    watch.connect(ReadyRoutes())
    return watch


def make_member_row(executor, work):
    row = MemberRow(executor, None, "127.0.0.1:1", work)
    row.connect(EmptyReplica())
    row.request_write()
    return row


@pytest.mark.parametrize("make_service", [make_health_watch, make_member_row])
def test_a_service_outlasts_a_failure_that_can_not_be_logged(monkeypatch, make_service):
    """Guards against a server that is never checked or listed again (FAULT)."""
    for module in (healthwatch, memberrow):
        monkeypatch.setattr(module, "get_logger", lambda name: FailingLogger())
    work = FailingOnce()
    with ThreadPoolExecutor(2) as executor:
        service = make_service(executor, work.run)
        service.start()
        try:
            assert work.ran.wait(WAIT_SECONDS)
        finally:
            service.stop()


def test_a_port_outlasts_a_failure_that_can_not_be_logged(monkeypatch):
    """Guards against a port that is dead for good for a moment's lack of memory."""
    monkeypatch.setattr(connectionserver, "get_logger", lambda name: FailingLogger())
    served = threading.Event()
    budget = ConnectionBudget(1)
    with ThreadPoolExecutor(4) as executor:
        server = ConnectionServer(
            executor,
            Address("127.0.0.1", 0),
            lambda sock, remote: served.set(),
            10,
            budget=budget,
        )
        server.start()
        try:
            # This connection is refused, and that can't be logged.
            assert budget.take()
            with socket.create_connection(server.address, WAIT_SECONDS) as client:
                assert client.recv(1) == b""
            budget.give_back()
            with socket.create_connection(server.address, WAIT_SECONDS):
                assert served.wait(WAIT_SECONDS)
        finally:
            server.close()
