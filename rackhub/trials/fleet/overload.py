"""Overload in virtual time: the program as it stands, one gateway that sees all traffic, and a fleet that acts as one.
Called as `python -m rackhub.trials.fleet.overload`.

Usage:
  overload [--gateways LIST] [--loads LIST] [--seeds N] [--hot PART] [--kill PART] [--json]
  overload probes [--json]

Options:
  --gateways LIST  How many, each in turn; as many engines, a quarter of them from 50 on [default: 8].
  --loads LIST     What is asked for 4 s, against what all cores can do [default: 0.8,1.2,2,4].
  --seeds N        Runs of each, whose mean is told [default: 3].
  --hot PART       Of all requests, that first come to one gateway [default: 0].
  --kill PART      Of all gateways, that are killed 2 s into the load and back empty 3 s later [default: 0].
  --json           One JSON object a line.

All figures are simulated: the pure cores, core and module are the real ones; engines, clients and the board are models
(overload_world). Each run: 8 s at 0.8, 4 s at the load, 8 s at 0.8.
"""

import sys
from collections.abc import Iterator

import msgspec
from docopt import docopt

from rackhub.trials.fleet.overload_world import World
from rackhub.trials.fleet.twin import SECOND

CALM, BEFORE, LASTS, AFTER = 0.8, 8.0, 4.0, 8.0
BACK, SPAN, STEP = 0.95, 1.0, 0.5  # recovered: so much of what was served before, over so long, looked at so often


class Row(msgspec.Struct, frozen=True):
    """Means over the seeds. Worth is by the second while the load lasts, its first half second left out."""

    gateways: int
    load: float
    how: str
    worth: float
    of_one: float  # against one gateway that sees all traffic
    served: float  # part of all requests
    attempts: float  # for each request that was served
    carried: float  # refusals carried on, for each request
    recovery: float  # seconds until 95% of what was served before; -1: not in the run
    probes: float  # of each engine in a second
    simulated: bool = True


def run(
    gateways: int,
    engines: int,
    led: bool,
    load: float,
    seed: int,
    hot: float,
    kill: float = 0.0,
) -> tuple[float, ...]:
    world = World(gateways, engines, led, lambda at: load if BEFORE <= at < BEFORE + LASTS else CALM, seed, hot)
    if kill:
        world.run(BEFORE + 2)
        for gateway in world.random.sample(world.gateways, round(kill * len(world.gateways))):
            gateway.kill(3 * SECOND)
    world.run(BEFORE + LASTS + AFTER)
    counts, gone = world.counts, BEFORE + LASTS
    before = world.worth_in(BEFORE / 2, BEFORE)
    looks = [step * STEP for step in range(int((AFTER - SPAN) / STEP) + 1)]
    recovery = next((at for at in looks if world.worth_in(gone + at, gone + at + SPAN) >= BACK * before), -1.0)
    probes = sum(engine.probes for engine in world.engines.values()) / engines / (BEFORE + LASTS + AFTER)
    return (
        world.worth_in(BEFORE + 0.5, gone),
        counts["served"] / counts["requests"],
        counts["attempts"] / counts["served"],
        counts["carried"] / counts["requests"],
        recovery,
        probes,
    )


def rows(gateways: int, loads: list[float], seeds: int, hot: float, kill: float) -> Iterator[Row]:
    engines = gateways if gateways < 50 else gateways // 4
    for load in loads:
        best = 0.0
        for how, count, led in (
            ("one gateway", 1, False),
            ("as it stands", gateways, False),
            ("as one", gateways, True),
        ):
            part, dying = (hot, kill) if count > 1 else (0.0, 0.0)
            runs = [run(count, engines, led, load, seed, part, dying) for seed in range(1, seeds + 1)]
            means = [round(sum(one[at] for one in runs) / seeds, 3) for at in range(6)]
            if any(one[4] < 0 for one in runs):
                means[4] = -1.0
            best = best or means[0]
            worth, served, attempts, carried, recovery, probed = means
            yield Row(count, load, how, worth, round(worth / best, 3), served, attempts, carried, recovery, probed)


def probes() -> Iterator[Row]:
    for gateways in (2, 4, 8, 16):
        for how, led in (("as it stands", False), ("as one", True)):
            told = [round(value, 3) for value in run(gateways, 8, led, CALM, 1, 0.0)]
            yield Row(gateways, CALM, how, told[0], 0.0, told[1], told[2], told[3], told[4], told[5])


def main(words: list[str]) -> None:
    said = docopt(__doc__ or "", words)
    try:
        sizes = [int(word) for word in said["--gateways"].split(",")]
        loads = [float(word) for word in said["--loads"].split(",")]
        seeds, hot, kill = int(said["--seeds"]), float(said["--hot"]), float(said["--kill"])
        if not (
            all(1 <= size <= 200 for size in sizes)
            and all(0 < load <= 10 for load in loads)
            and 1 <= seeds <= 20
            and 0 <= hot < 1
            and 0 <= kill <= 1
        ):
            raise ValueError("1 to 200 gateways, loads over 0 to 10, 1 to 20 seeds, parts below 1 are needed")
    except ValueError as bad:
        sys.exit(f"overload: {bad}")
    told = probes() if said["probes"] else (row for size in sizes for row in rows(size, loads, seeds, hot, kill))
    if not said["--json"]:
        print("simulated  gateways load how           worth/s of one served attempts carried recovery probes")
    for row in told:
        if said["--json"]:
            print(msgspec.json.encode(row).decode(), flush=True)
        else:
            print(
                f"           {row.gateways:8} {row.load:4} {row.how:13} {row.worth:7.1f} {row.of_one:6.3f} "
                f"{row.served:6.3f} {row.attempts:8.3f} {row.carried:7.3f} {row.recovery:8.1f} {row.probes:6.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv[1:])
