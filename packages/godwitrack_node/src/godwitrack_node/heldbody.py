"""Memory of the body of an answer, counted for as long as it exists."""

import mmap

# Known or not, no body has this much memory set aside before its bytes come.
MIN_CAPACITY_BYTES = 256 * 1024
FLAGS = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class HeldBody(mmap.mmap):
    """A body that grows in pages of its own.

    Pages go back to the system at once, unlike the heap of a thread, and the budget
    gets its bytes back only with the last view of them.
    """

    __slots__ = ("_budget", "_reserved_bytes", "_share", "size")

    def __new__(cls, budget, length):
        """Reserve memory for a body.

        Args:
            budget: ByteBudget.
            length: Bytes of the whole body, which the budget has reserved, or -1 if
                it is not known.
        """
        capacity = length if length > 0 else MIN_CAPACITY_BYTES
        body = super().__new__(cls, -1, capacity, flags=FLAGS)
        body._budget = budget
        body._reserved_bytes = max(length, 0)
        body._share = None if length >= 0 else budget.open_share()
        body.size = 0
        return body

    def __del__(self):
        """Release the bytes in the budget."""
        if self._share is not None:
            self._budget.close_share(self._share)
        self._budget.release(self._reserved_bytes)

    def append(self, data):
        """Append bytes; return False if they don't fit in the budget."""
        share = self._share
        if share is not None and not self._budget.extend_share(share, len(data)):
            return False
        if self.size + len(data) > len(self):
            self.resize(max(2 * len(self), self.size + len(data)))
        self.write(data)
        self.size += len(data)
        return True

    def finish(self):
        """Return a memoryview of the complete body."""
        if self._share is not None:
            self._reserved_bytes = self._budget.settle_share(self._share)
            self._share = None
        return memoryview(self)[: self.size]
