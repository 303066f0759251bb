"""What a backend server says of itself, unasked and when asked for its health."""


class Report:
    """What the backend server says of itself.

    Attributes:
        instance: Id of its process.
        born: Unix milliseconds of the process's start.
        sequence: Number that grows with each report of a process.
        service: Name of its service.
        address: "host:port" where it serves.
        slots: Requests that it works on at once.
        is_leaving: Whether it takes no new work.
        cold_seconds: Seconds for which its cold start still lasts.
    """

    __slots__ = (
        "address",
        "born",
        "cold_seconds",
        "instance",
        "is_leaving",
        "sequence",
        "service",
        "slots",
    )

    def __init__(
        self, instance, born, sequence, service, address, slots, is_leaving, cold
    ):
        self.instance = instance
        self.born = born
        self.sequence = sequence
        self.service = service
        self.address = address
        self.slots = slots
        self.is_leaving = is_leaving
        self.cold_seconds = cold


class Health:
    """Answer of the backend server to a health check.

    Attributes:
        instance: Id of its process, or "" where it does not say.
        is_healthy: Whether it takes work.
        cold_seconds: Seconds for which its cold start still lasts, or None.
        slowness: How long work takes now, in percent of the usual time, or None.
        slots: Requests that it works on at once, or 0 where it does not say.
    """

    __slots__ = ("cold_seconds", "instance", "is_healthy", "slots", "slowness")

    def __init__(self, instance, is_healthy, cold_seconds, slowness, slots):
        self.slots = slots
        self.instance = instance
        self.is_healthy = is_healthy
        self.cold_seconds = cold_seconds
        self.slowness = slowness
