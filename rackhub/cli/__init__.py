"""rackhub: the coordinator of a fleet of query engines.

Usage:
  rackhub <command> [<words>...]
  rackhub (-h | --help)

Commands:
  serve          Serve until SIGTERM. SIGHUP reloads the configuration, SIGUSR1 prints the counters.
  config         Check, explain and compare the operator's file; print its schema.
  check-config   Read and check the configuration, print a summary, serve nothing.
  hash-password  Read a password from standard input, print what the operator's file holds for it.
  bench          What parts of the program do and cost on this machine.
  rig            A whole fleet of real processes on this machine's loopback: up, asked, tortured.
  rules          The fleet's rule book: shown, edited, undone, on trial.
  store          Look into, check, mend, measure and torture an embedded store.
  version        Print the version.

`rackhub <command> --help` tells more. Exit status: 0 done, 1 something was found (each command says what), 2 bad
usage or configuration.
"""

import sys
from collections.abc import Sequence
from importlib import import_module

from rackhub.cli.words import Ended, parse

# one module a command, each with `run(words)`; loaded when it is called, so that none pays for another
COMMANDS = {
    "serve": "serve",
    "config": "config",
    "check-config": "check_config",
    "hash-password": "hash_password",
    "bench": "bench",
    "rig": "rig",
    "rules": "rules",
    "store": "store",
    "version": "show_version",
}


def main(words: Sequence[str] | None = None) -> int:
    """Run one command; its exit status."""
    given = list(sys.argv[1:] if words is None else words)
    try:
        told = parse(__doc__ or "", given, options_first=True)
        name = told["<command>"]
        if name not in COMMANDS:
            print(f"rackhub: {name!r} is no command; there are {', '.join(COMMANDS)}", file=sys.stderr)
            return 2
        return import_module(f"rackhub.cli.{COMMANDS[name]}").run(given)
    except Ended as end:
        return end.status


def command() -> None:
    """The entry point of the installed `rackhub`."""
    sys.exit(main())
