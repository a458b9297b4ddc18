"""Prints plain-text tables."""

from collections.abc import Sequence
import sys


def print_table(
    title: str, header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Prints a title and aligned columns.

    Floats have three significant digits, from 1000 on no decimals.
    """
    cells = [list(header)]
    cells += [[_format(cell) for cell in row] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(header))]
    lines = [title]
    for line in cells:
        padded = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        lines.append("  " + "  ".join(padded).rstrip())
    sys.stdout.write("\n".join(lines) + "\n\n")
    sys.stdout.flush()


def _format(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:.3g}" if abs(cell) < 1000 else f"{cell:.0f}"
    return str(cell)
