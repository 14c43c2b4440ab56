"""Measures the cost of fleet membership, and the speed and accuracy of its failure detection.

Run as `python -m rackhub.trials.fleet.members_measure`.

Usage:
  members_measure loopback [--gateways N] [--seconds N] [--json]
  members_measure virtual [--gateways N] [--seconds N] [--every MS] [--json]
  members_measure detect [--gateways N] [--seed N] [--json]
  members_measure one ADDRESS JOIN SECONDS

Options:
  --gateways N  Number of gateways [default: 8].
  --seconds N   Length of the measurement [default: 15].
  --every MS    Interval between publications of each record [default: 500].
  --seed N      Seed of all random choices [default: 1].
  --json        Print JSON.

Commands:
  loopback  Separate processes on 127.0.0.0/8; each publishes three records of 150 bytes twice per second.
  virtual   The same load in virtual time, with the real frames.
  detect    Virtual time, by loss: false suspicions and removals, and the time until a killed member is gone.
  one       Run one process of `loopback` and print its metrics.
"""

import json
import os
import resource
import subprocess
import sys
from functools import partial
from typing import Any

from docopt import docopt

from rackhub.fleet.members.context import Effect, MemberChanged
from rackhub.fleet.ports import MemberState
from rackhub.trials.fleet.members_wire import Gateway, Wire
from rackhub.trials.fleet.twin import MS, SECOND

RECORD_KINDS, RECORD_BYTES, RECORD_INTERVAL_MS = (
    ("demand", "probes", "version"),
    150,
    500,
)  # record kinds, size in bytes, interval in ms
WARM_UP_SECONDS = 15  # seconds until membership is stable


def loopback(gateways: int, seconds: int) -> dict[str, Any]:
    addresses = [f"127.0.7.{i + 1}:17946" for i in range(gateways)]
    command = [sys.executable, "-m", "rackhub.trials.fleet.members_measure", "one"]
    children = [
        subprocess.Popen([*command, address, addresses[0], str(seconds)], stdout=subprocess.PIPE)
        for address in addresses
    ]
    try:
        figures = [json.loads(child.communicate(timeout=seconds + 60)[0]) for child in children]
    finally:
        for child in children:
            if child.poll() is None:
                child.kill()
    keys = [key for key in figures[0] if key != "heard"]
    return {
        "processes": gateways,
        "measured": "loopback",
        "all_heard": all(f["heard"] == gateways for f in figures),
        "records_posted_s_each": len(RECORD_KINDS) * 1_000 / RECORD_INTERVAL_MS,
        "per_member_s": {key: round(sum(figure[key] for figure in figures) / gateways, 1) for key in keys},
    }


def run_one(address: str, join: str, seconds: int) -> None:
    from twisted.internet import reactor as any_reactor

    from rackhub.fleet.members.part import Membership
    from rackhub.fleet.settings import FleetSettings

    reactor: Any = any_reactor
    name = "g" + address.replace(":", "-")
    part = Membership(reactor, FleetSettings(cluster="measure", listen=address, name=name, join=(join,)), None)
    part.start()
    kept: dict[str, float] = {}

    def cpu() -> float:
        used = resource.getrusage(resource.RUSAGE_SELF)
        return (used.ru_utime + used.ru_stime) * 1_000

    def post() -> None:
        reactor.callLater(RECORD_INTERVAL_MS / 1_000, post)
        for kind in RECORD_KINDS:
            part.gossip_state.publish(kind, os.urandom(RECORD_BYTES))

    def begin() -> None:
        kept.update({name: getattr(part.port, name) for name in COUNTER_NAMES}, cpu_ms=cpu())

    def end() -> None:
        results: dict[str, float] = {name: (getattr(part.port, name) - kept[name]) / seconds for name in COUNTER_NAMES}
        results |= {"cpu_ms": (cpu() - kept["cpu_ms"]) / seconds, "heard": len(part.members.reachable())}
        print(json.dumps(results), flush=True)
        reactor.callLater(
            5, lambda: part.leave().addCallback(lambda _: reactor.stop())
        )  # the other processes may still be measuring

    reactor.callLater(0.5, post)
    reactor.callLater(WARM_UP_SECONDS, begin)
    reactor.callLater(WARM_UP_SECONDS + seconds, end)
    reactor.run()


COUNTER_NAMES = ("bytes_in", "bytes_out", "packets_in", "packets_out")


def virtual(gateways: int, seconds: int, every: int) -> dict[str, Any]:
    wire = Wire(gateways, 1)
    wire.start()

    def post() -> None:
        wire.time.later(every * MS, post)
        for gateway in wire.running():
            for kind in RECORD_KINDS:
                gateway.post(kind, wire.random.randbytes(RECORD_BYTES))

    rows = {}
    wire.time.run(gateways * wire.timing.probe_period)  # every member has probed every other
    for load in ("idle", "with records"):
        if load != "idle":
            wire.time.later(0, post)
        wire.time.run(WARM_UP_SECONDS * SECOND)
        before = [(gateway.bytes, gateway.packets) for gateway in wire.gateways.values()]
        wire.time.run(seconds * SECOND)
        after = [(gateway.bytes, gateway.packets) for gateway in wire.gateways.values()]
        count = gateways * seconds
        rows[load] = {
            "bytes_out": round(sum(b[0] - a[0] for a, b in zip(before, after, strict=True)) / count, 1),
            "packets_out": round(sum(b[1] - a[1] for a, b in zip(before, after, strict=True)) / count, 1),
        }
    ages = sorted(
        gateway.core.records.read(RECORD_KINDS[0])[name].age
        for gateway in wire.gateways.values()
        for name in gateway.core.records.read(RECORD_KINDS[0])
    )
    return {
        "gateways": gateways,
        "simulated": True,
        "records_posted_s_each": len(RECORD_KINDS) * 1_000 / every,
        "per_member_s": rows,
        "records_held_of": len(ages) / gateways**2,
        "age_ms": {part: ages[min(len(ages) - 1, len(ages) * part // 100)] // MS for part in (50, 99, 100)},
    }


class DetectionRecorder:
    """Counts false suspicions and removals, and records when each gateway removes a killed member."""

    def __init__(self, wire: Wire):
        self.wire, self.suspected, self.given_up = wire, 0, 0
        self.gone: dict[str, list[int]] = {}
        wire.seen.append(self.record_effect)

    def record_effect(self, gateway: Gateway, effect: Effect) -> None:
        if not isinstance(effect, MemberChanged):
            return
        name, state = effect.member.name, effect.member.state
        if self.wire.gateways[name].up:
            self.suspected += (
                state is MemberState.SUSPECT and gateway.core.table.peers[name].suspected_by == gateway.name
            )
            self.given_up += state is MemberState.GONE
        elif state is MemberState.GONE:
            self.gone.setdefault(name, []).append(self.wire.time.now())

    def all_know(self, name: str, count: int) -> bool:
        return len(self.gone[name]) >= count


def detect(gateways: int, seed: int) -> list[dict[str, Any]]:
    rows = []
    for lose in (0.0, 0.01, 0.05, 0.1, 0.2, 0.3):
        wire = Wire(gateways, seed)
        recorder = DetectionRecorder(wire)
        wire.start()
        wire.time.run(30 * SECOND)
        wire.lose = lose
        wire.time.run(1_200 * SECOND)
        hours = gateways * 1_200 / 3_600
        quiet = (recorder.suspected / hours, recorder.given_up / hours)
        first, last = [], []
        for _ in range(20):
            gateway = wire.random.choice(wire.running())
            gateway.kill()
            began = wire.time.now()
            seen = recorder.gone[gateway.name] = []
            wire.time.run(60 * SECOND, partial(recorder.all_know, gateway.name, gateways - 1))
            if len(seen) >= gateways - 1:
                first.append(seen[0] - began)
                last.append(seen[-1] - began)
            gateway.start()
            wire.time.run(30 * SECOND)
        first.sort()
        last.sort()
        rows.append(
            {
                "loss": lose,
                "gateways": gateways,
                "simulated": True,
                "suspected wrongly, for each member an hour": round(quiet[0], 2),
                "given up wrongly, for each member an hour": round(quiet[1], 3),
                "found of 20": len(first),
                "first holds it gone, s, median and worst": [first[len(first) // 2] / SECOND, first[-1] / SECOND],
                "last holds it gone, s, median and worst": [last[len(last) // 2] / SECOND, last[-1] / SECOND],
            }
        )
    return rows


def main(argv: list[str]) -> int:
    options = docopt(__doc__ or "", argv)
    gateways, seconds = int(options["--gateways"]), int(options["--seconds"])
    if options["one"]:
        run_one(options["ADDRESS"], options["JOIN"], int(options["SECONDS"]))
        return 0
    if options["detect"]:
        results: Any = detect(gateways, int(options["--seed"]))
    else:
        results = (
            loopback(gateways, seconds) if options["loopback"] else virtual(gateways, seconds, int(options["--every"]))
        )
    if options["--json"]:
        print(json.dumps(results))
    else:
        for row in results if isinstance(results, list) else [results]:
            print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
