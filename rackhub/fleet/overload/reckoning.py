"""What one gateway makes of the records that it holds: the level, its part of threads and attempts, its back-off.

A pure core: it is told of its own requests as they come, and once a tick of the members and their records.
"""

from collections.abc import Mapping

from rackhub import interface as t
from rackhub.fleet.overload import records
from rackhub.fleet.overload.back import Back
from rackhub.fleet.overload.level import ALL, Level, hashed
from rackhub.fleet.overload.measure import Measure
from rackhub.fleet.overload.share import Lending
from rackhub.fleet.overload.shed import Shed
from rackhub.fleet.overload.tokens import Tokens
from rackhub.fleet.overload.view import Codes, View, view
from rackhub.fleet.overload.who import Who
from rackhub.fleet.ports import Name, Record
from rackhub.fleet.settings import FleetSettings

MS, SECOND = 1_000, 1_000_000
HOLD = 1 * SECOND  # past the age at which a record counts, that needs are told by their worse end
NEED = 2 * SECOND  # over which the own need is smoothed: what scatters is lost twice, to others and to itself
FULL = 1 * SECOND  # over which the part of the threads that is held is smoothed for the level: a moment is no overload
CHANCE = 5  # how soon a gateway's limit widens to twice the room for chance, as the fleet is not full, or loses it


class Reckoning:
    """`keep`: for how long what a gateway that is gone sent may run, microseconds."""

    def __init__(self, me: Name, settings: t.Settings, told: FleetSettings, keep: int, seed: int):
        fresh = told.records_ms * MS
        self.who = Who(me, settings.gateways, keep, fresh)
        self.measure, self.level, self.shed = Measure(settings), Level(), Shed(settings)
        self.lending = Lending(fresh + HOLD)
        self.tokens = Tokens(settings, fresh + HOLD, seed ^ records.code(me, "tokens"))
        self.back = Back(settings.max_retry_after, seed ^ records.code(me, "back"))
        self._codes, self._guard = Codes(settings), told.worth_guard
        self._fractions = {tenant.name: tenant.quota_fraction for tenant in settings.tenants}
        self.view: View | None = None
        self.hand, self.part = 0, 0.0  # threads held here; of what the fleet may run, this gateway's part
        self.limit = self.tight = 0.0  # threads that it may hold; for the cell at the level
        self.on = self.draining = False  # `on`: something is turned away
        self._need = self._full = 0.0

    # ---- one request

    def arrived(self, cls: str, tenant: str, statement: bytes, estimate: int = 0) -> int:
        """1 above the level, -1 below it or over this gateway's part, 0 no level holds. `estimate` in microseconds."""
        if estimate and cls in self.measure.kinds:
            self.measure.kinds[cls].estimated(estimate)
        row = self.measure.rows.get((cls, tenant)) or self.measure.row(cls, tenant)
        row.asked += 1
        mark = row.mark
        if mark < ALL and (not mark or hashed(statement, row.seed) >= mark):
            return -1
        if self.on and self.hand >= (self.limit if mark == ALL else self.tight):
            row.asked -= 1  # no more runs here than this gateway's part, and it may be taken elsewhere
            row.turned += 1
            return -1
        row.passed += 1
        return 1 if self.on else 0

    def sent(self, cls: str, further: bool) -> None:
        self.hand += self.measure.threads.get(cls, 1)
        if further:
            self.measure.further += 1
            self.measure.wanted += 1
            self.tokens.spend()

    def ended(self, cls: str, reason: str, elapsed: int) -> None:
        self.hand = max(self.hand - self.measure.threads.get(cls, 1), 0)
        self.measure.ended(cls, reason, elapsed)

    def closed(self, cls: str, how: str, tries: int) -> None:
        if how == "served":
            self.measure.served += 1
        elif how in ("refused", "failed"):
            self.measure.wanted += tries > 0
            if how == "refused":
                self.measure.refused += 1
                self.back.refused(self.view.work.get(cls, 0.0) if self.view else 0.0)

    # ---- the tick

    def tick(
        self,
        now: int,
        took: int,
        threads: float,
        living: frozenset[Name],
        heard: frozenset[Name],
        held: Mapping[Name, Record],
        loads: Mapping[Name, records.Load],
    ) -> None:
        """`took` microseconds since the last; `threads`: what all told engines may run; `held`, `loads`: the others'
        records, and what they say."""
        who, full = self.who, self.view.hand / self.view.threads if self.view and self.view.threads else 0.0
        self.measure.tick(took, self.on, full)
        who.see(now, living, heard, {name: held[name] for name in loads})
        fresh = {name: loads[name] for name in who.counted - who.silent - {who.me}}
        ours = threads * who.even * (len(fresh) + 1)  # the rest is of those that are not heard
        self.view = seen = view(
            [self.record(()), *fresh.values()], self._codes, self.measure.kinds, self.shed.worth, ours
        )
        self._full += (seen.hand / max(seen.threads, 1e-9) - self._full) * min(took / FULL, 1)
        self.level.see(seen.demand, self._fractions, seen.capacity, self._guard, self._full)
        self.on = bool(self.level.marks)
        self._divide(now, took, threads, seen, fresh)
        demand = sum(cell.threads for cell in seen.demand.values()) * self.level.place
        self.back.tick(now, seen.away, seen.capacity, demand)

    def _divide(self, now: int, took: int, threads: float, seen: View, fresh: Mapping[Name, records.Load]) -> None:
        """The own part of threads and of further attempts."""
        who, wanted = self.who, 0.0
        for key, row in self.measure.rows.items():
            row.mark = self.level.marks.get(key, ALL) if self.on else ALL
            wanted += row.rate * row.mark / ALL * seen.work.get(key[0], 0.0)
        same = [
            fresh[name] if name in fresh and fresh[name].counted == who.digest else None
            for name in sorted(who.counted - {who.me})
        ]
        need = (self.hand if self.draining else max(wanted, self.hand)) / max(threads, 1e-9)
        self._need += (need - self._need) * min(took / NEED, 1)
        lacking = any(Lending.lacks(load.share, who.even) for load in fresh.values())
        self.lending.need(now, self._need, who.even, who.digest, lacking)
        self.part = self.lending.part(who.even, [load.share if load is not None else None for load in same])
        allowed = self.part * threads * min(seen.room, 1.0)
        # room for chance, as the module's own, and less the more all hold together; least for the cell at the level
        spare, chance = 1 - seen.hand / max(seen.threads, 1e-9), allowed**0.5
        self.limit = allowed + chance * min(max(1 + CHANCE * spare, 0), 2)
        self.tight = allowed + chance * min(max(2 * spare, 0), 1)
        wished = self.measure.rates["wanted"]
        lacking = any(Lending.lacks(load.tokens, who.even) for load in fresh.values())
        self.tokens.tick(now, took, seen.served, wished, who.even, who.digest, lacking)
        self.tokens.part(
            self.tokens.lending.part(who.even, [load.tokens if load is not None else None for load in same]),
            wished > 0.01,
        )

    def record(self, trials: tuple[records.Trial, ...]) -> records.Load:
        """What this gateway tells the others."""
        cells, rest = self.measure.cells()
        rates = {name: records.bounded(rate * 1000) for name, rate in self.measure.rates.items()}
        return records.Load(
            cells,
            rest,
            self.measure.work(),
            self.hand * 1000,
            rates["served"],
            rates["refused"],
            records.bounded(self.back.away * 1000),
            rates["further"],
            rates["wanted"],
            records.bounded(self.measure.room * records.PART),
            self.lending.told(),
            self.tokens.lending.told(),
            trials,
            self.who.digest,
            self.shed.version,
        )

    def figures(self) -> dict[str, float]:
        seen = self.view
        return {
            "on": float(self.level.on),
            "place": self.level.place,
            "moves": float(self.level.moves),
            "share": self.part,
            "even": self.who.even,
            "counted": float(len(self.who.counted)),
            "silent": float(len(self.who.silent)),
            "majority": float(self.who.majority),
            "capacity": seen.capacity if seen else 0.0,
            "hand": seen.hand if seen else 0.0,
            "demand": sum(cell.threads for cell in seen.demand.values()) if seen else 0.0,
            "room": self.measure.room,
            "tokens": self.tokens.left,
            "tokens_rate": self.tokens.rate,
            "back_ms": self.back.told / MS,
            "refused": self.measure.rates["refused"],
            "shed_version": float(self.shed.version),
        }
