"""Stress test of members, gossip state and messages in virtual time: cycles of injected faults, healing and checks.

Run as `python -m rackhub.trials.fleet.members_torture`.

Usage: members_torture [--gateways N] [--cycles N] [--seed N] [--only FAULT] [--json]
       members_torture --plants [--gateways N] [--cycles N] [--seed N]

Options:
  --gateways N  Number of gateways [default: 8].
  --cycles N    Number of cycles [default: 60].
  --seed N      Seed of all random choices [default: 1].
  --only FAULT  Inject only this fault in each cycle.
  --json        Print JSON.
  --plants      Check that each injected bug is found, and print the cycle.

Exit status 1 if an invariant was violated. Cores, frames and bytes are the real ones; sockets and machines are
simulated.
"""

import json
import random
import sys
import time
from collections import Counter
from typing import Any

from docopt import docopt

from rackhub.fleet.members.core import Core
from rackhub.trials.fleet.members_check import InvariantChecker
from rackhub.trials.fleet.members_faults import FAULTS
from rackhub.trials.fleet.members_plants import INJECTED_BUGS, InjectedBug
from rackhub.trials.fleet.members_wire import Make, Wire
from rackhub.trials.fleet.twin import MS, SECOND

SIZES = (20, 1_000, 5_000, 65_536)  # message sizes in bytes


class Torture:
    def __init__(self, gateways: int, seed: int, make: Make = Core):
        self.wire = Wire(gateways, seed, make=make)
        self.checker = InvariantChecker(self.wire)
        self.rng = random.Random(f"{seed}/torture")
        self.settled: list[int] = []
        self.faults = Counter[str]()
        self.bound = self.wire.timing.settling_bound(gateways)
        self.wire.start()
        self.wire.time.later(SECOND, self._traffic)
        self.wire.time.run(5 * SECOND)

    def _traffic(self) -> None:
        """Each gateway publishes twice per second; two random gateways send a message."""
        self.wire.time.later(500 * MS, self._traffic)
        running = self.wire.running()
        for gateway in running:
            self.checker.post(gateway, "demand", 120)
            if self.rng.random() < 0.1:
                self.checker.post(gateway, "rules", 40)
        for gateway in self.rng.sample(running, min(len(running), 2)):
            to = self.rng.choice(list(self.wire.gateways))
            if to != gateway.name:
                self.checker.send(gateway, to, self.rng.choice(SIZES))

    def cycle(self, only: str = "") -> list[str]:
        """Inject one to three faults at once, then heal. Return what has not settled when the bound is over."""
        chosen = [only] if only else self.rng.sample(sorted(FAULTS), self.rng.choice((1, 1, 2, 3)))
        for name in chosen:
            self.faults[name] += 1
            FAULTS[name](self.wire, self.checker, self.rng)
        self.wire.time.run(self.rng.randrange(5, 40) * SECOND)
        return self._heal(" and ".join(chosen))

    def _heal(self, what: str) -> list[str]:
        self.wire.heal()
        for gateway in self.wire.gateways.values():
            if gateway.paused and gateway.up:
                gateway.wake()
            if not gateway.up and self.rng.random() < 0.8:
                gateway.start()
        began, left = self.wire.time.now(), ["not checked yet"]
        while left and self.wire.time.now() - began < self.bound:
            self.wire.time.run(500 * MS)
            left = self.checker.unsettled()
        if left:
            self.checker.record_violation("not_settled", f"after {what}: {len(left)} views, for example {left[0]}")
            self.checker.counts["lost_for_good"] += self.checker.healthy_lost()
        self.settled.append(self.wire.time.now() - began)
        self.checker.forged = False if not left else self.checker.forged
        return left

    def summary(self) -> dict[str, Any]:
        counts, checker = Counter[str](), self.checker
        for gateway in self.wire.gateways.values():
            if hasattr(gateway, "core"):
                counts.update(gateway.core.context.counts)
        over = sorted(checker.over)
        return {
            "simulated": True,
            "gateways": len(self.wire.gateways),
            "cycles": len(self.settled),
            "faults": dict(self.faults),
            "healthy members given up and not taken back": checker.counts["lost_for_good"],
            "healthy members given up for a time": checker.counts["given_up"],
            "fleets not settled within the bound": checker.counts["not_settled"],
            "bound_s": self.bound / SECOND,
            "settled_s_worst": max(self.settled, default=0) / SECOND,
            "settled_s_median": sorted(self.settled)[len(self.settled) // 2] / SECOND if self.settled else 0,
            "late words that revived or views going back": checker.counts["views_going_back"],
            "board going back": checker.counts["board_going_back"],
            "records told younger than they are": checker.counts["records_too_young"],
            "records told older, ms, median and 99%": [over[len(over) * part // 100] // MS for part in (50, 99)]
            if over
            else [],
            "records": len(over),
            "records made up": checker.counts["records_made_up"],
            "mail sent": checker.counts["mail_sent"],
            "mail taken": checker.counts["mail_taken"],
            "mail taken twice": checker.counts["mail_twice"]
            + checker.counts["mail_astray"]
            + checker.counts["mail_made_up"],
            "violations": checker.violations,
            "counts": dict(sorted(counts.items())),
        }


def find_injected_bug(bug: InjectedBug, gateways: int, cycles: int, seed: int) -> int | None:
    """Return the cycle in which an injected bug is found, or None."""
    torture = Torture(gateways, seed, bug.make)
    for cycle in range(1, cycles + 1):
        torture.cycle(bug.fault)
        if torture.checker.counts[bug.check]:
            return cycle
    return None


def check_injected_bugs(gateways: int, cycles: int, seed: int) -> int:
    missed = 0
    for name, bug in INJECTED_BUGS.items():
        cycle = find_injected_bug(bug, gateways, cycles, seed)
        missed += cycle is None
        print(f"{name}: {'NOT FOUND' if cycle is None else f'{bug.check} in cycle {cycle} of {bug.fault}'}")
    return 1 if missed else 0


def main(argv: list[str]) -> int:
    options = docopt(__doc__ or "", argv)
    if options["--plants"]:
        return check_injected_bugs(int(options["--gateways"]), int(options["--cycles"]), int(options["--seed"]))
    torture = Torture(int(options["--gateways"]), int(options["--seed"]))
    began = time.monotonic()
    for _ in range(int(options["--cycles"])):
        torture.cycle(options["--only"] or "")
    summary = torture.summary() | {"took_s": round(time.monotonic() - began, 1)}
    if options["--json"]:
        print(json.dumps(summary))
    else:
        for name, value in summary.items():
            print(f"{name}: {value}")
    return 1 if torture.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
