"""Whether the engines are pressed, by the surest evidence at hand, and which of them are ill."""

import math
import zlib

from rackhub import interface as t
from rackhub.policy.learning import BILLED, SECOND, SURE, Aged

PRESSED, FRESH = 1.6, 2 * SECOND  # times the best latency; a report is of the whole engine: the newest counts
MARKS = {"cpu_share": (0.95, 4), "x0": (0.95, 4), "x1": (0.84, 4), "pending": (2, 0.5)}  # pressure, slope
CROWDED, FULL_OVER, SILENT_OVER = 1.5, 2.0, 1.0  # threads a core; how far over FULL, silence are
EVIDENCE, DENSE, SILENT = 3 * SECOND // 2, 20, 4  # age it fades at; answers in it to trust latency; a word
SPREAD, ONE_AT_MOST = 0.2, 0.5  # strain of the usual engine that may be chance; what one counts for in it
ILL, ILL_APART, NEED_FADE = 0.25, 2, 0.99  # failure rate that rests, if twice the middle; without spills
REST, REST_MOST, ONE_RESET = SECOND, 8 * SECOND, SECOND // 50  # doubled between; resets that are one
OVERDUE, DOUBT = 4, 0.4  # usual latencies: out for so many an attempt is overdue; a doubt of one unanswered


class Pressure:
    @property
    def excess(self):
        return max(self.over.fresh(self.now), self.strain - SPREAD if self.kind == 2 else -1)  # most are calm

    @property
    def pressed(self):  # engine pressure: a FULL, or the surest evidence at hand is over its mark
        return self.excess > 0 or self.lag.fresh(self.now) > 0 and (not self.kind or self.lag.weight > DENSE)

    def weigh(self, kind, over):  # told load (2) before probes that wait their turn (1)
        if self.now != self.stalled and (kind >= self.kind or self.now > self.sure_until):
            self.over = self.over if kind == self.kind else Aged()
            self.kind, self.sure_until = kind, self.now + SURE
            self.over.add(self.now, over, EVIDENCE, 30)

    def gauge(self):  # the strain of the usual engine, by cores; one that is slow says little of the rest
        ready = [e for e in self.engines.values() if e.ready and self.now - e.strain.at < SURE]
        self.usual = sum(e.cores * e.strain.value for e in ready) / max(sum(e.cores for e in ready), 1)
        strains = sum(e.cores * min(e.strain.value, ONE_AT_MOST) for e in ready)
        self.strain = strains / max(sum(e.cores for e in ready), 1)

    def report(self, event):  # told load: queries in hand (as threads by own mean), or cores, memory, disks
        engine, values = self.engines.get(event.engine), event.report
        overs = [slope * (values[name] - mark) for name, (mark, slope) in MARKS.items() if name in values]
        if engine and "busy_reqs" in values:
            each = max(self.threads, 1) / max(self.live, 1) / CROWDED / (engine.cores * self.warm(engine))
            overs.append(values["busy_reqs"] * each - 1)
        if engine and overs:
            self.granted += (values.get("x0", 1) - self.granted) / 8
            self.weigh(2, max(overs))
            engine.strain.add(self.now, max(overs), FRESH)

    def on_probe(self, event):  # one that waits its turn like a query shows the pressure without its spread
        self.report(event)
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.best = min(engine.best, event.elapsed)  # its own: the way to another hall is longer
        self.deep = self.deep or event.elapsed > 2 * engine.best
        if event.outcome == "GOOD":
            engine.answered, engine.pace = self.now, event.elapsed / max(engine.best, 1)
        waits = event.outcome == "GOOD" and self.deep and engine.best
        if not waits and (event.outcome not in ("LATE", "NOCONN") or self.now == self.stalled):
            return
        over = math.log(event.elapsed / engine.best / PRESSED) if waits else math.inf
        self.heard(event.engine, over, not event.report)
        if self.set.gossip and self.set.load_report_source == "silent":  # told to as many as there are engines: so
            level = int(min(max(over, -1), SILENT) * 50) + 50  # each hears of every one as often as it probes
            word = zlib.crc32(event.engine.encode()).to_bytes(4, "big") + bytes([level])
            peers = self.random.sample(range(self.set.gateways), min(len(self.engines), self.set.gateways))
            self.acts += [t.SendGossip(peer, word) for peer in peers if peer != self.set.instance_index]

    def heard(self, name, over, strains):  # a probe, own or a peer's: pressure, and the engine's strain
        engine, silent = self.engines.get(name), over >= SILENT
        self.weigh(1, SILENT_OVER if silent else over)
        self.ail(engine) if engine and silent else None  # seen before any query is overdue
        if engine and strains and not silent:  # slow to answer: gets less
            engine.strain.add(self.now, over)

    def on_peer(self, event):  # where no engine reports its load, what peers saw of it stands in
        name = self.codes.get(int.from_bytes(event.contents[:4], "big"))
        self.heard(name, (event.contents[4] - 50) / 50, True) if name and len(event.contents) == 5 else None

    def observe(self, engine, attempt, event):  # health and class means from the outcome of an attempt
        reason, cls, query = event.outcome, attempt.query.cls, attempt.query
        self.report(event)
        came = 2 * DOUBT * (reason == "GOOD") if attempt.doubted else -(reason == "LATE")
        self.lost.add(self.now, -came, most=30)
        if reason == "GOOD":
            engine.answered, engine.refusals = self.now, 0
            self.ail(query.failed_on) if query.failed_on else None  # it is sound: the error was the engine's
            if self.now != self.stalled:
                cls.billed = cls.billed or event.cost > 0
                cls.cost.add(query.event.estimate, (event.cost >> 12) * 1000 if cls.billed else event.elapsed)
                cls.space.add(query.event.memory_mb, (event.cost & 4095) * 4)
                cls.learn(event.elapsed, query.size)
            self.paced(engine, query, self.now - attempt.began)
            self.lag.add(self.now, cls.fast - cls.best - math.log(PRESSED), EVIDENCE, 30)
            cls.need *= (
                NEED_FADE if self.set.grants and self.set.progress_report_interval and not attempt.spilled else 1
            )
            engine.ill.add(self.now, 0)
            engine.rest = engine.rest if engine.ill.value >= ILL / 8 else 0
        elif reason == "FULL":
            self.over.add(self.now, FULL_OVER, EVIDENCE, 30)
            engine.strain.add(self.now, FULL_OVER)
        elif reason == "NOCONN":  # none listens: the next, with nothing answered since, rests it for certain
            engine.refusals += 1
            self.ail(engine, engine.refusals > 1)
        elif reason == "RST":  # one connection that breaks ends all that share it, and an engine that goes on
            alone, engine.reset_at = self.now - engine.reset_at > ONE_RESET, self.now  # answering is sound
            engine.refusals += alone
            self.ail(engine, True) if engine.refusals > 1 else None
        elif reason == "BAD":
            self.suspect(engine, query)
        elif reason == "LATE" and event.elapsed > OVERDUE * query.usual:
            self.ail(engine)

    def suspect(self, engine, query):  # an error tells as much of the query: blame falls if another answers
        if query.failed_on:  # two agree that it is no use, and a third would say the same
            query.tries, query.failed_on = self.set.max_attempts, None
        elif not self.may_resend(query):
            self.ail(engine)
        else:
            query.failed_on = engine

    def paced(self, engine, query, whole):  # the pace of work of known size tells strain, if reports are late
        if query.cls.cost.count >= BILLED and self.now != self.stalled:
            engine.strain.add(self.now, min(max(math.log(max(whole, 1) / query.usual), -1), 2))

    def ail(self, engine, sure=False):  # enough failure or silence rests it, unless the fleet looks alike
        engine.ill.add(self.now, 1)
        rates = sorted(e.ill.value for e in self.engines.values() if e.ready) or [0]
        if (sure or engine.ill.value >= max(ILL, ILL_APART * rates[len(rates) // 2])) and self.now >= engine.rest_until:
            engine.rest = min(max(engine.rest * 2, REST), REST_MOST)
            engine.rest_until = self.now + int(engine.rest * self.random.uniform(1.0, 1.3))

    def bury(self, engine):  # a told start: what was sent before can't be answered, and would hold the tally
        engine.renew()  # and its client to the deadline. Harm: a start told too late kills what runs
        engine.staked = self.now - int(self.random.random() * (self.now - engine.cold_since))  # all hear now
        for a in [a for a in self.attempts.values() if a.engine is engine and a.sent < engine.cold_since]:
            self.free(a)
            if self.set.cancel:
                self.acts.append(t.Cancel(a.query.id, a.number))  # its outcome goes elsewhere
            elif self.set.hedging and not a.query.closed and len(a.query.out) < 2:
                self.again(a.query, "LATE")
