"""rackhub rig: run, query and stress-test a fleet of real processes on the loopback interface, for a generated site.

Usage:
  rackhub rig up [--gateways N] [--sites K] [--engines N] [--cores X] [--seed N] [--fleet] [--keepers N] [--for S]
                 [--json]
  rackhub rig query --class NAME --statement TEXT [--tenant NAME] [--key TEXT] [--budget-ms N] [--gateway NAME]
                 [--at ADDRESS] [--json]
  rackhub rig torture [--processes N] [--cycles N] [--seed N] [--case NAME] [--fleet] [--brief] [--json]
  rackhub rig overload [--processes N] [--engines N] [--times LIST] [--ways LIST] [--seed N] [--seeds N] [--lasts S]
                 [--heedless] [--json]
  rackhub rig undos [--processes N] [--count N] [--seed N] [--load X] [--json]
  rackhub rig probes [--counts LIST] [--engines N] [--ways LIST] [--load X] [--seed N] [--lasts S] [--json]
  rackhub rig cases [--json]
  rackhub rig (-h | --help)

Commands:
  up       Start gateways, simulated engines and a resolver, print their addresses, run until Ctrl-C or SIGTERM.
  query    Send one request to the running rig and print the rows.
  torture  Run fault cases in turn under traffic, each on its own fleet, and judge safety and final state.
  overload Compare independent gateways, the same with [fleet] on, and a single gateway under the same overload.
  undos    Measure the time under load until the last gateway applies an undo.
  probes   Measure health checks per engine by number of gateways; with [fleet] on it must be flat within a fifth.
  cases    List the fault cases.

Options:
  --gateways N      Number of gateways, 1 to 16 [default: 3].
  --sites K         Number of sites, 1 to 8 [default: 2].
  --engines N       Number of engines of all sites, 1 to 40 [default: 4].
  --cores X         Cores of each engine, 0.5 to 64 [default: 4].
  --seed N          Seed of the generated site and of the random numbers [default: 1].
  --fleet           Connect the gateways: the site allows peers, the operator files have `[fleet]`.
  --keepers N       Keepers of the rule set: 0, 1, 3 or 5; needs --fleet [default: 0].
  --for S           Stop after this many seconds; 0: never [default: 0].
  --class NAME      lookup, report or depot-load.
  --statement TEXT  The statement; a comment such as /* work=50000 rows=3 */ sets its cost and its number of rows.
  --tenant NAME     The tenant; default: the first of the site.
  --key TEXT        The idempotency key, for a class that has one; default: a random key.
  --budget-ms N     Time budget of the request in milliseconds; 0: the deadline of the class [default: 0].
  --gateway NAME    The gateway to query; default: the first that answers.
  --processes N     Number of gateways, 2 to 16 [default: 4].
  --cycles N        Total number of cases to run in turn, 1 to 10000; 0: each once [default: 0].
  --case NAME       Run only this case.
  --brief           Use shorter pauses and network cuts.
  --times LIST      Overload levels, as multiples of the engines' capacity [default: 0.8,1.2,2,4].
  --ways LIST       From alone (independent gateways), fleet and one (a single gateway; overload only)
                    [default: alone,fleet,one].
  --counts LIST     Number of gateways of each run, 1 to 16 [default: 2,4,8].
  --seeds N         Runs of each kind, with seeds from --seed on, 1 to 100 [default: 1].
  --lasts S         Seconds of overload, or of counting health checks, 1 to 600 [default: 6].
  --count N         Number of undos, 1 to 1000 [default: 50].
  --load X          Load as a multiple of the engines' capacity, 0 to 4 [default: 0.6].
  --heedless        Clients ignore the back-off that a rejection asks for.
  --at ADDRESS      Send to this address and port; default: the rig running here, found by its file.
  --json            Print one JSON document instead of text.

Exit status: 0 success; 1 the request was rejected or failed, a gateway ended unexpectedly, a case found a fault, no
case could be run, or health checks are not flat; 2 bad usage, or no rig is running.
"""

import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from typing import Any

from rackhub.cli.words import parse

# Command name to module.
COMMANDS = {
    "up": "fleet",
    "query": "fleet",
    "torture": "torture",
    "cases": "torture",
    "overload": "overload",
    "undos": "measures",
    "probes": "measures",
}


def run(arguments: Sequence[str]) -> int:
    options = parse(__doc__ or "", arguments)
    module, name = next((module, command) for command, module in COMMANDS.items() if options[command])
    call: Callable[[dict[str, Any]], int] = getattr(import_module(f"rackhub.cli.rig.{module}"), name)
    if name in ("up", "query", "cases"):
        return call(options)
    from rackhub.trials.processes.clock import stop_on_signals

    stop_on_signals()
    try:
        return call(options)
    except KeyboardInterrupt:
        print("rackhub: stopped; all processes are ended", file=sys.stderr)
        return 1
