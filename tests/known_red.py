"""The list of known failures, KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

A line holds a test's id, the cause and the issue, with ` ; ` between them; lines that begin with `#` say something
about the list itself.
"""

from pathlib import Path
from typing import NamedTuple

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


class KnownRed(NamedTuple):
    """One test that is known to fail."""

    test: str
    cause: str
    issue: str


class BadList(ValueError):
    """The list can't be used; the text names the line."""


def read(text: str) -> list[KnownRed]:
    """The entries of the list. Raises `BadList` for a line that is none, and for more than `MOST` of them."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" ; ")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"KNOWN-RED.txt, line {number}: not `test ; cause ; issue`")
        entries.append(KnownRed(*parts))
    if len(entries) > MOST:
        raise BadList(f"KNOWN-RED.txt: {len(entries)} tests are listed, {MOST} at most may be")
    return entries
