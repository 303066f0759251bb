"""What every entry does for the callers' port."""

import abc

from godwitrack.kernel import Service


class CallHandler(Service):
    """Takes callers' requests to backend servers and their answers back."""

    name = "entry"

    @property
    @abc.abstractmethod
    def limits(self):
        """CallerLimits for what callers send."""

    @abc.abstractmethod
    def begin(self, request):
        """Return what is kept of a request that just arrived while it is served."""

    @abc.abstractmethod
    def handle(self, entry_request, request, connection):
        """Serve a request.

        Args:
            entry_request: What `begin` returned.
            request: HttpRequest.
            connection: HttpConnection, which gets the answer.

        Raises:
            RequestError: There is no answer; if the connection's answer has begun,
                the connection must be closed.
            CallerDisconnected: The caller closed the connection.
        """
