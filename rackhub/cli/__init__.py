"""rackhub: the coordinator of a fleet of query engines.

Usage:
  rackhub <command> [<words>...]
  rackhub (-h | --help)

Commands:
  serve          Serve until SIGTERM. SIGHUP reloads the configuration, SIGUSR1 prints the counters.
  config         Check, explain and compare operator files; print the JSON Schema of the file.
  check-config   Check the configuration and print a summary, without serving.
  hash-password  Read a password from standard input and print its hash for the operator file.
  bench          Benchmark components of the program on this machine.
  rig            Run, query and stress-test a fleet of real processes on the loopback interface.
  rules          Show, edit, undo and try out the fleet's versioned rule set.
  store          Inspect, verify, salvage, benchmark and stress-test an embedded store.
  version        Print the version.

`rackhub <command> --help` describes one command. Exit status: 0 success, 1 the command found a problem or a difference
(see its help), 2 bad usage or configuration.
"""

import sys
from collections.abc import Sequence
from importlib import import_module

from rackhub.cli.words import CommandExit, parse

# Command name to module. Each module has `run(arguments)` and is imported only when its command is called, so that no
# command pays for the imports of another.
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


def main(command_line: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    arguments = list(sys.argv[1:] if command_line is None else command_line)
    try:
        options = parse(__doc__ or "", arguments, options_first=True)
        name = options["<command>"]
        if name not in COMMANDS:
            print(f"rackhub: {name!r} is not a command; the commands are {', '.join(COMMANDS)}", file=sys.stderr)
            return 2
        return import_module(f"rackhub.cli.{COMMANDS[name]}").run(arguments)
    except CommandExit as end:
        return end.status


def command() -> None:
    """Entry point of the installed `rackhub` script."""
    sys.exit(main())
