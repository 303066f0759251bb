"""The routes in force, and the data centres that operators took out of service."""

import abc

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.feed import FeedTable, format_version
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack.routetable import CallerLimits


class OperatorsRowReader(abc.ABC):
    """Parses the rows that operators write in the platform's format."""

    @abc.abstractmethod
    def read_routes(self, row):
        """Return the RouteTable in a FeedRow, or None if it holds none."""

    @abc.abstractmethod
    def read_take_out(self, row):
        """Return the data centre that a FeedRow takes out of service, or None."""


class Routes(Service):
    """Holds the RouteTable in force and ignores older ones.

    Attributes:
        taken_out: Frozenset of the data centres that are taken out of service.
    """

    name = "configurations"

    def __init__(self, reader, apply_seconds):
        """Create a service without routes; `connect` subscribes it to changes.

        Args:
            reader: OperatorsRowReader.
            apply_seconds: Seconds within which operators' changes must be in force.
        """
        self._reader = reader
        self._apply_seconds = apply_seconds
        self._replica = None
        self._listeners = []
        self._table = None
        self._row_versions = {}
        self._log = get_logger("routes")
        self.taken_out = frozenset()

    def connect(self, kernel):
        """Subscribe to changes of the operators' table."""
        feed_sync = kernel.find("membership")
        self._replica = feed_sync.get_replica(FeedTable.OPERATORS)
        feed_sync.add_listener(FeedTable.OPERATORS, self._refresh)

    def add_listener(self, listener):
        """Add a listener to changes of the operators' table.

        Args:
            listener: Function called with the frozensets of the data centres that
                were taken out before and after the change; they may be equal.
        """
        self._listeners.append(listener)

    @property
    def content_version(self):
        """Version of the latest change of the operators' table here, or 0."""
        return max(self._replica.content_version, 0)

    @property
    def is_ready(self):
        """Whether routes are known."""
        return self._table is not None

    @property
    def limits(self):
        """CallerLimits in force."""
        return self._table.limits if self._table is not None else CallerLimits()

    @property
    def table(self):
        """RouteTable in force, or None."""
        return self._table

    def read(self):
        """Return the RouteTable in force.

        Raises:
            RequestError: NOT_READY; no routes are known yet.
        """
        if self._table is None:
            raise RequestError(ErrorKind.NOT_READY)
        return self._table

    def make_missing_route_error(self):
        """Return the RequestError for a request that matches no route in force.

        Routes that the store has not confirmed for so long that later ones must be in
        force by now do not tell whether there is a route.
        """
        table, age = self._table, self._replica.age
        detail = f"none of the {table.route_count} routes of revision {table.revision}"
        if age is None or age > self._apply_seconds:
            detail = f"{detail}, confirmed {self._replica.age_ms} ms ago"
            return RequestError(ErrorKind.NOT_READY, detail)
        return RequestError(ErrorKind.UNKNOWN_ROUTE, detail)

    def get_limits(self, service):
        """Return the ServiceLimits of a service, or None."""
        return self._table.services.get(service) if self._table is not None else None

    def _refresh(self):
        """Apply the rows of the operators' table and notify the listeners."""
        taken_out = set()
        for row in self._replica.list_rows():
            data_centre = self._reader.read_take_out(row)
            if data_centre is not None:
                taken_out.add(data_centre)
                continue
            self._update_table(row)
        before, self.taken_out = self.taken_out, frozenset(taken_out)
        if before != self.taken_out:
            self._log.info(
                "data centres taken out",
                data_centres=sorted(taken_out),
                version=format_version(self._replica.version),
            )
        for listener in self._listeners:
            listener(before, self.taken_out)

    def _update_table(self, row):
        """Apply the routes of a row, unless it is unchanged or its routes are older."""
        if self._row_versions.get(row.key) == row.version:
            return
        self._row_versions[row.key] = row.version
        table = self._reader.read_routes(row)
        if table is None:
            return
        if self._table is not None and table.revision < self._table.revision:
            self._log.warning("older routes ignored", revision=table.revision)
            return
        self._table = table
        self._log.info(
            "routes in force", revision=table.revision, routes=len(table.routes)
        )
