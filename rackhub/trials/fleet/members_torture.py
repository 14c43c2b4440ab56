"""Members, board and mail in virtual time, cycle after cycle of faults from one seed, each healed and looked at.

Run as `python -m rackhub.trials.fleet.members_torture`.

Usage: members_torture [--gateways N] [--cycles N] [--seed N] [--only FAULT] [--json]
       members_torture --plants [--gateways N] [--cycles N] [--seed N]

Options:
  --gateways N  How many [default: 8].
  --cycles N    How many [default: 60].
  --seed N      Of all chance [default: 1].
  --only FAULT  This one in each cycle.
  --json        For machines.
  --plants      Show that each planted mistake is found, and in which cycle.

Exit status 1 when anything that must hold did not. It is a simulation: cores, frames and bytes are those of the real
thing, sockets and machines are not.
"""

import json
import random
import sys
import time
from collections import Counter
from typing import Any

from docopt import docopt

from rackhub.fleet.members.core import Core
from rackhub.trials.fleet.members_check import Watch
from rackhub.trials.fleet.members_faults import FAULTS
from rackhub.trials.fleet.members_plants import PLANTS, Plant
from rackhub.trials.fleet.members_wire import Make, Wire
from rackhub.trials.fleet.twin import MS, SECOND

SIZES = (20, 1_000, 5_000, 65_536)  # bytes of mail


class Torture:
    def __init__(self, gateways: int, seed: int, make: Make = Core):
        self.wire = Wire(gateways, seed, make=make)
        self.watch = Watch(self.wire)
        self.draw = random.Random(f"{seed}/torture")
        self.settled: list[int] = []
        self.faults = Counter[str]()
        self.bound = self.wire.timing.settling_bound(gateways)
        self.wire.start()
        self.wire.time.later(SECOND, self._traffic)
        self.wire.time.run(5 * SECOND)

    def _traffic(self) -> None:
        """Each posts twice a second; mail goes between two by chance."""
        self.wire.time.later(500 * MS, self._traffic)
        running = self.wire.running()
        for gateway in running:
            self.watch.post(gateway, "demand", 120)
            if self.draw.random() < 0.1:
                self.watch.post(gateway, "rules", 40)
        for gateway in self.draw.sample(running, min(len(running), 2)):
            to = self.draw.choice(list(self.wire.gateways))
            if to != gateway.name:
                self.watch.send(gateway, to, self.draw.choice(SIZES))

    def cycle(self, only: str = "") -> list[str]:
        """One to three faults at once, then healing. What is not settled when the bound is over."""
        chosen = [only] if only else self.draw.sample(sorted(FAULTS), self.draw.choice((1, 1, 2, 3)))
        for name in chosen:
            self.faults[name] += 1
            FAULTS[name](self.wire, self.watch, self.draw)
        self.wire.time.run(self.draw.randrange(5, 40) * SECOND)
        return self._heal(" and ".join(chosen))

    def _heal(self, what: str) -> list[str]:
        self.wire.heal()
        for gateway in self.wire.gateways.values():
            if gateway.paused and gateway.up:
                gateway.wake()
            if not gateway.up and self.draw.random() < 0.8:
                gateway.start()
        began, left = self.wire.time.now(), ["not looked at"]
        while left and self.wire.time.now() - began < self.bound:
            self.wire.time.run(500 * MS)
            left = self.watch.unsettled()
        if left:
            self.watch.wrong("not_settled", f"after {what}: {len(left)}, so {left[0]}")
            self.watch.counts["lost_for_good"] += self.watch.healthy_lost()
        self.settled.append(self.wire.time.now() - began)
        self.watch.forged = False if not left else self.watch.forged
        return left

    def told(self) -> dict[str, Any]:
        counts, watch = Counter[str](), self.watch
        for gateway in self.wire.gateways.values():
            if hasattr(gateway, "core"):
                counts.update(gateway.core.context.counts)
        over = sorted(watch.over)
        return {
            "simulated": True,
            "gateways": len(self.wire.gateways),
            "cycles": len(self.settled),
            "faults": dict(self.faults),
            "healthy members given up and not taken back": watch.counts["lost_for_good"],
            "healthy members given up for a time": watch.counts["given_up"],
            "fleets not settled within the bound": watch.counts["not_settled"],
            "bound_s": self.bound / SECOND,
            "settled_s_worst": max(self.settled, default=0) / SECOND,
            "settled_s_median": sorted(self.settled)[len(self.settled) // 2] / SECOND if self.settled else 0,
            "late words that revived or views going back": watch.counts["views_going_back"],
            "board going back": watch.counts["board_going_back"],
            "records told younger than they are": watch.counts["records_too_young"],
            "records told older, ms, median and 99%": [over[len(over) * part // 100] // MS for part in (50, 99)]
            if over
            else [],
            "records": len(over),
            "records made up": watch.counts["records_made_up"],
            "mail sent": watch.counts["mail_sent"],
            "mail taken": watch.counts["mail_taken"],
            "mail taken twice": watch.counts["mail_twice"] + watch.counts["mail_astray"] + watch.counts["mail_made_up"],
            "violations": watch.worded,
            "counts": dict(sorted(counts.items())),
        }


def found(plant: Plant, gateways: int, cycles: int, seed: int) -> int | None:
    """The cycle in which a planted mistake shows; None: it does not."""
    torture = Torture(gateways, seed, plant.make)
    for cycle in range(1, cycles + 1):
        torture.cycle(plant.fault)
        if torture.watch.counts[plant.check]:
            return cycle
    return None


def plants(gateways: int, cycles: int, seed: int) -> int:
    missed = 0
    for name, plant in PLANTS.items():
        cycle = found(plant, gateways, cycles, seed)
        missed += cycle is None
        print(f"{name}: {'NOT FOUND' if cycle is None else f'{plant.check} in cycle {cycle} of {plant.fault}'}")
    return 1 if missed else 0


def main(argv: list[str]) -> int:
    options = docopt(__doc__ or "", argv)
    if options["--plants"]:
        return plants(int(options["--gateways"]), int(options["--cycles"]), int(options["--seed"]))
    torture = Torture(int(options["--gateways"]), int(options["--seed"]))
    began = time.monotonic()
    for _ in range(int(options["--cycles"])):
        torture.cycle(options["--only"] or "")
    told = torture.told() | {"took_s": round(time.monotonic() - began, 1)}
    if options["--json"]:
        print(json.dumps(told))
    else:
        for name, value in told.items():
            print(f"{name}: {value}")
    return 1 if torture.watch.worded else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
