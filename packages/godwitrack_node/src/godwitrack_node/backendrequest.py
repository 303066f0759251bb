"""A request to the node's own backend server, as both of its clients send it."""


class BackendRequest:
    """A request to the backend server.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: List of pairs of name and value, without hop-by-hop headers.
        body: Whole body, or its first part.
        length: Bytes of the whole body, or -1 if not known.
        read_more: Function that returns the next part of the body, or empty bytes at
            its end; None if `body` is whole.
    """

    __slots__ = ("body", "headers", "length", "method", "path", "read_more")

    def __init__(self, method, path, headers, body, length, read_more):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.length = length
        self.read_more = read_more
