"""One attempt of a request at one backend server."""

import abc

from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    LinkTimeout,
    MessageError,
    RequestError,
)
from godwitrack.load import Load
from godwitrack.messages import (
    Answer,
    Chunk,
    Outcome,
    Proceed,
    Query,
    Refused,
    check_headers,
)
from godwitrack_node.ledger import OutcomeState
from godwitrack_node.pacing import REGIONAL_FIRST_BYTES, PartSender

QUERY_TIMEOUT_SECONDS = 1.0
# Pauses between questions about a call whose link failed; they double.
FIRST_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 1.0


class Attempt(abc.ABC):
    """Sends a call to one server and hands its answer to a sink."""

    @abc.abstractmethod
    def run(self, call, source, sink):
        """Run the call.

        Args:
            call: Call.
            source: CallerSource for the rest of the body.
            sink: CallerSink.

        Returns:
            Load of the server, or None where it is not known.

        Raises:
            RequestError: There is no answer, or the sink got only a part of it.
            CallerDisconnected: The caller is gone.
        """


class LocalAttempt(Attempt):
    """An attempt at the node's own backend server, without a link."""

    def __init__(self, guard):
        self._guard = guard

    def run(self, call, source, sink):
        """Run the call at the node's own guard."""
        self._guard.run(call, source, sink)
        return self._guard.read_load()


class RemoteAttempt(Attempt):
    """An attempt over a link, which finds out what happened when the link fails."""

    def __init__(
        self,
        clock,
        pool,
        address,
        silence,
        on_load,
        pacer=None,
        watch=None,
        grace=0.0,
        query_timeout=None,
        can_repeat=None,
    ):
        """Prepare an attempt.

        Args:
            clock: Clock.
            pool: LinkPool.
            address: "host:port" of the other node's links.
            silence: Seconds without an answer after which the node is asked.
            on_load: Called with the Load in a refusal.
            pacer: RegionalPacer where the other node is in another region.
            watch: Watch of the caller's connection, or None.
            grace: Seconds after the deadline for the other side's last word.
            query_timeout: Seconds allowed to ask about a silent read; `silence` by
                default.
            can_repeat: Function that tells whether another attempt could follow;
                by default one always can.
        """
        self._can_repeat = can_repeat or _always
        self._query_timeout = silence if query_timeout is None else query_timeout
        self._grace = grace
        self._watch = watch
        self._clock = clock
        self._pool = pool
        self._address = address
        self._silence = silence
        self._on_load = on_load
        self._pacer = pacer

    def run(self, call, source, sink):
        """Run the call over a link."""
        left = call.deadline_ms / 1000.0 + self._grace
        deadline = self._clock.read_monotonic() + left
        link = self._connect(call)
        is_complete = False
        try:
            message = self._exchange(link, call, source, deadline)
            if type(message) is Outcome:
                sink.start(
                    message.status,
                    check_headers(message.headers),
                    len(message.body),
                    message.body,
                    False,
                )
                return None
            load = self._relay(link, message, sink, deadline)
            is_complete = True
            return load
        except RequestError as error:
            is_complete = error.kind is ErrorKind.BACKEND_FAILED or (
                error.kind is not ErrorKind.OUTCOME_UNKNOWN
                and not sink.is_started
                and isinstance(error, RefusedByNode)
            )
            raise
        finally:
            if is_complete:
                self._pool.release(link)
            else:
                link.abort()

    def _connect(self, call):
        left = call.deadline_ms / 1000.0
        try:
            return self._pool.acquire(self._address, left)
        except LinkTimeout as error:
            if left < self._pool.connect_timeout:
                raise NoTimeToConnect(str(error)) from None
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None
        except LinkError as error:
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None

    def _exchange(self, link, call, source, deadline):
        """Send the call and return the first message of its answer."""
        try:
            rest = _RestOfBody(call, source)
            if self._pacer is not None:
                rest.split_first()
            link.send(call, self._find_left(deadline))
            message = self._receive(link, call, deadline)
            if type(message) is Proceed:
                message = self._send_rest(link, call, rest, deadline)
            return message
        except (LinkError, MessageError):
            return self._resolve(call, deadline)

    def _receive(self, link, call, deadline):
        """Return the next message; ask the node whenever the link is silent."""
        wait = self._silence
        while True:
            left = self._find_left(deadline)
            try:
                return link.receive(min(wait, left), self._watch)
            except LinkTimeout:
                outcome = self._query(call, min(left, self._find_query_timeout(call)))
            if outcome is not None and self._is_final(outcome, wait > self._silence):
                return self._conclude(outcome)
            if outcome is None and call.idempotent and self._can_repeat():
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the node is silent")
            if self._find_left(deadline) <= 0:
                raise self._give_up(outcome)
            wait *= 2

    def _resolve(self, call, deadline):
        """Return the outcome of a call whose link failed."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            left = self._find_left(deadline)
            outcome = self._query(call, min(left, QUERY_TIMEOUT_SECONDS))
            if outcome is not None and self._is_final(outcome, True):
                return self._conclude(outcome)
            if self._find_left(deadline) <= pause:
                raise self._give_up(outcome)
            if outcome is None and call.idempotent:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the link failed")
            if self._watch is not None and self._watch.is_disconnected():
                raise CallerDisconnected("the caller left")
            self._clock.sleep(pause)
            pause = min(pause * 2, MAX_PAUSE_SECONDS)

    def _find_query_timeout(self, call):
        """Return the seconds allowed to ask what became of a call."""
        if call.idempotent:
            return min(self._query_timeout, QUERY_TIMEOUT_SECONDS)
        return QUERY_TIMEOUT_SECONDS

    def _query(self, call, timeout):
        """Return the Outcome over a new link, or None where none is to be had."""
        if timeout <= 0:
            return None
        try:
            link = self._pool.open(self._address, timeout)
        except LinkError:
            return None
        try:
            link.send(Query(call.request_id, call.incarnation), timeout)
            message = link.receive(timeout)
        except (LinkError, MessageError):
            link.abort()
            return None
        if type(message) is not Outcome:
            link.abort()
            return None
        self._pool.release(link)
        return message

    def _is_final(self, outcome, is_repeated):
        """Tell whether waiting on the link can bring nothing more."""
        if outcome.state == OutcomeState.RUNNING.value:
            return False
        if outcome.state == OutcomeState.FINISHED.value:
            # The answer may be on its way; it is fetched when it stays away.
            return is_repeated
        return True

    def _conclude(self, outcome):
        """Return a kept answer, or raise what the outcome means."""
        if outcome.state == OutcomeState.FENCED.value:
            raise RequestError(ErrorKind.FENCED)
        if outcome.state == OutcomeState.FINISHED.value:
            if outcome.status:
                return outcome
            raise RequestError(ErrorKind.ANSWER_LOST)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN)

    def _give_up(self, outcome):
        if outcome is not None:
            return RequestError(ErrorKind.TIMEOUT)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN)

    def _send_rest(self, link, call, rest, deadline):
        """Send the rest of the body and return the first message of the answer."""
        sender = PartSender(link, self._clock, self._pacer)
        try:
            message = rest.send(sender, deadline)
        except (CallerDisconnected, RequestError):
            # The other node must not take a broken body for a whole one.
            link.abort()
            raise
        while message is None:
            message = sender.handle_message(self._receive(link, call, deadline))
        return message

    def _relay(self, link, message, sink, deadline):
        """Hand an answer to the sink and return the load in it."""
        if type(message) is Refused:
            self._on_load(Load.from_data(message.load))
            raise RefusedByNode(message)
        if type(message) is not Answer:
            raise RequestError(ErrorKind.ANSWER_LOST, "no answer came")
        headers = check_headers(message.headers)
        sink.start(message.status, headers, message.length, message.body, message.more)
        load = Load.from_data(message.load)
        more = message.more
        while more:
            try:
                part = link.receive(self._find_left(deadline))
            except (LinkError, MessageError):
                raise RequestError(ErrorKind.ANSWER_LOST) from None
            if type(part) is not Chunk:
                raise RequestError(ErrorKind.ANSWER_LOST)
            more = part.more
            if more:
                self._confirm_part(link, deadline)
            sink.write(part.data, more)
        return load

    def _confirm_part(self, link, deadline):
        try:
            link.send(Proceed(), self._find_left(deadline))
        except LinkError:
            raise RequestError(ErrorKind.ANSWER_LOST) from None

    def _find_left(self, deadline):
        return max(deadline - self._clock.read_monotonic(), 0.0)


class _RestOfBody:
    """What of a request's body follows the call."""

    def __init__(self, call, source):
        self._call = call
        self._source = source
        self._has_source = call.more
        self._head = b""

    def split_first(self):
        """Leave only a short first part in the call."""
        call = self._call
        if len(call.body) > REGIONAL_FIRST_BYTES:
            self._head = call.body[REGIONAL_FIRST_BYTES:]
            call.body = call.body[:REGIONAL_FIRST_BYTES]
            call.more = True

    def send(self, sender, deadline):
        """Send all of it; returns a message that ended the sending, or None."""
        if self._head:
            message = sender.send(self._head, self._has_source, deadline)
            if message is not None:
                return message
        while self._has_source:
            part = self._source.read()
            self._has_source = bool(part)
            message = sender.send(part, self._has_source, deadline)
            if message is not None:
                return message
        return None


class RefusedByNode(RequestError):
    """The other node's own refusal, after which the link can be used again."""

    def __init__(self, message):
        try:
            kind = ErrorKind(message.kind)
        except ValueError:
            kind = ErrorKind.OUTCOME_UNKNOWN
        super().__init__(kind, message.detail)


class NoTimeToConnect(RequestError):
    """The request had less time left than a new link may take.

    Nothing was sent, and the other node may well live.
    """

    def __init__(self, detail):
        super().__init__(ErrorKind.BACKEND_UNREACHABLE, detail)


def _always():
    return True
