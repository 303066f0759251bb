"""Errors of attempts that tell the entry more than their kind."""

from godwitrack.exceptions import ErrorKind, RequestError


class RefusedByNode(RequestError):
    """An error that the other node itself reported; the link stays usable."""

    def __init__(self, message):
        try:
            kind = ErrorKind(message.kind)
        except ValueError:
            kind = ErrorKind.OUTCOME_UNKNOWN
        super().__init__(kind, message.detail)


class NoTimeToConnect(RequestError):
    """The request's remaining time was shorter than the connect timeout of a link.

    Nothing was sent, and the other node may be reachable.
    """

    def __init__(self, detail):
        super().__init__(ErrorKind.BACKEND_UNREACHABLE, detail)


class SilentNode(RequestError):
    """The other node is silent, and another attempt could follow.

    The request may be running there; its answer can still be waited for.

    Attributes:
        attempt: RemoteAttempt, which must be resumed or closed.
    """

    def __init__(self, attempt):
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, "the node is silent")
        self.attempt = attempt
