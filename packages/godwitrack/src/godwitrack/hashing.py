"""Hashes that are the same on every node."""

from xxhash import xxh64_intdigest


def hash_text(text):
    """Return the 64-bit xxHash of a text."""
    return xxh64_intdigest(text.encode())
