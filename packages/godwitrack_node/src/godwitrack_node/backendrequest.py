"""A request for the node's own backend server, whatever client sends it."""


class BackendRequest:
    """A request for the backend server.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: List of pairs of texts, without those of the connection.
        body: Whole body, or its first part.
        length: Bytes of the whole body, or -1 if not known.
        read_more: Function that returns further parts and empty bytes at the end,
            or None where `body` is whole.
    """

    __slots__ = ("body", "headers", "length", "method", "path", "read_more")

    def __init__(self, method, path, headers, body, length, read_more):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.length = length
        self.read_more = read_more
