"""Formats tables and record differences for the terminal."""

import json


def format_table(columns, rows):
    """Return rows as lines with aligned columns.

    Args:
        columns: Column titles.
        rows: Sequences with one value for each column.
    """
    texts = [[str(value) for value in row] for row in rows]
    widths = [
        max(len(title), *(len(row[index]) for row in texts), 0)
        for index, title in enumerate(columns)
    ]
    lines = [_format_row(columns, widths)]
    lines.extend(_format_row(row, widths) for row in texts)
    return "\n".join(lines)


def format_differences(old, records):
    """Return the records that a change adds (+), removes (-) or replaces (~).

    Args:
        old: Records in force.
        records: Mapping from key to the new record, or None to remove it.
    """
    lines = []
    for key, record in sorted(records.items()):
        if record is None:
            lines.append(f"- {key}")
        elif key not in old:
            lines.append(f"+ {key}: {json.dumps(record, sort_keys=True)}")
        else:
            lines.append(f"~ {key}: {json.dumps(old[key], sort_keys=True)}")
            lines.append(f"     -> {json.dumps(record, sort_keys=True)}")
    return "\n".join(lines) or "no difference"


def _format_row(values, widths):
    cells = [value.ljust(width) for value, width in zip(values, widths, strict=True)]
    return "  ".join(cells).rstrip()
