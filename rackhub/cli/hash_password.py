"""rackhub hash-password: read a password from standard input, print what the operator's file holds for it.

Usage:
  rackhub hash-password
  rackhub hash-password (-h | --help)
"""

import sys
from collections.abc import Sequence

from rackhub.cli.words import parse
from rackhub.operatorfile import hash_password


def run(words: Sequence[str]) -> int:
    parse(__doc__ or "", words)
    print(hash_password(sys.stdin.readline().rstrip("\r\n")))
    return 0
