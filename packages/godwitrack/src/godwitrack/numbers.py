"""Whole numbers in texts that other programs write."""

import re

# Eighteen digits fit a signed integer of 64 bits.
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")


def parse_whole_number(text):
    """Return the whole number, 0 or more, that a text holds, or None.

    str.isdigit also accepts characters that int does not, and any length.
    """
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None
