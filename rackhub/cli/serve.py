"""rackhub serve: serve until SIGTERM. SIGHUP reloads the configuration and the timings, SIGUSR1 prints the counters.

Usage:
  rackhub serve [--config FILE] [--operator FILE]
  rackhub serve (-h | --help)

Options:
  --config FILE    The configuration; without it the file that BALANCER_CONFIG names.
  --operator FILE  The operator's file, which sets up TDS, the store and timings; without it all are off.

Exit status: 0 ended as told, 2 the configuration can't be used.
"""

import os
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from rackhub import config as configuration
from rackhub import logs
from rackhub.cli.words import parse, refuse
from rackhub.operatorfile import Operator


class Configured(NamedTuple):
    """A configuration as it is used, as its file has it, the operator's, and where it came from."""

    config: configuration.Config
    told: configuration.Config
    operator: Operator
    path: Path
    operator_path: Path | None


def configured(options: dict[str, Any]) -> Configured:
    """The configuration that the options name, checked; ends with 2 where it can't be used."""
    try:
        path = configuration.config_path(os.environ, options["--config"])
        told = configuration.load(path)
        operator_path = Path(options["--operator"]) if options["--operator"] else None
        operator = configuration.load_operator(operator_path)
        configuration.check_operator(operator, told.settings, told.name)
    except configuration.ConfigError as bad:
        raise refuse(f"bad configuration: {bad}") from None
    config = msgspec.structs.replace(told, limits=configuration.share_descriptors(told.limits, operator))
    return Configured(config, told, operator, path, operator_path)


def run(words: Sequence[str]) -> int:
    config, told, operator, path, operator_path = configured(parse(__doc__ or "", words))
    logs.configure()
    from twisted.internet.error import CannotListenError

    from rackhub.core.component import ComponentStartError
    from rackhub.daemon import Daemon  # here: it takes hold of the reactor, which no other needs

    try:
        Daemon(
            config,
            operator,
            told,
            partial(configuration.load, path),
            partial(configuration.load_operator, operator_path) if operator_path else None,
        ).run()
    except CannotListenError as fault:
        raise refuse(f"bad configuration: listen: {fault}") from None
    except ComponentStartError as fault:
        raise refuse(str(fault)) from None
    return 0
