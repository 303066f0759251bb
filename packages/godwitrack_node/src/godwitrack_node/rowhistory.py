"""What the node's row tells of the backend server before the node started."""


class RowHistory:
    """Reads what earlier processes of the node wrote into its row."""

    def __init__(self, row, identity):
        """Create the history without reading the row.

        Args:
            row: MemberRow.
            identity: Identity of the node.
        """
        self._row = row
        self._identity = identity
        self._taken_version = None

    @property
    def is_known(self):
        """Whether the row was read."""
        return self._row.is_known

    def may_have_left(self, instance):
        """Return whether a process may have left before this node started."""
        if not self._row.is_known:
            return True
        stored = self._row.find_stored()
        return (
            stored is not None and stored.instance == instance and not stored.is_serving
        )

    def find_born(self, instance):
        """Return the start of a process in Unix milliseconds, or None if not known."""
        stored = self._row.find_stored()
        if stored is None or stored.instance != instance:
            return None
        return stored.born

    def take_left(self):
        """Return the Member that lists a server process as leaving, or None.

        The row may come late, or from a node that is behind. Each is returned once,
        and before this process can write it over.
        """
        stored = self._row.find_stored()
        if stored is None or stored.is_serving or not stored.instance:
            return None
        if stored.service != self._identity.service:
            # The VM's address was that of a node of another service.
            return None
        is_own = stored.incarnation == self._identity.incarnation
        if is_own or stored.version == self._taken_version:
            return None
        self._taken_version = stored.version
        return stored
