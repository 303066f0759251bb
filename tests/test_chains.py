"""Tests of nested calls, which backend servers make while they serve a call."""

import threading

import pytest

from cluster import Cluster, call
from godwitrack_node.context import CONTEXT_HEADER, DEADLINE_HEADER

MAX_DEPTH = 17
NAMES = ("styrning-1", "verkstad-1", "scenbok-1")
WARM_UP_CALLS = 60
CUSTOMER = "platform-internal"
NEXT_PATHS = {
    "styrning": "/verkstad/fleet/state",
    "verkstad": "/styrning/devices/state",
}


class Chain:
    """Backend servers that call each other in turn.

    Attributes:
        statuses: Status of each nested call, the innermost first.
        deadlines: Deadline in ms that each call carried, the outermost first.
        forge: Function that alters the context header of nested calls, or None.
    """

    def __init__(self, cluster):
        self._lock = threading.Lock()
        self._cluster = cluster
        self.statuses = []
        self.deadlines = []
        self.forge = None
        for member in cluster.members:
            behaviour = member.backend.behaviour
            behaviour.seconds = 0.01
            behaviour.call_others = self._make_caller(member)

    def begin(self, **headers):
        member = next(
            item for item in self._cluster.members if item.spec.service == "styrning"
        )
        path = "/styrning/devices/state"
        return call(member.callers, "GET", path, CUSTOMER, extra=headers)

    def _make_caller(self, member):
        def call_others(request):
            with self._lock:
                self.deadlines.append(int(request.get(DEADLINE_HEADER.lower())))
            context = request.get(CONTEXT_HEADER.lower())
            if self.forge is not None:
                context = self.forge(context)
            path = NEXT_PATHS[member.spec.service]
            status, headers, _ = call(
                member.callers, "GET", path, "none", extra={CONTEXT_HEADER: context}
            )
            with self._lock:
                error = headers.get("Godwitrack-Error", "")
                self.statuses.append((status, error))

        return call_others


@pytest.fixture(scope="module")
def cluster():
    with Cluster(3, NAMES) as cluster:
        for path in NEXT_PATHS.values():
            for _ in range(WARM_UP_CALLS):
                call(cluster.members[0].callers, "GET", path, CUSTOMER)
        yield cluster


@pytest.fixture
def chain(cluster):
    return Chain(cluster)


def test_a_chain_ends_at_the_maximum_depth(chain):
    assert chain.begin()[0] == 200
    assert chain.statuses[0] == (508, "too_deep")
    assert chain.statuses[1:] == [(200, "")] * (MAX_DEPTH - 1)
    assert len(chain.deadlines) == MAX_DEPTH


def test_a_chain_shares_one_deadline(chain):
    assert chain.begin(**{DEADLINE_HEADER: "5000"})[0] == 200
    assert chain.deadlines[0] <= 5000
    pairs = zip(chain.deadlines, chain.deadlines[1:], strict=False)
    assert all(inner <= outer for outer, inner in pairs)


def test_a_chain_stops_when_its_deadline_passes(cluster, chain):
    for member in cluster.members:
        member.backend.behaviour.seconds = 0.0
        call_others = member.backend.behaviour.call_others
        member.backend.behaviour.call_others = make_slow(call_others)
    status, headers, _ = chain.begin(**{DEADLINE_HEADER: "300"})
    assert status == 504
    assert headers["Godwitrack-Not-Run"] == "false"
    cluster.wait(lambda: count_active(cluster) == 0, "the servers are idle")
    assert len(chain.deadlines) < MAX_DEPTH


@pytest.mark.parametrize(
    "forge",
    [
        lambda context: context[:-4] + "AAAA",
        lambda context: "A" + context[1:],
        lambda context: context * 2,
    ],
)
def test_a_forged_context_is_refused(chain, forge):
    chain.forge = forge
    assert chain.begin()[0] == 200
    assert chain.statuses == [(401, "unauthenticated")]


def make_slow(function):
    def call_slowly(request):
        threading.Event().wait(0.1)
        function(request)

    return call_slowly


def count_active(cluster):
    return sum(member.find("guard").admission.in_flight for member in cluster.members)
