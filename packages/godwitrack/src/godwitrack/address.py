"""Addresses that processes listen on and connect to."""

import re


class Address:
    """An IPv4 address and a TCP port.

    Attributes:
        host: IPv4 address.
        port: TCP port; with 0 the operating system chooses one for a bound socket.
    """

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, value):
        """Return the Address written as "host:port".

        Raises:
            ValueError: The value is not an IPv4 address and a port.
        """
        match = re.fullmatch(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})", str(value))
        if not match or int(match[2]) > 65535:
            raise ValueError(
                'expected an IPv4 address and a port, like "127.0.0.1:8080"'
            )
        if any(int(part) > 255 for part in match[1].split(".")):
            raise ValueError(
                'expected an IPv4 address and a port, like "127.0.0.1:8080"'
            )
        return cls(match[1], int(match[2]))

    def __str__(self):
        return f"{self.host}:{self.port}"

    def __eq__(self, other):
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self):
        return hash((self.host, self.port))
