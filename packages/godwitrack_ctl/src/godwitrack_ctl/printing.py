"""Output for people: tables and differences."""

import json


def format_table(columns, rows):
    """Return rows as lines with aligned columns.

    Args:
        columns: Titles.
        rows: Sequences of values, as many as there are titles.
    """
    texts = [[str(value) for value in row] for row in rows]
    widths = [
        max(len(title), *(len(row[index]) for row in texts), 0)
        for index, title in enumerate(columns)
    ]
    lines = [_join(columns, widths)]
    lines.extend(_join(row, widths) for row in texts)
    return "\n".join(lines)


def format_differences(old, records):
    """Return what a change would do, one line for each record.

    Args:
        old: Records in force.
        records: Mapping from key to the new record, or None where it is removed.
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


def _join(values, widths):
    cells = [value.ljust(width) for value, width in zip(values, widths, strict=True)]
    return "  ".join(cells).rstrip()
