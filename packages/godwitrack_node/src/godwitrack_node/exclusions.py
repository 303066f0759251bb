"""Exclusions: servers and data centres that operators took out of service."""

from godwitrack.kernel import Service
from godwitrack_node.directory import ServerRecord, ServerState
from godwitrack_node.routing import Exclusions

NOTICE_PREFIX = "notice"


class ExclusionRegister(Service):
    """Combines the configuration's exclusions with the notices in the directory.

    Notices spread between peers, also while the store can't be written. A notice
    can only add an exclusion or cancel an earlier notice: an exclusion in the
    configuration ends only when the configuration changes.
    """

    name = "exclusions"

    def __init__(self, clock, identity):
        self._clock = clock
        self._identity = identity
        self._directory = None
        self._configurations = None
        self._cached = (None, Exclusions())

    def connect(self, kernel):
        """Look up the services used."""
        self._directory = kernel.find("directory")
        self._configurations = kernel.find("configurations")

    @property
    def version(self):
        """Number that changes when the configuration does."""
        return self._configurations.current.revision

    def read(self):
        """Return the Exclusions in force."""
        version = (self.version, self._directory.version)
        # Version and content are stored in one tuple. Otherwise, two threads that
        # build at the same time could leave older content under a newer version.
        cached_version, exclusions = self._cached
        if version != cached_version:
            exclusions = self._build()
            self._cached = (version, exclusions)
        return exclusions

    def covers_self(self):
        """Return whether the node's own backend server is taken out of service."""
        exclusions = self.read()
        return (
            self._identity.data_centre in exclusions.data_centres
            or self._identity.name in exclusions.servers
        )

    def publish_notice(self, kind, name, is_out):
        """Publish a notice to all nodes through the directory.

        Args:
            kind: "data-centre" or "server".
            name: Name of the data centre or backend server.
            is_out: Whether it is taken out of service or brought back.

        Returns:
            Whether the directory changed. Bringing back changes nothing unless an
            earlier notice takes out the same name.
        """
        key = f"{NOTICE_PREFIX}:{kind}:{name}"
        current = self._directory.find(key)
        if not is_out and (
            current is None or current.state is not ServerState.OUT_NOTICE
        ):
            return False
        incarnation = int(self._clock.read_wall() * 1000)
        if current is not None:
            incarnation = max(incarnation, current.incarnation + 1)
        state = ServerState.OUT_NOTICE if is_out else ServerState.BACK_NOTICE
        record = ServerRecord(key, "", "", "", "", 0, state, incarnation, 1)
        return self._directory.merge(record)

    def _build(self):
        configuration = self._configurations.current
        names = {"data-centre": set(), "server": set()}
        names["data-centre"].update(configuration.data_centres_out)
        names["server"].update(configuration.servers_out)
        for notice in self._directory.list_notices():
            _, kind, name = notice.name.split(":", 2)
            if notice.state is ServerState.OUT_NOTICE and kind in names:
                names[kind].add(name)
        return Exclusions(frozenset(names["data-centre"]), frozenset(names["server"]))
