"""What operators have taken out: by the configuration, or by a notice ahead of it."""

from godwitrack.kernel import Service
from godwitrack_node.directory import ServerRecord, ServerState
from godwitrack_node.routing import Exclusions

NOTICE_PREFIX = "notice"


class ExclusionRegister(Service):
    """Joins the configuration's exclusions with the notices in the directory.

    A notice is spread between peers while the store can't be written. It can
    only take out: to bring back what the configuration takes out, the
    configuration must change.
    """

    name = "exclusions"

    def __init__(self, clock, identity):
        self._clock = clock
        self._identity = identity
        self._directory = None
        self._configurations = None
        self._cached = (None, Exclusions())

    def connect(self, kernel):
        """Find the directory and the configuration."""
        self._directory = kernel.find("directory")
        self._configurations = kernel.find("configurations")

    @property
    def version(self):
        """Number that changes when the configuration does."""
        return self._configurations.current.revision

    def read(self):
        """Return the Exclusions in force."""
        version = (self.version, self._directory.version)
        # Version and content are kept as one, or two threads that build at the same
        # time could leave an older content under a newer version.
        cached_version, exclusions = self._cached
        if version != cached_version:
            exclusions = self._build()
            self._cached = (version, exclusions)
        return exclusions

    def covers_self(self):
        """Tell whether the node's own backend server is taken out."""
        exclusions = self.read()
        return (
            self._identity.data_centre in exclusions.data_centres
            or self._identity.name in exclusions.servers
        )

    def publish_notice(self, sort, name, is_out):
        """Spread a notice to all nodes.

        Args:
            sort: "data-centre" or "server".
            name: Name of what is taken out or brought back.
            is_out: Whether it is taken out.

        Returns:
            Whether anything changed; a notice that brings back changes nothing
            where no notice takes out.
        """
        key = f"{NOTICE_PREFIX}:{sort}:{name}"
        held = self._directory.find(key)
        if not is_out and (held is None or held.state is not ServerState.OUT_NOTICE):
            return False
        moment = int(self._clock.read_wall() * 1000)
        if held is not None:
            moment = max(moment, held.incarnation + 1)
        state = ServerState.OUT_NOTICE if is_out else ServerState.BACK_NOTICE
        record = ServerRecord(key, "", "", "", "", 0, state, moment, 1)
        return self._directory.merge(record)

    def _build(self):
        configuration = self._configurations.current
        names = {"data-centre": set(), "server": set()}
        names["data-centre"].update(configuration.data_centres_out)
        names["server"].update(configuration.servers_out)
        for notice in self._directory.list_notices():
            _, sort, name = notice.name.split(":", 2)
            if notice.state is ServerState.OUT_NOTICE and sort in names:
                names[sort].add(name)
        return Exclusions(frozenset(names["data-centre"]), frozenset(names["server"]))
