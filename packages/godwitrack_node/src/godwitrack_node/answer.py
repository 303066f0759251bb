"""A complete HTTP answer."""


class HttpAnswer:
    """A complete answer of a backend server or of the node itself.

    Attributes:
        status: HTTP status.
        headers: List of pairs of texts.
        body: Bytes.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers=(), body=b""):
        self.status = status
        self.headers = list(headers)
        self.body = body

    def get(self, name, default=""):
        """Return the first value of a header.

        Args:
            name: Lower-case name.
            default: Value if the header is missing.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default
