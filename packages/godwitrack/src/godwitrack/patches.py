"""Patches: what differs between two values of a row.

Load pattern: a list of thousands of routes in which one weight changes. Nodes that have
the former list get a patch of some hundred bytes in place of the list.

A patch names the digests of the value that it applies to and of the one that it leads
to, and is checked against both. A wrong or damaged one is refused, and never leads to a
value that no one wrote.
"""

from godwitrack.exceptions import StoreError
from godwitrack.feed import FeedRow, compute_digest

# Smaller values travel whole.
MIN_PATCH_BYTES = 4096
# The store gives no larger ones.
MAX_VALUE_BYTES = 8 * 2**20
# Ends an object in JSON, and about every 256th byte of other content.
SEPARATOR = b"}"
# Bytes that a copied range takes in a message, roughly.
RANGE_BYTES = 8


class PatchError(StoreError):
    """A patch is malformed, or does not apply to the value at hand."""


class Patch:
    """Leads from one value of a row to another.

    Attributes:
        base: Digest of the value that it applies to.
        result: Digest of the value that it leads to.
        parts: List of what the result consists of, in order: bytes, and pairs of start
            and end that name a range of the base.
        size: Approximate number of bytes that it takes in a message.
    """

    __slots__ = ("base", "parts", "result", "size")

    def __init__(self, base, result, parts):
        self.base = base
        self.result = result
        self.parts = parts
        self.size = sum(
            len(part) if type(part) is bytes else RANGE_BYTES for part in parts
        )

    def apply(self, value):
        """Return the value that the patch leads to.

        Args:
            value: Bytes that the patch applies to.

        Raises:
            PatchError: The value is not the base, or the result not the one named.
        """
        if compute_digest(value) != self.base:
            raise PatchError(f"patch of {self.base.hex()}, not of this value")
        result = b"".join(
            part if type(part) is bytes else value[part[0] : part[1]]
            for part in self._check_parts(len(value))
        )
        if compute_digest(result) != self.result:
            raise PatchError(f"patch does not lead to {self.result.hex()}")
        return result

    def _check_parts(self, base_bytes):
        total = 0
        for part in self.parts:
            if type(part) is bytes:
                total += len(part)
                continue
            start, end = part
            if not 0 <= start < end <= base_bytes:
                raise PatchError(f"patch copies {start} to {end} of {base_bytes} bytes")
            total += end - start
        if total > MAX_VALUE_BYTES:
            raise PatchError(f"patch leads to {total} bytes")
        return self.parts

    def to_data(self):
        """Return the patch as plain data."""
        parts = [part if type(part) is bytes else list(part) for part in self.parts]
        return [self.base, self.result, parts]

    @classmethod
    def from_data(cls, data):
        """Return the Patch that plain data describes.

        Raises:
            PatchError: The data is malformed.
        """
        if type(data) is not list or [type(item) for item in data] != [
            bytes,
            bytes,
            list,
        ]:
            raise PatchError("a patch has two digests and a list of parts")
        base, result, parts = data
        if any(not _is_part(part) for part in parts):
            raise PatchError("a part of a patch is bytes, or a start and an end")
        return cls(base, result, parts)


class PatchedRow:
    """A row whose value is given by the patches that lead to it.

    Attributes:
        key: Key of the row.
        version: Version of the change, as of a FeedRow.
        patches: List of Patches to apply one after the other.
    """

    __slots__ = ("key", "patches", "version")

    def __init__(self, key, version, patches):
        self.key = key
        self.version = version
        self.patches = patches

    def resolve(self, known):
        """Return the FeedRow that the patches lead to.

        Args:
            known: FeedRow that the reader has, or None.

        Raises:
            PatchError: The patches do not apply to it.
        """
        if known is None or known.value is None or not self.patches:
            raise PatchError(f"{self.key}: no patch, or no value to apply it to")
        value = known.value
        for patch in self.patches:
            value = patch.apply(value)
        return FeedRow(self.key, self.version, value)


def make_patch(base, value):
    """Return the Patch that leads from one value to another.

    Args:
        base: Bytes.
        value: Bytes.
    """
    chunks = _split(base)
    starts, start = {}, 0
    for chunk in chunks:
        starts.setdefault(chunk, start)
        start += len(chunk)
    parts, literal, copied = [], [], None
    for chunk in _split(value):
        if copied is not None:
            end = copied[1] + len(chunk)
            if base[copied[1] : end] == chunk:
                copied[1] = end
                continue
            parts.append(copied)
            copied = None
        start = starts.get(chunk)
        if start is None:
            literal.append(chunk)
            continue
        if literal:
            parts.append(b"".join(literal))
            literal = []
        copied = [start, start + len(chunk)]
    if copied is not None:
        parts.append(copied)
    if literal:
        parts.append(b"".join(literal))
    return Patch(compute_digest(base), compute_digest(value), parts)


def _split(value):
    """Return the parts of a value, each but the last with its separator."""
    pieces = value.split(SEPARATOR)
    chunks = [piece + SEPARATOR for piece in pieces[:-1]]
    return chunks + pieces[-1:] if pieces[-1] else chunks


def _is_part(part):
    if type(part) is bytes:
        return True
    return type(part) is list and [type(item) for item in part] == [int, int]
