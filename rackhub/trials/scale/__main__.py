"""Measure slopes, run a fleet at scale, and fill the capacity page.

Usage:
  scale slopes [--json] [--quick] [--group NAME]... [--out FILE]
  scale page [--check]
  scale run [ARGUMENT]...
  scale overhead [ARGUMENT]...
  scale (-h | --help)

Commands:
  slopes  Measure on this machine, fit a line to each measurement, and write them to FILE.
  page    Fill the tables of docs/CAPACITY.md from docs/capacity.
  run     A fleet of hollow coordinators on relays: `scale run --help` lists its options.
  overhead  What distribution costs a real coordinator: `scale overhead --help` lists its options.

Options:
  --json        Print the measurements as one JSON document instead of a table.
  --quick       Tiny sizes, to see that the measurements work; nothing is written unless --out is given.
  --group NAME  Only this group: engines, members, rules, data_path or messages; FILE keeps the others. Repeatable.
  --out FILE    Where to write [default: docs/capacity/slopes.json].
  --check       Change nothing; name each table that disagrees with its data.

Exit status: 0 done, 1 a table disagrees or a measurement failed, 2 bad usage.
"""

import sys
from pathlib import Path

from docopt import docopt

DEFAULT_OUTPUT = "docs/capacity/slopes.json"


def run_command(arguments: list[str]) -> int:
    from rackhub.trials.scale import run

    return run.main(arguments)


def overhead_command(arguments: list[str]) -> int:
    from rackhub.trials.scale import overhead

    return overhead.main(arguments)


def slopes_command(options: dict[str, object]) -> int:
    from rackhub.trials.scale import slopes

    groups = [str(name) for name in options["--group"] or ()]  # type: ignore[attr-defined]
    unknown = sorted(set(groups) - set(slopes.GROUPS))
    if unknown:
        print(f"--group: {unknown[0]!r} is none of {', '.join(slopes.GROUPS)}", file=sys.stderr)
        return 2
    quick, is_default = bool(options["--quick"]), options["--out"] == DEFAULT_OUTPUT
    output = None if quick and is_default else Path(str(options["--out"]))
    return slopes.main(groups or list(slopes.GROUPS), quick, output, as_json=bool(options["--json"]))


def page_command(options: dict[str, object]) -> int:
    from rackhub.trials.scale import page

    return page.main(check=bool(options["--check"]))


def main(arguments: list[str]) -> int:
    if arguments[:1] == ["run"]:
        return run_command(arguments[1:])
    if arguments[:1] == ["overhead"]:
        return overhead_command(arguments[1:])
    options = docopt(__doc__ or "", arguments)
    return page_command(options) if options["page"] else slopes_command(options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
