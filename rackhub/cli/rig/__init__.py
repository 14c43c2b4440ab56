"""rackhub rig: a whole fleet of real processes on this machine's loopback, from a site that is made up for it.

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
  up       Start gateways, stand-in engines and a resolver, print where they listen, run until Ctrl-C or SIGTERM.
  query    Send one request to the rig that runs, print the rows.
  torture  Hard cases in turn under traffic, each on a fleet of its own, with a verdict on safety and final state.
  overload The same arrivals at gateways that share nothing, at the same with [fleet] on, and at one that sees all.
  undos    How long an undo takes under load until the last gateway holds it.
  probes   How often each engine is probed, by the number of gateways; of the fleet's it must be flat within a fifth.
  cases    What hard cases there are.

Options:
  --gateways N      1 to 16 [default: 3].
  --sites K         1 to 8 [default: 2].
  --engines N       Of all sites together, 1 to 40 [default: 4].
  --cores X         Of each engine, 0.5 to 64 [default: 4].
  --seed N          Of the site and of chance [default: 1].
  --fleet           Let gateways speak to one another: the site allows peers, the operators' files have `[fleet]`.
  --keepers N       Of the rule book: none, 1, 3 or 5, with --fleet [default: 0].
  --for S           End after so many seconds by itself; 0: never [default: 0].
  --class NAME      lookup, report or depot-load.
  --statement TEXT  What to ask. A comment such as /* work=50000 rows=3 */ says what it costs and gives.
  --tenant NAME     Without it the site's first.
  --key TEXT        Of a keyed class; without it one is drawn.
  --budget-ms N     How long to wait; 0: the class's deadline [default: 0].
  --gateway NAME    Which to ask; without it the first that answers.
  --processes N     Gateways, 2 to 16 [default: 4].
  --cycles N        Cases to run in all, in turn, 1 to 10000; 0: each once [default: 0].
  --case NAME       Only this one.
  --brief           Shorter pauses and cuts.
  --times LIST      What the engines can do, so many times, while it lasts [default: 0.8,1.2,2,4].
  --ways LIST       Of alone, fleet and one (overload only) [default: alone,fleet,one].
  --counts LIST     Gateways of each run, 1 to 16 [default: 2,4,8].
  --seeds N         Runs of each, from --seed on, 1 to 100 [default: 1].
  --lasts S         Seconds of overload, or of counting probes, 1 to 600 [default: 6].
  --count N         Undos, 1 to 1000 [default: 50].
  --load X          Of what the engines can do, 0 to 4 [default: 0.6].
  --heedless        Clients do not heed the back-off of a refusal.
  --at ADDRESS      Ask at this address and port; without it the rig that runs here is found by its file.
  --json            One JSON document instead of text.

Exit status: 0 done, 1 the request was refused or failed, a gateway ended by itself, a case found a fault, or none could
be run, probes are not flat, 2 bad usage, or no rig runs.
"""

import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from typing import Any

from rackhub.cli.words import parse

COMMANDS = {
    "up": "fleet",
    "query": "fleet",
    "torture": "torture",
    "cases": "torture",
    "overload": "overload",
    "undos": "measures",
    "probes": "measures",
}  # each with the module that has it


def run(words: Sequence[str]) -> int:
    options = parse(__doc__ or "", words)
    module, name = next((module, word) for word, module in COMMANDS.items() if options[word])
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
