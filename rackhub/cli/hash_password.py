"""rackhub hash-password: read a password from standard input and print its hash for the operator file.

Usage:
  rackhub hash-password
  rackhub hash-password (-h | --help)
"""

import sys
from collections.abc import Sequence

from rackhub.cli.words import parse
from rackhub.operatorfile import hash_password


def run(arguments: Sequence[str]) -> int:
    parse(__doc__ or "", arguments)
    print(hash_password(sys.stdin.readline().rstrip("\r\n")))
    return 0
