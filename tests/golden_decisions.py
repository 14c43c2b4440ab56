"""A recorded stream of events with the actions that the decisions took, and the script that recorded it.

`python tests/golden_decisions.py` writes tests/golden/decisions/ anew: one file a scenario, an event a line with the
time and the actions, all by their values. It was recorded at e2a4940 from a made-up world with faults of every kind,
and is not meant to be written again.
"""

import heapq
import json
import lzma
import random
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from rackhub import Router, interface

RECORDED = Path(__file__).parent / "golden" / "decisions"
MS, S = 1_000, 1_000_000
EVENTS: dict[str, type] = {
    "started": interface.Started,
    "query": interface.QueryReceived,
    "attempt ended": interface.AttemptCompleted,
    "note": interface.ProgressReport,
    "stream": interface.ResultStreamStarted,
    "client left": interface.ClientDisconnected,
    "timer": interface.TimerFired,
    "engines": interface.EndpointList,
    "probe ended": interface.HealthCheckCompleted,
    "peer": interface.GossipReceived,
    "copy due": interface.HedgeDue,
    "fleet": interface.FleetAllocation,
}
READERS: dict[tuple[str, int], Callable[[Any], Any]] = {  # by event and place of the field
    ("engines", 1): lambda rows: tuple(interface.EngineEntry(*row) for row in rows),
    ("peer", 1): bytes.fromhex,
    ("query", 14): tuple,
    ("fleet", 3): lambda names: None if names is None else tuple(names),
    ("fleet", 4): frozenset,
}
ACTIONS: dict[type, tuple[str, int]] = {  # the name of each in the recording, and how many of its fields are compared
    interface.Send: ("send", 3),
    interface.ExecutionHints: ("terms", 3),
    interface.Cancel: ("cancel", 2),
    interface.Reject: ("refuse", 2),
    interface.Fail: ("fail", 1),
    interface.Timer: ("timer", 2),
    interface.CheckHealth: ("probe", 1),
    interface.SendGossip: ("tell", 2),
    interface.WatchEndpoints: ("subscribe", 1),
    interface.PollEndpoints: ("fetch", 0),
    interface.CloseIdleConnections: ("close idle", 1),
    interface.Log: ("log", 1),
}


def event_of(row: list[Any]) -> Any:
    """The event that a recorded row stands for."""
    name, *values = row
    return EVENTS[name](*(READERS.get((name, place), lambda same: same)(value) for place, value in enumerate(values)))


def row_of(action: Any) -> list[Any]:
    """An action by the values of its fields, in order."""
    name, count = ACTIONS[type(action)]
    values = [getattr(action, field) for field in type(action).__slots__][:count]
    return [name, *(value.hex() if isinstance(value, bytes) else value for value in values)]


class Scenario(NamedTuple):
    """What a recording is made of. `fleet`: allocations, zones and the operator's terms come, too."""

    settings: dict[str, Any]
    fleet: bool = False
    seed: int = 1


def classes() -> tuple[interface.ClassSettings, ...]:
    one = interface.ClassSettings
    return (
        one("lookup", 2 * S, 500 * MS, 1.0, 1.0, "retryable", "cell", 0, False, (), (), 1, False, True),
        one("report", 12 * S, 3 * S, 2.0, 7.5, "retryable", "cell", 0, False, (), (), 3, False, True),
        one("load", 20 * S, 3 * S, 1.0, 10.0, "dedup", "all", 20 * S, False, (), (), 2, True, False),
        one("booking", 5 * S, S, 1.0, 4.0, "dedup", "zone", 10 * S, False, ("za", "zb"), (), 1, False, False),
        one("ledger", 4 * S, 800 * MS, 1.0, 5.0, "fragile", "cell", 0, True, (), ("std",), 1, False, False),
    )


def settings(**more: Any) -> interface.Settings:
    return interface.Settings(
        classes(),
        (
            interface.TenantSettings("acme", 0.5, 10.0),
            interface.TenantSettings("umbra", 0.3),
            interface.TenantSettings(""),
        ),
        **more,
    )


COMMON = {
    "kind_cores": {"std": 4.0, "big": 8.0},
    "kind_memory": {"std": 4_000.0, "big": 9_000.0},
    "clock_period": 5 * MS,
    "max_attempts": 3,
    "max_retry_after": 2 * S,
    "slow_start_initial_capacity": 0.2,
    "slow_start_duration": 5 * S,
    "slow_start_budget_window": 2 * S,
    "slow_start_budget_multiple": 3.0,
    "drain_grace": S,
    "retry_budget_window": 10 * S,
}
SCENARIOS = {
    "reports": Scenario(
        COMMON
        | {
            "gateways": 3,
            "instance_index": 1,
            "grants": True,
            "priorities": True,
            "progress_report_interval": 400 * MS,
            "cancel": True,
            "load_report_source": "answers",
            "retry_budget_ratio": 0.2,
            "retry_budget_minimum": 10.0,
            "serial_key_delay": 200 * MS,
        }
    ),
    "probes": Scenario(
        COMMON
        | {
            "gateways": 4,
            "health_checks": True,
            "gossip": True,
            "hedging": True,
            "cancel": True,
            "discovery": "ask",
            "retry_budget_ratio": 0.3,
        },
        seed=2,
    ),
    "no cancel": Scenario(COMMON | {"gateways": 100, "hedging": True, "progress_report_interval": 300 * MS}, seed=3),
    "fleet": Scenario(
        COMMON
        | {
            "gateways": 6,
            "instance_index": 2,
            "health_checks": True,
            "cancel": True,
            "hedging": True,
            "retry_budget_minimum": 30.0,
        },
        fleet=True,
        seed=4,
    ),
}


class World:
    """Engines, clients and discovery made up by chance, driven by the actions that come."""

    def __init__(self, scenario: Scenario):
        self.scenario, self.random = scenario, random.Random(f"world {scenario.seed}")
        self.now, self.rows, self.count = 100 * S, [], 0
        self.control = Router(settings(**scenario.settings), seed=scenario.seed)
        self.heap: list[tuple[int, int, list[Any]]] = []
        self.engines: dict[str, list[Any]] = {}  # by name: the row of its entry
        self.open: dict[str, dict[str, Any]] = {}
        self.attempts: dict[tuple[str, int], dict[str, Any]] = {}

    def run(self, queries: int) -> list[Any]:
        self.do(["started"])
        for i in range(8):
            self.engine(f"e{i}")
        self.listing("Persisted" if self.scenario.seed == 1 else "Complete")
        at = 0
        for number in range(queries):
            burst = number // 150 % 3 == 2
            at += self.random.randint(500, 8 * MS if burst else 60 * MS)
            self.later(at, ["arrive", number])
        for step in range(at // S + 20):
            self.later(step * S + self.random.randrange(S), ["change"])
        end = self.now + at + 25 * S  # the module's own timers go on for ever
        while self.now < end:
            due, _, what = heapq.heappop(self.heap)
            self.now = max(self.now, due)
            if self.random.random() < 0.0008:
                self.now += self.random.randint(40 * MS, 200 * MS)  # this process stood still
            self.happen(what)
        return self.rows

    def later(self, delay: int, what: list[Any]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, what))

    def do(self, row: list[Any]) -> None:
        actions = [row_of(action) for action in self.control.handle(self.now, event_of(row))]
        self.rows.append([self.now, row, actions])
        for action in actions:
            self.take(action)

    # ---- what the world does by itself

    def happen(self, what: list[Any]) -> None:
        name, *more = what
        if name == "arrive":
            self.arrive(*more)
        elif name == "change":
            self.change()
        elif name == "outcome":
            self.outcome(*more)
        elif name in ("note", "stream") and (more[0], more[1]) not in self.attempts:
            return
        elif name == "leave" and more[0] not in self.open:
            return
        elif name == "leave":
            self.close(more[0])
            self.do(["client left", *more])
        else:
            self.do(what)

    def engine(self, name: str) -> None:
        kind = self.random.choice(("std", "std", "big"))
        zone = self.random.choice(("za", "zb", "zc"))
        self.engines[name] = [name, zone, kind, self.random.randint(0, 1), "Ready", 1.0, 0]

    def listing(self, scope: str) -> None:
        rows = [list(row) for row in self.engines.values()]
        if scope == "Partial":
            rows = self.random.sample(rows, min(2, len(rows)))
        self.do(["engines", scope, [] if scope == "Error" else rows, self.count])

    def change(self) -> None:
        draw = self.random.random()
        name = self.random.choice(list(self.engines))
        row = self.engines[name]
        if draw < 0.15:
            row[4] = "Terminating" if row[4] == "Ready" else "Ready"
        elif draw < 0.25 and len(self.engines) > 4:
            del self.engines[name]
        elif draw < 0.4:
            self.engine(f"e{self.count}")
        elif draw < 0.55:
            row[6], row[4] = self.now - self.random.randint(0, S), "Ready"
        if draw < 0.6 and not any(row[4] == "Ready" for row in self.engines.values()):
            row[4] = "Ready"
        if draw < 0.65:
            self.listing(self.random.choice(("Complete", "Complete", "Partial", "Error")))
        if self.scenario.settings.get("gossip"):
            level = self.random.choice((0, 40, 60, 90, 100))
            code = zlib.crc32(self.random.choice(list(self.engines)).encode()).to_bytes(4, "big")
            self.do(["peer", self.random.randint(0, 3), (code + bytes([level])).hex()])
        if self.scenario.fleet:
            self.do(self.allocation())

    def allocation(self) -> list[Any]:
        names = sorted(self.engines)
        pick = self.random.random()
        return [
            "fleet",
            None if pick < 0.2 else self.random.uniform(0.05, 0.4),
            None if pick < 0.4 else self.random.uniform(0.05, 0.5),
            None if pick < 0.5 else self.random.uniform(0, 8),
            None if pick < 0.3 else sorted(self.random.sample(names, min(2, len(names)))),
            sorted(self.random.sample(names, 1)) if pick > 0.7 else [],
            self.random.choice((0, 0, 150 * MS)),
        ]

    def arrive(self, number: int) -> None:
        cls = self.random.choices(["lookup", "report", "load", "booking", "ledger", "nowhere"], [60, 10, 8, 12, 8, 2])[
            0
        ]
        deadline = {"lookup": 2 * S, "report": 12 * S, "load": 20 * S, "booking": 5 * S, "ledger": 4 * S}.get(
            cls, 3 * S
        )
        estimate = self.random.choice((0, 1, 1, 3)) * self.random.randint(1_000, 90_000)
        query = f"q{number}"
        fleet = self.scenario.fleet
        self.open[query] = {"cls": cls, "attempts": 0, "closed": False, "estimate": estimate}
        if self.random.random() < 0.02:
            self.later(self.random.randint(1 * MS, S), ["leave", query])
        if fleet and self.random.random() < 0.1:
            self.later(self.random.randint(50 * MS, 400 * MS), ["copy due", query])
        self.do(
            [
                "query",
                query,
                cls,
                self.now + int(deadline * self.random.uniform(0.05, 1.0)),
                self.random.choice(("acme", "acme", "umbra", "")),
                self.random.random() < 0.1,
                estimate,
                self.random.randint(0, 12) if cls in ("ledger", "load") else None,
                self.random.random() < 0.3,
                float(self.random.choice((0, 50, 400))),
                self.random.randint(0, 4),
                self.random.choice((0, 0, 2, 5)) if fleet else 0,
                self.random.choice((0, 0, 3 * S)) if fleet else 0,
                self.random.choice((0, 0, 0, 1, -1)) if fleet else 0,
                self.random.choice(([], [], ["za"], ["zb", "zc"])) if fleet else [],
            ]
        )

    # ---- what the actions lead to

    def take(self, action: list[Any]) -> None:
        name, *values = action
        if name == "timer":
            self.later(values[0], ["timer", values[1]])
        elif name == "send":
            self.send(values[0], values[1])
        elif name == "cancel" and tuple(values) in self.attempts:
            self.later(self.random.randint(MS, 12 * MS), ["outcome", *values, "CXL"])
        elif name in ("refuse", "fail"):
            self.close(values[0])
        elif name == "probe":
            self.probe(values[0])

    def close(self, query: str) -> None:
        self.open.pop(query, {})["closed"] = True

    def report(self) -> dict[str, float]:
        source = self.scenario.settings.get("load_report_source")
        if source != "answers" or self.random.random() < 0.5:
            return {}
        return self.random.choice(
            (
                {"busy_reqs": float(self.random.randint(0, 12)), "pending": 0.0},
                {"cpu_share": self.random.uniform(0.3, 1.0), "x0": self.random.uniform(0.5, 1.0)},
                {"x1": self.random.uniform(0.3, 1.0)},
            )
        )

    def probe(self, engine: str) -> None:
        reason = self.random.choices(("GOOD", "LATE", "NOCONN"), (90, 6, 4))[0]
        elapsed = self.random.randint(300, 9 * MS) if reason == "GOOD" else 100 * MS
        report = self.report() if self.random.random() < 0.3 else {}
        self.later(elapsed, ["probe ended", engine, reason, elapsed, report])

    def send(self, query: str, engine: str) -> None:
        state = self.open[query]
        number, state["attempts"] = state["attempts"], state["attempts"] + 1
        self.attempts[query, number] = {"engine": engine, "sent": self.now, "state": state}
        usual = {"lookup": 60 * MS, "report": 900 * MS, "load": 1_500 * MS}.get(state["cls"], 200 * MS)
        slow = 6 if zlib.crc32(f"{engine} {self.now // (4 * S)}".encode()) % 9 == 0 else 1
        elapsed = int(usual * slow * self.random.lognormvariate(0, 0.6))
        kinds = ("GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "NOP", "silent")
        reason = self.random.choices(kinds, (85, 3, 3, 2, 2, 2, 1, 2))[0]
        if reason in ("FULL", "NOCONN", "NOP"):
            elapsed = self.random.randint(200, 3 * MS)
        if reason == "silent":
            reason, elapsed = "LATE", 4 * S
        period = self.scenario.settings.get("progress_report_interval", 0)
        for at in range(period, min(elapsed, 8 * period) if period else 0, period or 1):
            topic, value = self.random.choice(
                ((1, at / elapsed), (1, at / elapsed), (2, 40.0), (3, 1.0), (3, 2.0), (1, 0.0))
            )
            self.later(at, ["note", query, number, topic, value, engine])
        if reason == "GOOD" and self.random.random() < 0.1:
            self.later(elapsed // 2, ["stream", query, number, engine, elapsed // 2])
        self.later(elapsed, ["outcome", query, number, reason])

    def outcome(self, query: str, number: int, reason: str) -> None:
        attempt = self.attempts.pop((query, number), None)
        if attempt is None:
            return
        state = attempt["state"]
        if reason == "GOOD" and not state["closed"]:
            self.close(query)
        settled = state["closed"]
        bill = (self.random.randint(1, 400) << 12 | self.random.randint(1, 300)) if reason == "GOOD" else 0
        row = ["attempt ended", query, number, reason, settled, attempt["engine"], self.now - attempt["sent"]]
        row += [bill if self.scenario.settings.get("grants") else 0, self.report()]
        if self.scenario.fleet:
            row += [self.random.random() < 0.9, self.random.choice((0, 0, 30 * MS)), self.random.choice((0, S))]
        self.do(row)


def read(name: str) -> Iterator[tuple[int, list[Any], list[Any]]]:
    """The recorded steps: the time, the event and the actions."""
    with lzma.open(RECORDED / f"{name}.json.xz", "rt") as lines:
        yield from (tuple(json.loads(line)) for line in lines)


def record() -> None:
    RECORDED.mkdir(parents=True, exist_ok=True)
    for name, scenario in SCENARIOS.items():
        rows = World(scenario).run(2_000)
        with lzma.open(RECORDED / f"{name}.json.xz", "wt", preset=9) as lines:
            lines.writelines(json.dumps(row, separators=(",", ":")) + "\n" for row in rows)


if __name__ == "__main__":
    record()
