"""rackhub check-config: check the configuration and print a summary, without serving.

Usage:
  rackhub check-config [--config FILE] [--operator FILE]
  rackhub check-config (-h | --help)

Options:
  --config FILE    The configuration file; default: the file that BALANCER_CONFIG names.
  --operator FILE  The operator file.

Exit status: 0 the configuration is valid, 2 it is not.
"""

from collections.abc import Sequence

from rackhub.cli.serve import load_configuration
from rackhub.cli.words import parse


def run(arguments: Sequence[str]) -> int:
    config = load_configuration(parse(__doc__ or "", arguments)).config
    print(
        f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.settings.classes)} classes, {len(config.engines.entries)} engines known"
    )
    return 0
