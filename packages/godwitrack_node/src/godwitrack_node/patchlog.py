"""The latest patches of a table's rows, which a node passes on to other nodes."""

import collections

from godwitrack.patches import MIN_PATCH_BYTES, make_patch

MAX_PATCHES = 16
MAX_PATCH_BYTES = 1024 * 1024
# Patches that together take more than this share of the value are not worth it.
MAX_VALUE_SHARE = 0.6


class PatchLog:
    """Keeps the latest patches of each large row, in order.

    It is not safe for use by several threads at once.
    """

    def __init__(self):
        self._patches = {}

    def add(self, key, patches):
        """Add patches that led from one value of a row to the next.

        Args:
            key: Key of the row.
            patches: List of Patches in order.
        """
        log = self._patches.setdefault(key, collections.deque(maxlen=MAX_PATCHES))
        log.extend(patches)
        while log and sum(patch.size for patch in log) > MAX_PATCH_BYTES:
            log.popleft()

    def add_change(self, before, after):
        """Add the patch between two FeedRows of a key, unless it is known already.

        Small values have none.

        Args:
            before: FeedRow that is replaced.
            after: FeedRow that replaces it; its value may be None.
        """
        value = after.value
        if value is None or min(len(before.value), len(value)) < MIN_PATCH_BYTES:
            self._patches.pop(after.key, None)
        elif self.find(after, before.digest) is None:
            self.add(after.key, [make_patch(before.value, value)])

    def find(self, row, base):
        """Return the Patches that lead to a row's value, or None if it lacks any.

        Args:
            row: FeedRow.
            base: Digest of the value that the reader has.
        """
        chain, wanted = collections.deque(), row.digest
        for patch in reversed(self._patches.get(row.key, ())):
            if wanted == base:
                break
            if patch.result == wanted:
                chain.appendleft(patch)
                wanted = patch.base
        size = sum(patch.size for patch in chain)
        if not chain or wanted != base or size > MAX_VALUE_SHARE * len(row.value):
            return None
        return list(chain)
