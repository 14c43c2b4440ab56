"""rackhub: the coordinator of a fleet of query engines.

Usage:
  rackhub serve [--config FILE] [--operator FILE]
  rackhub check-config [--config FILE] [--operator FILE]
  rackhub hash-password
  rackhub version
  rackhub (-h | --help)

Commands:
  serve         Serve until SIGTERM. SIGHUP reloads the configuration, SIGUSR1 prints the counters.
  check-config  Read and check the configuration, print a summary, serve nothing.
  hash-password Read a password from standard input, print what the operator's file holds for it.
  version       Print the version.

Options:
  --config FILE    The configuration; without it the file that BALANCER_CONFIG names.
  --operator FILE  The operator's file, which sets up TDS; without it TDS is off.
  -h --help        Show this.
"""

import logging
import os
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import msgspec
from docopt import docopt

from rackhub import config as configuration
from rackhub.operatorfile import hashed
from rackhub.version import VERSION


def main(words: Sequence[str] | None = None) -> int:
    """Run one sub-command; 2 for a bad command line or configuration."""
    try:
        options = docopt(__doc__, list(sys.argv[1:] if words is None else words))
    except SystemExit as end:
        if end.code and end.code != 0:
            print(end.code, file=sys.stderr)
            return 2
        return 0
    if options["version"]:
        print(f"rackhub {VERSION}")
        return 0
    if options["hash-password"]:
        print(hashed(sys.stdin.readline().rstrip("\r\n")))
        return 0
    try:
        path = configuration.path_of(os.environ, options["--config"])
        told = configuration.load(path)
        operator = configuration.load_operator(Path(options["--operator"]) if options["--operator"] else None)
        configuration.check_operator(operator, told.settings)
        config = msgspec.structs.replace(told, limits=configuration.shared(told.limits, operator))
    except configuration.BadConfig as bad:
        print(f"rackhub: bad configuration: {bad}", file=sys.stderr)
        return 2
    if options["check-config"]:
        print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, "
              f"{len(config.settings.classes)} classes, {len(config.engines.entries)} engines known")
        return 0
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    logging.getLogger("twisted").setLevel(logging.WARNING)
    from twisted.internet.error import CannotListenError

    from rackhub.daemon import Daemon  # here: it takes hold of the reactor, which the other commands don't need

    try:
        Daemon(config, operator, told, partial(configuration.load, path)).run()
    except CannotListenError as fault:
        print(f"rackhub: bad configuration: listen: {fault}", file=sys.stderr)
        return 2
    return 0
