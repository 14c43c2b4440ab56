"""rackhub serve: serve until SIGTERM. SIGHUP reloads the configuration and the timings, SIGUSR1 prints the counters.

Usage:
  rackhub serve [--config FILE] [--operator FILE]
  rackhub serve (-h | --help)

Options:
  --config FILE    The configuration file; default: the file that BALANCER_CONFIG names.
  --operator FILE  The operator file, which configures TDS, the store, timings and so on; without it all are off.

Exit status: 0 shut down on request, 2 the configuration is invalid or the daemon could not start.
"""

import os
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from rackhub import config as configuration
from rackhub import logs
from rackhub.cli.words import parse, report_error
from rackhub.operatorfile import Operator


class LoadedConfiguration(NamedTuple):
    """A configuration with adjusted limits (`config`) and as read (`file_config`), the operator file, both paths."""

    config: configuration.Config
    file_config: configuration.Config
    operator: Operator
    path: Path
    operator_path: Path | None


def load_configuration(options: dict[str, Any]) -> LoadedConfiguration:
    """Load and check the configuration that the options name; an invalid one ends the command with status 2."""
    try:
        path = configuration.config_path(os.environ, options["--config"])
        file_config = configuration.load(path)
        operator_path = Path(options["--operator"]) if options["--operator"] else None
        operator = configuration.load_operator(operator_path)
        configuration.check_operator(operator, file_config.settings, file_config.name)
    except configuration.ConfigError as error:
        raise report_error(f"bad configuration: {error}") from None
    config = msgspec.structs.replace(file_config, limits=configuration.share_descriptors(file_config.limits, operator))
    return LoadedConfiguration(config, file_config, operator, path, operator_path)


def run(arguments: Sequence[str]) -> int:
    config, file_config, operator, path, operator_path = load_configuration(parse(__doc__ or "", arguments))
    logs.configure()
    from twisted.internet.error import CannotListenError

    from rackhub.core.component import ComponentStartError
    from rackhub.daemon import Daemon  # imported here because it installs the reactor, which no other command needs

    try:
        Daemon(
            config,
            operator,
            file_config,
            partial(configuration.load, path),
            partial(configuration.load_operator, operator_path) if operator_path else None,
        ).run()
    except CannotListenError as error:
        raise report_error(f"bad configuration: listen: {error}") from None
    except ComponentStartError as error:
        raise report_error(str(error)) from None
    return 0
