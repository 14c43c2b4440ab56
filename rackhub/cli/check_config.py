"""rackhub check-config: read and check the configuration, print a summary, serve nothing.

Usage:
  rackhub check-config [--config FILE] [--operator FILE]
  rackhub check-config (-h | --help)

Options:
  --config FILE    The configuration; without it the file that BALANCER_CONFIG names.
  --operator FILE  The operator's file.

Exit status: 0 it can be served from, 2 it can't.
"""

from collections.abc import Sequence

from rackhub.cli.serve import configured
from rackhub.cli.words import parse


def run(words: Sequence[str]) -> int:
    config = configured(parse(__doc__ or "", words)).config
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.settings.classes)} classes, {len(config.engines.entries)} engines known"
    )
    return 0
