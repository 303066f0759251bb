"""Base of the guards, with the interface that other parts of a node use."""

import abc

from godwitrack.kernel import Service
from godwitrack_node.bodystreams import LinkSink
from godwitrack_node.ledger import Ledger
from godwitrack_node.pacing import PartSender


class ServerGuard(Service):
    """The only part of the node that sends requests to its backend server.

    Attributes:
        ledger: Ledger of the requests that ran.
    """

    name = "guard"

    def __init__(self, clock, identity):
        """Create the guard; `connect` looks up the other services.

        Args:
            clock: Clock.
            identity: Identity of the node.
        """
        self._clock = clock
        self._identity = identity
        self._pacer = None
        self.ledger = Ledger(clock)

    def connect(self, kernel):
        """Find the collaborators."""
        self._pacer = kernel.find("regional-pacer")

    def make_sink(self, link, call, source):
        """Return the LinkSink for the answer to a call that came over a link.

        Args:
            link: Link.
            call: Call or RoutedCall.
            source: LinkSource of the call's body, which may still be on its way.
        """
        pacer = self._pacer if call.is_regional else None
        sender = PartSender(link, self._clock, pacer, source.drop)
        return LinkSink(link, call, self.read_load, sender, self._clock)

    @abc.abstractmethod
    def read_load(self):
        """Return the Load of the backend server."""

    @abc.abstractmethod
    def query(self, request_id, incarnation):
        """Return the outcome of a request; one that did not start is fenced.

        Args:
            request_id: Request id in the call.
            incarnation: Incarnation of the node to which the call was sent.

        Returns:
            OutcomeState and HttpAnswer or None.
        """

    @abc.abstractmethod
    def run(self, call, source, sink):
        """Run a request at the backend server.

        Args:
            call: Call or RoutedCall.
            source: BodySource for the parts of the body that the call does not hold.
            sink: AnswerSink.

        Raises:
            RequestError: The request got no answer, or only a part of one.
            CallerDisconnected: The other side of the source or sink disconnected.
        """
