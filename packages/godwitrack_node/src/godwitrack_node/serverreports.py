"""Reports that a backend server sends, and its answers to health checks."""

import enum


class ReportResult(enum.Enum):
    """What became of a report.

    Attributes:
        APPLIED: It is in force.
        IGNORED: Something newer is in force.
        UNDECIDED: It may be outdated, which a health answer has yet to tell.
    """

    APPLIED = "applied"
    IGNORED = "ignored"
    UNDECIDED = "undecided"


class Report:
    """State of the backend server, as it reports it.

    Attributes:
        instance: Id of its process.
        born: Start of the process, in Unix milliseconds.
        sequence: Number that increases with each report of a process.
        service: Name of its service.
        address: "host:port" on which it listens.
        slots: Number of requests that it runs at once.
        is_leaving: Whether it is leaving service and accepts no new requests.
        cold_seconds: Seconds until its cold start is over.
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


class ServerCondition:
    """What a backend server states of itself in each of its answers.

    Attributes:
        rate_limit: Requests a second that it takes from all nodes together, or None if
            it names no limit.
        is_leaving: Whether it leaves service for good.
    """

    __slots__ = ("is_leaving", "rate_limit")

    def __init__(self, rate_limit, is_leaving):
        self.rate_limit = rate_limit
        self.is_leaving = is_leaving


class Health:
    """Answer of the backend server to a health check.

    Attributes:
        condition: ServerCondition, or None if the answer names no process.
        instance: Id of its process, or "" if not reported.
        is_healthy: Whether it accepts requests.
        cold_seconds: Seconds until its cold start is over, or None if not reported.
        slowness: How long work takes now, in percent of the usual time, or None if
            not reported.
        slots: Number of requests that it runs at once, or 0 if not reported.
    """

    __slots__ = (
        "cold_seconds",
        "condition",
        "instance",
        "is_healthy",
        "slots",
        "slowness",
    )

    def __init__(
        self, instance, is_healthy, cold_seconds, slowness, slots, condition=None
    ):
        self.condition = condition
        self.slots = slots
        self.instance = instance
        self.is_healthy = is_healthy
        self.cold_seconds = cold_seconds
        self.slowness = slowness
