"""One attempt of a request at one backend server."""

import abc

from godwitrack.answerhead import check_head
from godwitrack.callmessages import Answer, Chunk, Outcome, Proceed, Query, Refused
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    HeadError,
    LinkError,
    LinkTimeout,
    MessageError,
    RequestError,
)
from godwitrack.load import Load
from godwitrack.message import check_headers
from godwitrack_node.attempterrors import NoTimeToConnect, RefusedByNode, SilentNode
from godwitrack_node.heldanswer import HeldAnswer
from godwitrack_node.ledger import OutcomeState
from godwitrack_node.pacing import PartSender
from godwitrack_node.remainingbody import RemainingBody

QUERY_TIMEOUT_SECONDS = 1.0
# Pauses between outcome queries about a call whose link failed; they double up to MAX.
INITIAL_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 1.0


class Attempt(abc.ABC):
    """Sends a call to one backend server and writes its answer to a sink."""

    @abc.abstractmethod
    def run(self, call, source, sink):
        """Run the call.

        Args:
            call: Call.
            source: CallerSource for the rest of the body.
            sink: CallerSink.

        Returns:
            Load of the server, or None if it is not known.

        Raises:
            RequestError: There is no answer, or the sink got only a part of one.
            CallerDisconnected: The caller disconnected.
        """


class LocalAttempt(Attempt):
    """An attempt at the node's own backend server, made without a link."""

    def __init__(self, guard):
        self._guard = guard

    def run(self, call, source, sink):
        """Run the call at the node's own guard."""
        self._guard.run(call, source, sink)
        return self._guard.read_load()


class RemoteAttempt(Attempt):
    """An attempt over a link; it queries the outcome if the link is silent or fails.

    An attempt that ends with SilentNode keeps its link until it is resumed or closed:
    the request may be at work there, and may have to stay so if no other node can
    answer it.
    """

    def __init__(
        self,
        clock,
        pool,
        address,
        silence_timeout,
        on_load,
        pacer=None,
        watch=None,
        grace=0.0,
        query_timeout=None,
        can_retry=None,
        budget=None,
    ):
        """Create an attempt at one node.

        Args:
            clock: Clock.
            pool: LinkPool.
            address: "host:port" of the other node's links.
            silence_timeout: Seconds without a message after which the node is
                queried.
            on_load: Function that receives the Load in a refusal.
            pacer: RegionalPacer if the other node is in another region, else None.
            watch: Watch of the caller's connection, or None.
            grace: Seconds after the deadline in which the final answer may arrive.
            query_timeout: Timeout in seconds of an outcome query about an idempotent
                call on a silent link; `silence_timeout` by default.
            can_retry: Function that returns whether another attempt could follow;
                by default one always can.
            budget: ByteBudget of the answers that are held until they are complete,
                or None to send each part on at once.
        """
        self._budget = budget
        self._can_retry = can_retry or _always_true
        self._query_timeout = (
            silence_timeout if query_timeout is None else query_timeout
        )
        self._grace = grace
        self._watch = watch
        self._clock = clock
        self._pool = pool
        self._address = address
        self._silence_timeout = silence_timeout
        self._on_load = on_load
        self._pacer = pacer
        self._call = None
        self._sink = None
        self._deadline = 0.0
        self._link = None
        self._body = None
        self._sender = None

    def run(self, call, source, sink):
        """Run the call over a link.

        Raises:
            SilentNode: The node is silent, and another attempt could follow.
        """
        self._call, self._sink = call, sink
        remaining = call.deadline_ms / 1000.0 + self._grace
        self._deadline = self._clock.read_monotonic() + remaining
        self._link = self._connect(call)
        self._body = RemainingBody(call, source)
        return self._complete(self._exchange)

    def resume(self):
        """Wait on for the answer after SilentNode, as no other attempt can follow.

        Returns:
            As `run`, and so are the errors.
        """
        self._can_retry = _always_false
        return self._complete(self._await_answer)

    def close(self):
        """End the attempt after SilentNode, as another one brought the answer."""
        self._link.abort()

    def _complete(self, receive):
        """Write the answer that `receive` returns the first message of to the sink."""
        link, sink, deadline = self._link, self._sink, self._deadline
        is_complete = is_kept = False
        try:
            message = receive()
            if type(message) is Outcome:
                sink.start(
                    message.status,
                    _read_headers(message),
                    len(message.body),
                    message.body,
                    False,
                )
                return None
            load = self._relay(link, message, sink, deadline)
            is_complete = True
            return load
        except (HeadError, MessageError) as error:
            raise RequestError(ErrorKind.ANSWER_LOST, str(error)) from None
        except SilentNode:
            is_kept = True
            raise
        except RequestError as error:
            is_complete = error.kind is ErrorKind.BACKEND_FAILED or (
                error.kind is not ErrorKind.OUTCOME_UNKNOWN
                and not sink.is_started
                and isinstance(error, RefusedByNode)
            )
            raise
        finally:
            if is_complete and self._body.is_settled:
                self._pool.release(link)
            elif not is_kept:
                link.abort()

    def _connect(self, call):
        remaining = call.deadline_ms / 1000.0
        try:
            return self._pool.acquire(self._address, remaining)
        except LinkTimeout as error:
            if remaining < self._pool.connect_timeout:
                raise NoTimeToConnect(str(error)) from None
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None
        except LinkError as error:
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None

    def _exchange(self):
        """Send the call and return the first message of its answer."""
        try:
            if self._pacer is not None:
                self._body.shorten_first_part()
            self._link.send(self._call, self._compute_remaining(self._deadline))
        except (LinkError, MessageError):
            return self._resolve_outcome(self._call, self._deadline)
        return self._await_answer()

    def _await_answer(self):
        """Return the first message of the answer, for which the body may be needed."""
        try:
            message = None
            if self._sender is None:
                message = self._receive()
                if type(message) is Proceed:
                    message = self._send_remaining_body()
            while message is None:
                message = self._sender.handle_message(self._receive())
            return message
        except (LinkError, MessageError):
            return self._resolve_outcome(self._call, self._deadline)

    def _receive(self):
        """Return the next message; query the node whenever the link is silent."""
        wait, call = self._silence_timeout, self._call
        while True:
            remaining = self._compute_remaining(self._deadline)
            try:
                return self._link.receive(min(wait, remaining), self._watch)
            except LinkTimeout:
                remaining = self._compute_remaining(self._deadline)
                outcome = self._query_outcome(
                    call, min(remaining, self._compute_query_timeout(call))
                )
            if outcome is not None and self._is_final(
                outcome, wait > self._silence_timeout
            ):
                return self._interpret_outcome(outcome)
            if outcome is None and call.idempotent and self._can_retry():
                raise SilentNode(self)
            if self._compute_remaining(self._deadline) <= 0:
                raise self._make_timeout_error(outcome)
            wait *= 2

    def _resolve_outcome(self, call, deadline):
        """Query a call whose link failed; returns its stored answer, or raises."""
        pause = INITIAL_PAUSE_SECONDS
        while True:
            remaining = self._compute_remaining(deadline)
            outcome = self._query_outcome(call, min(remaining, QUERY_TIMEOUT_SECONDS))
            if outcome is not None and self._is_final(outcome, True):
                return self._interpret_outcome(outcome)
            if self._compute_remaining(deadline) <= pause:
                raise self._make_timeout_error(outcome)
            if outcome is None and call.idempotent:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the link failed")
            if self._watch is not None and self._watch.is_disconnected():
                raise CallerDisconnected("the caller left")
            self._clock.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_SECONDS)

    def _compute_query_timeout(self, call):
        """Return the timeout of an outcome query on a silent link, in seconds."""
        if call.idempotent:
            return min(self._query_timeout, QUERY_TIMEOUT_SECONDS)
        return QUERY_TIMEOUT_SECONDS

    def _query_outcome(self, call, timeout):
        """Query the Outcome of a call over a new link; returns None if that fails.

        All steps together end within `timeout` seconds, or once the caller leaves.
        """
        if timeout <= 0:
            return None
        deadline = self._clock.read_monotonic() + timeout
        try:
            link = self._pool.open(self._address, timeout)
        except LinkError:
            return None
        try:
            query = Query(call.request_id, call.incarnation)
            link.send(query, self._compute_remaining(deadline))
            message = link.receive(self._compute_remaining(deadline), self._watch)
        except (LinkError, MessageError):
            link.abort()
            return None
        except CallerDisconnected:
            link.abort()
            raise
        if type(message) is not Outcome:
            link.abort()
            return None
        self._pool.release(link)
        return message

    def _is_final(self, outcome, use_stored_answer):
        """Return whether an Outcome ends the wait for an answer on the link.

        Args:
            outcome: Outcome.
            use_stored_answer: Whether to take the answer that the node stored, rather
                than wait for the one that it sends.
        """
        if outcome.state == OutcomeState.RUNNING.value:
            return False
        if outcome.state == OutcomeState.FINISHED.value:
            # The answer may be in transit; the stored one is used if it does not
            # arrive.
            return use_stored_answer
        return True

    def _interpret_outcome(self, outcome):
        """Return an Outcome with a stored answer, or raise its RequestError."""
        if outcome.state == OutcomeState.FENCED.value:
            raise RequestError(ErrorKind.FENCED)
        if outcome.state == OutcomeState.FINISHED.value:
            if outcome.status:
                return outcome
            raise RequestError(ErrorKind.ANSWER_LOST)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN)

    def _make_timeout_error(self, outcome):
        if outcome is not None:
            return RequestError(ErrorKind.TIMEOUT)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN)

    def _send_remaining_body(self):
        """Send the remaining body; returns a message that ended it early, or None."""
        self._sender = PartSender(self._link, self._clock, self._pacer)
        try:
            return self._body.send(self._sender, self._deadline)
        except (CallerDisconnected, RequestError):
            # The abort keeps the other node from treating a truncated body as complete.
            self._link.abort()
            raise

    def _relay(self, link, message, sink, deadline):
        """Write an answer to the sink and return the Load in it."""
        if type(message) is Refused:
            self._on_load(Load.from_data(message.load))
            raise RefusedByNode(message)
        if type(message) is not Answer:
            raise RequestError(ErrorKind.ANSWER_LOST, "no answer came")
        load = Load.from_data(message.load)
        headers = _read_headers(message)
        if not message.more or self._budget is None:
            sink.start(
                message.status, headers, message.length, message.body, message.more
            )
            if message.more:
                self._relay_parts(link, sink, deadline, None)
            return load
        head = (message.status, headers, message.length)
        with HeldAnswer(sink, self._budget, *head, message.body) as held:
            self._relay_parts(link, held, deadline, self._watch)
        return load

    def _relay_parts(self, link, sink, deadline, watch):
        """Write the parts of an answer after the first to a sink."""
        more = True
        while more:
            try:
                part = link.receive(self._compute_remaining(deadline), watch)
            except (LinkError, MessageError):
                raise RequestError(ErrorKind.ANSWER_LOST) from None
            if type(part) is not Chunk:
                raise RequestError(ErrorKind.ANSWER_LOST)
            more = part.more
            if more:
                self._acknowledge_part(link, deadline)
            sink.write(part.data, more)

    def _acknowledge_part(self, link, deadline):
        try:
            link.send(Proceed(), self._compute_remaining(deadline))
        except LinkError:
            raise RequestError(ErrorKind.ANSWER_LOST) from None

    def _compute_remaining(self, deadline):
        return max(deadline - self._clock.read_monotonic(), 0.0)


def _read_headers(message):
    """Return the headers of an Answer or Outcome after a check of its head.

    Raises:
        MessageError: The headers are not pairs of texts.
        HeadError: The status or a header is not valid.
    """
    headers = check_headers(message.headers)
    check_head(message.status, headers)
    return headers


def _always_true():
    return True


def _always_false():
    return False
