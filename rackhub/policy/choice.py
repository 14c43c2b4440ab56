"""Which engine gets a query, and on what terms: eligible, weighed, in turn."""

import math
import zlib

from rackhub.policy.learning import BILLED, SECOND, TICK

ILL_WEIGHT, CALM, REACH = 3, 0.3, 60  # of a failure rate; most that less strain counts; gateways for each engine
LOAD_PART, MIX, LOAD_SLACK = 2 / 3, 0x9E3779B1, 0.25  # engines for loads; to hash; threads over the mean
LIGHT, HEAVY, MARGIN = 0.8, 2.0, 2.0  # sizes of other priority; deviations granted of idle memory


class Choice:
    def choose(self, query, lost=()):  # what the rules allow, narrowed by each term that leaves any
        told, tables, now, held = query.cls.told, query.event.tables, self.now, self.fleet.reserved_engines
        told_where = told.allowed_zones or told.allowed_engine_kinds or query.maybe or query.event.zones  # dear: a call
        able = [e for e in self.engines.values() if (self.allowed(query, e) if told_where else e.ready)]
        able = [e for e in able if e not in lost and e.id not in held] if lost or held else able
        able = [e for e in able if now >= e.rest_until] or able
        able = [e for e in able if e.id not in query.tried] or able if query.tried else able
        able = [e for e in able if e.id in self.own] or able
        if told.locks_tables:  # by one hash at all gateways: what loads hold up has engines where none comes
            side = sorted(self.engines, key=lambda e: mixed(f"{tables} {e}"))
            able = [e for e in able if e.id in side[: max(round(len(side) * LOAD_PART), 1)]] or able
        if told.blocked_by_table_locks or told.locks_tables:
            free = [e for e in able if not e.loads.get(tables) and e.holds.get(tables, now) <= now]
            line = query.cls.mean * self.set.gateways if told.locks_tables and query.cls.answers else 0
            most = told.latency_objective or told.deadline  # of the line; an own one stands for one of each
            able = free or [e for e in able if e.loads.get(tables, 0) * line <= most]
        mean = sum([e.threads for e in able]) / max(sum([e.cores for e in able]), 1) + LOAD_SLACK
        able = [e for e in able if e.threads <= mean * e.cores] or able
        engine = rotate(able, self.warmth)  # told cores, less while cold
        if not engine or self.now - engine.cold_since >= self.set.slow_start_duration:
            return engine
        cold = [e for e in able if self.now - e.cold_since < self.set.slow_start_duration]
        return self.drawn(query, [e for e in cold if e.id in self.own]) or self.choose(query, (*lost, *cold))

    def warmth(self, engine):  # reckoned anew with each news of it, and now and then for its age
        if (at := engine.weighed) <= self.now - TICK or at <= engine.ill.at or at <= engine.strain.at:
            engine.weight, engine.weighed = self.reckon(engine), self.now
        return engine.weight

    def reckon(self, engine):
        worse = ILL_WEIGHT * engine.ill.value * math.exp((engine.ill.at - self.now) / (16 * SECOND))
        strain = max(engine.strain.value - self.usual, -CALM)  # against the fleet's, either way
        worse += strain * math.exp((engine.strain.at - self.now) / (8 * SECOND))
        return engine.cores * self.warm(engine) * math.exp(-worse)

    def allowed(self, query, engine):  # drain, placement, the keyed group and the cold budget: never waived
        told, able = query.cls.told, engine.ready
        able = able and all(not zones or engine.zone in zones for zones in (told.allowed_zones, query.event.zones))
        scope = {"all": 0, "zone": 1}.get(told.idempotency_scope, 2)  # how much of (zone, cell) must agree
        apart = told.idempotency == "dedup" and query.maybe and query.maybe[0][2][:scope] != engine.group[:scope]
        return able and not apart and (not told.allowed_engine_kinds or engine.kind in told.allowed_engine_kinds)

    def grant(self, query):  # by bills where they come: over what is likely needed while memory stands idle
        told, space = query.event.memory_mb, query.cls.space
        full = self.held.value * self.parts / max(self.memory, 1)  # takes traffic as even
        return space.expect(told, MARGIN * (1 - full)) if told and space.count >= BILLED else told * query.cls.need

    def priority(self, query):  # light before heavy: by class and, where estimates prove true, by query
        return 1 + self.short(query.cls) + (query.size < LIGHT) - (query.size > HEAVY)

    def short(self, cls):  # short queries of high worth for their work
        return cls.density >= sum(other.density for other in self.classes.values()) / len(self.classes)


def mixed(text):
    return zlib.crc32(text.encode()) * MIX % 2**32


def rotate(engines, weight):  # smooth weighted round robin
    gains = [weight(engine) for engine in engines]
    for engine, gain in zip(engines, gains, strict=True):
        engine.turn += gain
    best = max(engines, key=lambda engine: engine.turn, default=None)
    if best:
        best.turn -= sum(gains)
    return best
