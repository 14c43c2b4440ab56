"""rackhub version: print the version.

Usage:
  rackhub version
  rackhub version (-h | --help)
"""

from collections.abc import Sequence

from rackhub.cli.words import parse
from rackhub.version import VERSION


def run(arguments: Sequence[str]) -> int:
    parse(__doc__ or "", arguments)
    print(f"rackhub {VERSION}")
    return 0
