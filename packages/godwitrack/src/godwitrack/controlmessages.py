"""Messages by which nodes keep their directories and configurations in agreement."""

from godwitrack.message import Message, pack_list, unpack_list


class Ping(Message):
    """A heartbeat.

    It carries recent changes of the directory, the digest of the directory and the
    revision of the configuration.
    """

    TAG = 7
    FIELDS = (
        ("sender", str),
        ("incarnation", int),
        ("digest", int),
        ("revision", int),
        ("records", list),
    )
    __slots__ = ("digest", "incarnation", "records", "revision", "sender")


class Pong(Ping):
    """The reply to a heartbeat, with the same fields from the replying node."""

    TAG = 8
    __slots__ = ()


class DigestRequest(Message):
    """Sends the digest of each directory bucket to get the records that differ."""

    TAG = 9
    FIELDS = (("digests", list),)
    __slots__ = ("digests",)


class Records(Message):
    """Records of the directory buckets that differ, compressed.

    The field `buckets` lists the buckets that the records cover completely.
    """

    TAG = 10
    FIELDS = (("buckets", list), ("packed", bytes))
    __slots__ = ("buckets", "packed")

    @classmethod
    def pack(cls, buckets, records):
        """Return the message for some records.

        Args:
            buckets: Numbers of the buckets whose records are all included.
            records: Records as plain data, a list.
        """
        return cls(buckets, pack_list(records))

    def unpack(self):
        """Return the records as plain data.

        Raises:
            MessageError: The packed data is malformed or too large.
        """
        return unpack_list("Records", self.packed)


class ChangesRequest(Message):
    """Asks for the configuration changes after a revision."""

    TAG = 11
    FIELDS = (("after", int),)
    __slots__ = ("after",)


class Changes(Message):
    """Configuration changes in order of revision.

    The field `snapshot` is empty, or holds the revision and the records of a whole
    configuration when the log of changes does not go back far enough.
    """

    TAG = 12
    FIELDS = (("changes", list), ("snapshot", list))
    __slots__ = ("changes", "snapshot")


class Probe(Message):
    """Asks a node to send a heartbeat to a third node."""

    TAG = 13
    FIELDS = (("address", str),)
    __slots__ = ("address",)


class ProbeResult(Message):
    """Says whether the third node answered the heartbeat."""

    TAG = 14
    FIELDS = (("alive", bool),)
    __slots__ = ("alive",)


class FeedRequest(Message):
    """Asks another node for the changes to a table after a version.

    The field `sender` is the address where the asking node accepts links, and
    `wait_ms` is the time to wait for a first change.
    """

    TAG = 17
    FIELDS = (("table", int), ("after", int), ("wait_ms", int), ("sender", str))
    __slots__ = tuple(name for name, _ in FIELDS)


class FeedPatchRequest(FeedRequest):
    """Asks for the changes to a table as patches of the values that the reader has.

    The field `content` is the version of the latest change that the reader has, which
    is no later than `after`. `bases` lists the key and digest of its large values.
    With `is_patch_only`, an answer that would send a large value whole is not wanted.
    """

    TAG = 20
    FIELDS = (
        *FeedRequest.FIELDS,
        ("content", int),
        ("bases", list),
        ("is_patch_only", bool),
    )
    __slots__ = ("bases", "content", "is_patch_only")


class FeedPending(Message):
    """Says that a page is arriving from the store, but is not whole yet."""

    TAG = 19
    FIELDS = (("table", int),)
    __slots__ = ("table",)


class FeedAnswer(Message):
    """Changes to a table as rows of key, version and bytes or None.

    The rows are compressed because the routes of a large fleet take several hundred
    kilobytes, which a VM with a slow network link would have to send to each of its
    followers. The field `age_ms` is the time since the store confirmed the content.

    In the answer to a FeedPatchRequest, patches may stand in place of a large value.
    """

    TAG = 18
    FIELDS = (
        ("table", int),
        ("packed", bytes),
        ("version", int),
        ("is_whole", bool),
        ("age_ms", int),
    )
    __slots__ = tuple(name for name, _ in FIELDS)

    def unpack(self):
        """Return the rows as plain data.

        Raises:
            MessageError: The packed data is malformed or too large.
        """
        return unpack_list("FeedAnswer", self.packed)
