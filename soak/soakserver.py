"""A backend server of a soak, and the record of what runs there."""

import time

from appstand import AppStand


class Run:
    """A request that reached a backend server and ran there.

    Attributes:
        request_id: Id of the caller's request.
        target: Path as it arrived.
        node: Number of the node beside the server.
        instance: Id of the server's process.
        caller_service: Service of the node that the caller asked, as it was told.
        length: Bytes of the body.
        moment: Monotonic time in seconds.
    """

    __slots__ = (
        "caller_service",
        "instance",
        "length",
        "moment",
        "node",
        "request_id",
        "target",
    )

    def __init__(self, request, request_id, body, node, instance):
        self.request_id = request_id
        self.target = request.target
        self.caller_service = request.get("godwitrack-caller-service")
        self.length = len(body)
        self.node = node
        self.instance = instance
        self.moment = time.monotonic()


class SoakServer(AppStand):
    """One process of a backend server.

    Attributes:
        node: Number of the node beside it.
        started_at: Monotonic time of its start in seconds.
        warm_at: Monotonic time of the end of its cold start in seconds.
        left_at: Monotonic time at which its leaving was acknowledged, or None.
        breaks: Whether it breaks its answers off.
    """

    def __init__(self, executor, runs, node, service, instance, address):
        """Begin to serve.

        Args:
            executor: concurrent.futures.Executor.
            runs: List to which it adds its Runs.
            node: Number of the node beside it.
            service: Name of its service.
            instance: Id of its process.
            address: Address to listen on.
        """
        super().__init__(executor, service, instance, address)
        self.node = node
        self.started_at = time.monotonic()
        self.left_at = None
        self.breaks = False
        self.behave = self._behave
        self._runs = runs
        self._lengths = {}
        self.warm_at = self.started_at

    @property
    def was_cold(self):
        """Whether it started cold."""
        return self.warm_at > self.started_at

    def begin_cold(self, seconds):
        """Start cold, for so many seconds."""
        self.warm_at = self.started_at + seconds
        self.count_down()

    def count_down(self):
        """Update what it tells of its cold start."""
        self.cold_seconds = max(self.warm_at - time.monotonic(), 0.0)

    def note_run(self, request, request_id, body):
        """Record a request that runs."""
        run = Run(request, request_id, body, self.node, self.instance)
        self._lengths[request_id] = run.length
        self._runs.append(run)

    def _behave(self, request_id, connection, sock):
        length = self._lengths.pop(request_id, 0)
        if self.breaks or (self.seconds and not self._work(sock)):
            return False
        self.send_answer(request_id, connection, make_proof(request_id, length))
        return True


def make_proof(request_id, length):
    """Return the text by which a caller knows the answer to its request."""
    return f"{request_id} {length}".encode()
