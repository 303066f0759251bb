"""The interface between the callers' port and an entry."""

import abc

from godwitrack.kernel import Service


class CallHandler(Service):
    """Forwards callers' requests to backend servers and returns the answers."""

    name = "entry"

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
