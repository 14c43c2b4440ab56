"""Figures and tables as Markdown."""

from collections.abc import Sequence

MISSING_VALUE = "-"


def number(value: float | int | None) -> str:
    """To three significant digits, with separators of thousands; `-` where there is none."""
    if value is None:
        return MISSING_VALUE
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{float(f'{value:.3g}'):g}"


def percent(share: float) -> str:
    return f"{share * 100:.1f}%"


def table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |" for line in lines)
