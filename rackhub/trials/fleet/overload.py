"""Simulates overload in virtual time: independent gateways, one gateway with all traffic, and a coordinated fleet.
Run as `python -m rackhub.trials.fleet.overload`.

Usage:
  overload [--gateways LIST] [--loads LIST] [--seeds N] [--hot PART] [--kill PART] [--json]
  overload probes [--json]

Options:
  --gateways LIST  Numbers of gateways; as many engines, from 50 gateways on a quarter [default: 8].
  --loads LIST     Load for 4 s, as a multiple of the capacity of all cores [default: 0.8,1.2,2,4].
  --seeds N        Runs of each configuration; means are reported [default: 3].
  --hot PART       Fraction of requests that are sent to one gateway first [default: 0].
  --kill PART      Fraction of gateways killed 2 s into the load and restarted empty 3 s later [default: 0].
  --json           One JSON object per line.

All figures are simulated: core, decision module and overload component are the real ones; engines, clients and gossip
are models (overload_world). Each run: 8 s at 0.8, 4 s at the load, 8 s at 0.8.
"""

import sys
from collections.abc import Iterator

import msgspec
from docopt import docopt

from rackhub.trials.fleet.overload_world import World
from rackhub.trials.fleet.twin import SECOND

BASE_LOAD, BEFORE, DURATION, AFTER = 0.8, 8.0, 4.0, 8.0
RECOVERED_FRACTION, RECOVERY_WINDOW, RECOVERY_STEP = (
    0.95,
    1.0,
    0.5,
)  # recovered: fraction of the earlier rate; window and step in s


class Row(msgspec.Struct, frozen=True):
    """Means over the seeds. `worth`: priority weight served per second during the load, without its first 0.5 s."""

    gateways: int
    load: float
    how: str
    worth: float
    of_one: float  # ratio to one gateway with all traffic
    served: float  # fraction of all requests
    attempts: float  # per served request
    carried: float  # rejections retried at another gateway, per request
    recovery: float  # seconds until 95% of the earlier rate; -1 if not reached
    probes: float  # health checks per engine and second
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
    world = World(gateways, engines, led, lambda at: load if BEFORE <= at < BEFORE + DURATION else BASE_LOAD, seed, hot)
    if kill:
        world.run(BEFORE + 2)
        for gateway in world.random.sample(world.gateways, round(kill * len(world.gateways))):
            gateway.kill(3 * SECOND)
    world.run(BEFORE + DURATION + AFTER)
    counts, load_end = world.counts, BEFORE + DURATION
    before = world.worth_in(BEFORE / 2, BEFORE)
    offsets = [step * RECOVERY_STEP for step in range(int((AFTER - RECOVERY_WINDOW) / RECOVERY_STEP) + 1)]
    recovery = next(
        (
            at
            for at in offsets
            if world.worth_in(load_end + at, load_end + at + RECOVERY_WINDOW) >= RECOVERED_FRACTION * before
        ),
        -1.0,
    )
    probes = sum(engine.probes for engine in world.engines.values()) / engines / (BEFORE + DURATION + AFTER)
    return (
        world.worth_in(BEFORE + 0.5, load_end),
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
            means = [round(sum(means_of_run[at] for means_of_run in runs) / seeds, 3) for at in range(6)]
            if any(means_of_run[4] < 0 for means_of_run in runs):
                means[4] = -1.0
            best = best or means[0]
            worth, served, attempts, carried, recovery, probed = means
            yield Row(count, load, how, worth, round(worth / best, 3), served, attempts, carried, recovery, probed)


def probes() -> Iterator[Row]:
    for gateways in (2, 4, 8, 16):
        for how, led in (("as it stands", False), ("as one", True)):
            results = [round(value, 3) for value in run(gateways, 8, led, BASE_LOAD, 1, 0.0)]
            yield Row(
                gateways, BASE_LOAD, how, results[0], 0.0, results[1], results[2], results[3], results[4], results[5]
            )


def main(arguments: list[str]) -> None:
    options = docopt(__doc__ or "", arguments)
    try:
        sizes = [int(word) for word in options["--gateways"].split(",")]
        loads = [float(word) for word in options["--loads"].split(",")]
        seeds, hot, kill = int(options["--seeds"]), float(options["--hot"]), float(options["--kill"])
        if not (
            all(1 <= size <= 200 for size in sizes)
            and all(0 < load <= 10 for load in loads)
            and 1 <= seeds <= 20
            and 0 <= hot < 1
            and 0 <= kill <= 1
        ):
            raise ValueError(
                "allowed: 1 to 200 gateways, loads above 0 to 10, 1 to 20 seeds, --hot 0 to below 1, --kill 0 to 1"
            )
    except ValueError as bad:
        sys.exit(f"overload: {bad}")
    results = probes() if options["probes"] else (row for size in sizes for row in rows(size, loads, seeds, hot, kill))
    if not options["--json"]:
        print("simulated  gateways load how           worth/s of one served attempts carried recovery probes")
    for row in results:
        if options["--json"]:
            print(msgspec.json.encode(row).decode(), flush=True)
        else:
            print(
                f"           {row.gateways:8} {row.load:4} {row.how:13} {row.worth:7.1f} {row.of_one:6.3f} "
                f"{row.served:6.3f} {row.attempts:8.3f} {row.carried:7.3f} {row.recovery:8.1f} {row.probes:6.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main(sys.argv[1:])
