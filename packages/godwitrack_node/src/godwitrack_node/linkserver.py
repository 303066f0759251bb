"""Accepts links from other nodes and passes their messages to the services."""

from godwitrack.callmessages import Call, Outcome, Query, Refused, RoutedCall
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    MessageError,
    RequestError,
)
from godwitrack.kernel import Service
from godwitrack.link import accept_link
from godwitrack.logs import get_logger
from godwitrack.message import check_headers
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.bodystreams import LinkSource
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.peers import Session
from godwitrack_node.ports import Port
from godwitrack_node.waitingsockets import WaitingSockets

HANDSHAKE_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 60.0
SEND_TIMEOUT_SECONDS = 20.0
# Time for the end of a body that was answered before, or for the other node to close
# the link.
REST_SECONDS = 2.0
MAX_LINKS = 4096
# Opening handshakes at once. Nodes take some ms for one, others may never end it.
MAX_HANDSHAKES = 256
EMPTY_ANSWER = HttpAnswer(0, [], b"")


class LinkServer(Service):
    """Serves links, each in its own thread.

    Attributes:
        advertised: The "host:port" at which other nodes connect.
        port: Port of the links.
    """

    name = "link-server"

    def __init__(
        self,
        executor,
        address,
        authenticator,
        budget,
        advertised="",
        max_links=MAX_LINKS,
        connection_budget=None,
    ):
        """Create the port; `start` opens it if it is not open yet.

        Args:
            executor: concurrent.futures.Executor.
            address: Address to listen on.
            authenticator: Authenticator.
            budget: ControlBudget.
            advertised: The "host:port" at which other nodes connect, if it differs
                from the address to listen on.
            max_links: Maximum number of open links.
            connection_budget: ConnectionBudget shared with other ports, or None.
        """
        self._executor = executor
        self._authenticator = authenticator
        self._budget = budget
        self._max_links = max_links
        self._connection_budget = connection_budget
        self._server = None
        # Those that have not proved yet that they know the secret.
        self._handshakes = WaitingSockets(MAX_HANDSHAKES)
        self._guard = None
        self._membership = None
        self._metrics = None
        self.port = Port(address)
        self.advertised = advertised or self._find_address()
        self._log = get_logger("links")

    def connect(self, kernel):
        """Find the collaborators."""
        self._guard = kernel.find("guard")
        self._membership = kernel.find("membership")
        self._metrics = kernel.find("metrics")

    def start(self):
        """Open the port and start accepting links."""
        self._server = ConnectionServer(
            self._executor,
            self.port.address,
            self._serve,
            self._max_links,
            self.port,
            self._connection_budget,
        )
        self._server.start()

    def stop(self):
        """Close the port and every link."""
        self._server.close()
        self._server.interrupt()

    def _find_address(self):
        """Return the "host:port" to listen on, for which port 0 has to be bound."""
        if self.port.address.port:
            return str(self.port.address)
        self.port.bind()
        host, port = self.port.socket.getsockname()
        return f"{host}:{port}"

    def _serve(self, sock, remote):
        try:
            link = self._accept(sock, remote)
        except (LinkError, MessageError) as error:
            self._metrics.count_bad_input("link")
            self._log.info("link not accepted", remote=remote, error=str(error))
            return
        try:
            self._serve_link(link)
        except MessageError as error:
            self._metrics.count_bad_input("link")
            self._log.warning("link closed", remote=remote, error=str(error))
        except (LinkError, CallerDisconnected):
            pass
        except Exception:
            self._log.exception("link closed", remote=remote)
        finally:
            link.abort()

    def _accept(self, sock, remote):
        """Return the Link of a connection, whose handshake may have to make room."""
        self._handshakes.add(sock)
        try:
            return accept_link(
                sock, remote, self._authenticator, HANDSHAKE_TIMEOUT_SECONDS
            )
        finally:
            self._handshakes.remove(sock)

    def _serve_link(self, link):
        session = Session()
        while True:
            message = link.receive(IDLE_TIMEOUT_SECONDS)
            if type(message) in (Call, RoutedCall):
                serve_call(self._guard, link, message)
            elif type(message) is Query:
                serve_query(self._guard, link, message)
            else:
                self._serve_control(link, message, session)

    def _serve_control(self, link, message, session):
        sent, received = link.sent_bytes, link.received_bytes
        link.send(self._membership.answer(message, session), SEND_TIMEOUT_SECONDS)
        self._budget.count(
            session.is_regional,
            link.sent_bytes - sent,
            link.received_bytes - received,
        )


def serve_call(guard, link, call):
    """Run a call and send its answer, or the error that it ended with, over the link.

    Args:
        guard: ServerGuard.
        link: Link on which the call came.
        call: Call or RoutedCall.

    Raises:
        LinkError: The link failed.
        CallerDisconnected: The exchange is incomplete, so that the link can't be
            reused.
    """
    check_headers(call.headers)
    source = LinkSource(link)
    sink = guard.make_sink(link, call, source)
    failure = None
    try:
        guard.run(call, source, sink)
    except RequestError as error:
        # The traceback would keep the frames, and so the body, until the garbage
        # collector runs.
        failure = error.with_traceback(None)
    except (LinkError, CallerDisconnected, MessageError):
        raise
    except Exception:
        get_logger("links").exception("call failed", request_id=call.request_id)
        failure = RequestError(ErrorKind.INTERNAL)
    if failure is not None:
        load = guard.read_load().to_data()
        refused = Refused(failure.kind.value, failure.detail, load)
        link.send(refused, SEND_TIMEOUT_SECONDS)
    if failure is not None and sink.is_started:
        raise CallerDisconnected("the exchange broke off")
    source.drop_rest(REST_SECONDS)


def serve_query(guard, link, query):
    """Send the outcome of a request over the link.

    Args:
        guard: ServerGuard.
        link: Link on which the query came.
        query: Query.

    Raises:
        LinkError: The link failed.
    """
    state, answer = guard.query(query.request_id, query.incarnation)
    kept = answer or EMPTY_ANSWER
    link.send(
        Outcome(state.value, kept.status, kept.headers, kept.body), SEND_TIMEOUT_SECONDS
    )
