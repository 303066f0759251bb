"""The interface between the callers' port and an entry."""

import abc

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Service


class CallHandler(Service):
    """Forwards callers' requests to backend servers and returns the answers.

    Attributes:
        is_refusing: Whether requests of which nothing was passed on yet are refused,
            because the node is about to end.
    """

    name = "entry"
    is_refusing = False

    def check_accepting(self):
        """Check that a request may be passed on for the first time.

        Raises:
            RequestError: STOPPING; the node is about to end.
        """
        if self.is_refusing:
            raise RequestError(ErrorKind.STOPPING, "the node is stopping")

    @property
    @abc.abstractmethod
    def limits(self):
        """CallerLimits for requests of callers."""

    @abc.abstractmethod
    def begin(self, request):
        """Return the entry's state object for a request that just arrived."""

    @abc.abstractmethod
    def handle(self, entry_request, request, connection):
        """Serve a request.

        Args:
            entry_request: State object that `begin` returned.
            request: HttpRequest.
            connection: HttpConnection on which the answer is sent.

        Raises:
            RequestError: There is no complete answer; if a part of it was sent, the
                connection must be closed.
            CallerDisconnected: The caller closed the connection.
        """
