"""All decisions of one query gateway. Types, events and actions: rackhub/interface.py.

Windows and a running cap per tenant refuse at once; what passes goes round robin by told cores. All else is a
term on these: who is eligible, with what weight, under what cap. Times are microseconds of the events' clock.
"""
import math
import random
import zlib
from collections import defaultdict, deque
from types import SimpleNamespace

from rackhub import interface as t

SECOND = 1_000_000
WINDOWS, WINDOW_MULTIPLE = (SECOND, 5 * SECOND, 20 * SECOND), 2  # burst, surge, habit; twice the whole share
THREADS_PER_CORE, CORES_UNTOLD = 1.5, 8  # the share of an engine (the design's); a small one
PRESSED = 1.6              # latency this many times the class's best is pressure
SMOOTH, DRIFT = 30, 0.0005  # answers that recent latency is smoothed over; how fast the best is forgotten
MARKS = {"cpu_share": (0.95, 4), "x0": (0.95, 4), "x1": (0.84, 4), "pending": (2, 0.5)}  # pressure, slope
CROWDED, FULL_OVER, SILENT_OVER = 1.5, 2.0, 1.0  # threads a core; how far over FULL, silence are
EVIDENCE, SURE = 3 * SECOND // 2, 4 * SECOND  # age at which evidence of pressure fades; the surest kind rules
DENSE, LOST, DOUBT = 20, 0.04, 0.4  # answers in that age to trust latency; part unanswered: lost; a doubt
SLICE_GROW, SLICE_SHRINK = 1.25, 0.12  # room above the tally unpressed; part of the excess it falls by a tick
TICK, ASIDE = SECOND // 2, 0.4  # how often slice and probes are seen to; probes for each query taken
CLASS_FLOOR = 0.7          # a class of which less than this passes gets more room, so that none starves
CLASS_ROOM, CLASS_STEP = 1.4, 0.4  # most room past the full share, and what each multiple of worth adds
ILL, ILL_APART, ILL_WEIGHT = 0.25, 2, 3  # failure rate that rests, if twice the fleet's middle; its weight
REST, REST_MOST = SECOND, 8 * SECOND  # first and longest rest; it doubles between
ONE_RESET = SECOND // 50   # resets of one engine so close together are one
OVERDUE = BAD_PLAN = 4     # usual latencies: out for so many an attempt is overdue, with as many to go bad
MEMORY_ROOM, MEMORY_SHORT = 1.25, 0.85  # memory first asked for an estimate of 1; told share when short
NEED_LEAN, NEED_LEAST = 0.98, 0.5  # each note of a wait for memory cuts the grants of all classes so far
NEED_STEP, NEED_FADE, NEED_MOST = 0.2, 0.99, 8.0  # it grows with the memory missed, fades without spills
PROVEN, MAY_RUN_ON = ("FULL", "NOCONN", "NOP"), ("LATE", "RST", "CXL")  # never ran; may still be running
SPECULATIVE_PART, COLD_SAFETY = 0.6, 0.45  # used of the attempt budget where work may repeat; of the cold one
COLD_KEPT = 1.2            # windows of it that a part is kept for a turn; all at once stays within it
BILLED, BELIEF, LIGHT, HEAVY = 3, 4.0, 0.8, 2.0  # bills to believe, weight of doubt; sizes of other priority
MARGIN, ASK, SILENT = 2.0, SECOND // 3, 4  # deviations granted of idle memory; time for a probe; a word
GUESS, NOTE_LATE, MUTE = 4, 1.25, 3  # answers that a guess weighs; note periods, attempts: no sign of life
HOLD, LOAD_PART, MIX = 0.5, 2 / 3, 0x9E3779B1  # usual times a load met lasts on; engines for loads; to hash
SPREAD, ONE_AT_MOST = 0.2, 0.5  # strain of the usual engine that may be chance; what one counts for in it
FRESH = 2 * SECOND         # a report is of the whole engine: the newest counts, however few come
CALM = 0.3                 # most that being less strained than the usual engine counts for: all turn there
LEAST_LEFT, LOAD_SLACK = 0.7, 0.25  # usual latencies left to send; threads a core over the mean to sit out


class Aged:  # a mean that forgets by age: few observations count at once, old ones fade
    value = weight = at = 0

    def add(self, now, value, span=8 * SECOND, most=6):
        self.weight = min(self.weight * math.exp((self.at - now) / span), most) + 1
        self.value += (value - self.value) / self.weight
        self.at = now

    def fresh(self, now):  # evidence ends: one FULL, or a gateway that refuses all and hears nothing more
        return self.value if now - self.at < SURE else 0.0


class Fit:  # bills (or times) against estimates, as logarithms: an estimate is trusted as far as they agree
    def __init__(self):
        self.count, self.x, self.y, self.xx, self.xy, self.yy = 0, 0.0, 0.0, 0.0, 0.0, 0.0

    def add(self, told, billed):
        if min(told, billed) <= 0:
            return  # not told
        self.count += 1
        part, dx, dy = 1 / min(self.count, 200), math.log(told) - self.x, math.log(billed) - self.y
        self.x, self.y = self.x + dx * part, self.y + dy * part
        self.xx, self.xy, self.yy = ((1 - part) * (old + part * new) for old, new in (
            (self.xx, dx * dx), (self.xy, dx * dy), (self.yy, dy * dy)))
        self.slope = (self.count * self.xy + BELIEF / 2) / (self.count * self.xx + BELIEF)

    def against_mean(self, told):  # the bill to expect, as a multiple of the mean one
        return math.exp(self.slope * (math.log(max(told, 1)) - self.x) - self.slope * self.xy / 2)

    def expect(self, told, margin):  # the usual bill for such an estimate and so many deviations over it
        scatter = math.sqrt(max(self.yy - self.slope * self.xy, 0))
        return math.exp(self.y + self.slope * (math.log(max(told, 1)) - self.x) + margin * scatter)


class Engine:  # what this gateway knows of one engine
    def __init__(self, entry, kinds, turn):
        self.id, self.cores = entry.engine, kinds.get(entry.kind, CORES_UNTOLD)
        self.turn = turn * self.cores  # seeded: else all gateways' turns begin at the same engine
        self.threads = self.credit = 0.0
        self.answered = self.staked = self.pace = self.refusals = self.reset_at = 0
        self.cold_since = -10**15  # before any clock
        self.loads, self.holds = defaultdict(int), {}  # own ones by tables; until when others' may last
        self.renew()

    def renew(self):  # a new process: how the one before it fared says nothing of it
        self.ill, self.strain, self.rest, self.rest_until = Aged(), Aged(), 0, 0
        self.weight, self.weighed, self.best = 0.0, -10**15, math.inf

    def update(self, entry):
        self.zone, self.kind, self.group = entry.zone, entry.kind, (entry.zone, entry.cell)
        self.ready, self.cold_since = entry.state == "Ready", max(self.cold_since, entry.came_up)


class Class:  # what this gateway has learned of one class
    def __init__(self, told):
        self.told, self.answers, self.passing, self.need = told, 0, 1.0, MEMORY_ROOM
        self.mean = max(told.deadline / 5, told.objective, 1.0)  # a guess on the high side until answers come
        self.fast = self.best = math.log(self.mean)  # logarithms: one long query is no pressure
        self.spread, self.work = 0.0, self.mean * told.threads
        self.billed = False  # else an answer's time stands in for its bill
        self.asked, self.told_work = BILLED, BILLED * self.work  # estimates so far, their sum
        self.density, self.cost, self.space = told.worth / self.work, Fit(), Fit()

    def size(self, estimate):  # the work of a query against its class's mean, as far as bills show it
        return self.cost.against_mean(estimate) if estimate and self.cost.count >= BILLED else 1.0

    def learn(self, elapsed, size):
        self.answers += 1
        elapsed = max(min(elapsed, 8 * self.mean), 1)  # a bad plan is no slow fleet; nothing takes no time
        self.mean += (elapsed - self.mean) / min(self.answers + GUESS, 200)  # the first to end are short
        off = math.log(max(elapsed / size, 1)) - self.fast
        self.spread += (off * off - self.spread) / min(self.answers, 200)
        self.fast += off / min(self.answers, SMOOTH)
        self.best = min(self.best + DRIFT, self.fast) if self.answers > SMOOTH else self.fast
        guess = math.exp(self.best + self.spread / 2) * self.told.threads  # waiting swells short ones
        guess = min(guess, self.told_work / self.asked)  # a latency holds waits: newcomers would idle
        proven = self.billed and self.cost.count >= BILLED
        self.work = math.exp(self.cost.y + self.cost.yy / 2) if proven else guess
        self.density = self.told.worth / self.work


class Control:
    """One gateway's decisions: `handle(now, event)` gives the actions to take, in order."""

    def __init__(self, settings, seed):
        self.set, self.random, self.now, self.acts = settings, random.Random(seed), 0, []
        self.engines, self.queries, self.attempts, self.timers, self.lines = {}, {}, {}, {}, {}
        self.classes = {told.name: Class(told) for told in settings.classes}
        self.tenants = {told.name: new_tenant(told.fraction) for told in settings.tenants}
        self.key_rest, self.codes, self.taken, self.further = {}, {}, deque(), deque()
        self.granting = self.memory = self.aside = self.slice = self.even = self.strain = self.usual = 0.0
        self.threads = self.live = self.peak = self.kind = self.sure_until = self.stalled = self.refs = 0
        self.lag, self.over, self.lost, self.held = Aged(), Aged(), Aged(), Aged()
        self.granted, self.tick_due, self.deep = 1.0, math.inf, False  # deep: probes wait their turn

    def handle(self, now, event):
        if now > self.tick_due + 10 * self.set.period:  # own stall: what comes at this moment tells nothing
            self.stalled = now
        self.now, self.acts = now, []
        self.HANDLERS[type(event)](self, event)
        return self.acts

    def after(self, delay, call, *args):
        self.refs += 1
        self.timers[self.refs] = (call, *args)
        self.acts.append(t.Timer(max(int(delay), 1), self.refs))
        return self.refs

    def on_timer(self, event):
        call, *args = self.timers.pop(event.ref, (id, self))
        call(*args)

    def on_started(self, event):
        self.subscribe()
        self.after(self.random.randrange(1, TICK), self.tick)

    def subscribe(self):
        self.acts += [t.Subscribe(True)] if self.set.discovery == "ask" else []

    @property
    def excess(self):
        told = self.strain - SPREAD if self.kind == 2 else -1  # answers come most from what is calm
        return max(self.over.fresh(self.now), told)

    @property
    def pressed(self):  # engine pressure: a FULL, or the surest evidence at hand is over its mark
        return self.excess > 0 or self.lag.fresh(self.now) > 0 and (not self.kind or self.lag.weight > DENSE)

    def weigh(self, kind, over):  # told load (2) before probes that wait their turn (1)
        if self.now != self.stalled and (kind >= self.kind or self.now > self.sure_until):
            self.over = self.over if kind == self.kind else Aged()
            self.kind, self.sure_until = kind, self.now + SURE
            self.over.add(self.now, over, EVIDENCE, 30)

    def warm(self, engine):  # the part of its capacity that a cold engine has by now
        start, age = self.set.cold_from, max(self.now - engine.cold_since, 0)
        return min(start + (1 - start) * age / max(self.set.ramp_time, 1), 1)

    def resize(self):  # the told share; a slice goes along when what it was measured against goes at once
        cores = sum(e.cores * self.warm(e) for e in self.engines.values() if e.ready)
        self.memory = sum(self.set.kind_memory.get(e.kind, 0) for e in self.engines.values() if e.ready)
        even, self.even = self.even, THREADS_PER_CORE * cores / self.set.gateways
        self.slice *= min(self.even / max(even, 1e-9), 1)

    def gauge(self):  # the strain of the usual engine, by cores; one that is slow says little of the rest
        ready = [e for e in self.engines.values() if e.ready and self.now - e.strain.at < SURE]
        strains = sum(e.cores * min(e.strain.value, ONE_AT_MOST) for e in ready)
        self.usual = sum(e.cores * e.strain.value for e in ready) / max(sum(e.cores for e in ready), 1)
        self.strain = strains / max(sum(e.cores for e in ready), 1)

    def tick(self):  # slice follows pressure: with the tally unpressed, down from where it stands pressed
        self.resize()
        self.gauge()
        if self.pressed:  # not at once to the even share: busy gateways would refuse what others idle
            self.slice = min(self.slice, self.peak) * (1 - SLICE_SHRINK * min(max(self.excess, 0.2), 1))
        else:
            self.slice = max(self.peak * SLICE_GROW, self.slice * 0.9)
        self.slice = max(self.slice, self.even)
        self.peak = self.threads
        self.held.add(self.now, self.granting, most=12)
        if self.set.probes:  # by seeded draw and own traffic: 200 gateways x 40 engines would drown
            ready = [e.id for e in self.engines.values() if e.ready]
            self.acts += [t.Probe(e) for e in self.random.sample(ready, min(int(self.aside), len(ready)))]
        self.aside, self.tick_due = self.aside % 1, self.now + TICK
        self.after(TICK, self.tick)

    def admit(self, query):  # none if the query passes both filters, else the time to stay away
        tenant, cls, now = query.tenant, query.cls, self.now
        if not query.event.tenant:
            return None  # as in the source: a query without a tenant passes unchecked
        limit, passed = max(self.slice, self.even), tenant.passed[cls.told.name]
        drop_until(passed, now - WINDOWS[-1])
        if cls.answers > SMOOTH:  # before that the mean is a guess
            for length in WINDOWS:
                most = max(int(WINDOW_MULTIPLE * limit * length / (cls.mean * cls.told.threads)), 1)
                if len(passed) >= most and passed[-most] > now - length:
                    return passed[-most] + length - now
        if self.pressed and not self.fits(query, limit):
            return cls.mean * max(self.threads - limit + cls.told.threads, 1) / max(self.threads, 1)
        passed.append(now)
        return None

    def fits(self, query, limit):  # free share is anybody's; full: who is over the split yields
        tenant, cls = query.tenant, query.cls
        need, ratio = cls.told.threads, cls.density / min(other.density for other in self.classes.values())
        # room for chance: few threads else carry less than their part. Over hundreds of gateways it sums up,
        limit += math.sqrt(self.even) * (1 - min(max(self.excess, 0), 1))  # so deep pressure takes it away
        limit *= min(CLASS_ROOM, 1 + (ratio - 1) * CLASS_STEP + max(CLASS_FLOOR - cls.passing, 0))
        limit *= min(query.size ** -0.5, 1.2)  # the heavy of a class yield first
        if self.threads + need * self.random.random() <= limit:  # what fits in part passes by chance
            return True
        active = [other for other in self.tenants.values() if other.threads or other is tenant]
        split = limit * (tenant.fraction or 1.0) / sum(other.fraction or 1.0 for other in active)
        return len(active) > 1 and tenant.threads + need <= split * 0.9

    def on_query(self, event):
        if event.cls not in self.classes:  # never told, so promises nothing: fragile, no order, no aim
            self.classes[event.cls] = Class(t.ClassSettings(event.cls))
        cls = self.classes[event.cls]
        tenant = self.tenants.setdefault(event.tenant, new_tenant(0.0))
        query = SimpleNamespace(event=event, cls=cls, tenant=tenant, id=event.query, tries=0,
                                size=cls.size(event.estimate), out={}, maybe=[], tried=set(), closed=False)
        query.failed_on = None  # the engine whose error is not explained yet
        query.usual = cls.mean * query.size  # by the mean alone a heavy query looks like an ill engine
        self.queries[event.query], self.aside = query, self.aside + ASIDE
        if event.estimate:
            cls.asked, cls.told_work = cls.asked + 1, cls.told_work + event.estimate
        self.taken.append(self.now)
        drop_until(self.taken, self.now - self.set.counted_over)
        query.due = self.after(event.drop_dead - self.now - 2 * self.set.period, self.finish, query)
        least = LEAST_LEFT * math.exp(cls.fast) * query.size if cls.answers else 0  # no time: own stall
        wait = self.admit(query) if event.drop_dead - self.now > least else SECOND
        cls.passing += ((wait is None) - cls.passing) / 50
        if wait is not None:
            return self.finish(query, wait)
        if not cls.told.serial_by_key or event.key is None:
            return self.dispatch(query)
        self.lines.setdefault(event.key, deque()).append(query)
        self.advance(event.key)

    def finish(self, query, wait=0):  # the final answer, at once
        if query.closed:
            return
        told = query.cls.told
        keyed = told.effect == "dedup" and told.dedup_scope == "all"
        if not query.maybe or told.effect == "retryable" or keyed:
            wait = max(wait, SECOND // 10) * self.random.uniform(1.0, 1.5)  # spread the returns
            self.acts.append(t.Refuse(query.id, min(int(wait), self.set.max_retry_after)))
        else:
            self.acts.append(t.Fail(query.id))
        self.close(query)

    def close(self, query):
        query.closed = True
        self.queries.pop(query.id, None)
        self.timers.pop(query.due, None)
        if self.set.cancel:
            self.acts.extend(t.Cancel(query.id, number) for number in query.out)
        self.advance(query.event.key)

    def choose(self, query, lost=()):  # what the rules allow, narrowed by each term that leaves any
        told, tables, now = query.cls.told, query.event.tables, self.now
        if told.stays_in or told.served_on or query.maybe:  # in place: a call by engine is dear
            able = [e for e in self.engines.values() if self.allowed(query, e)]
        else:
            able = [e for e in self.engines.values() if e.ready]
        able = [e for e in able if e not in lost] if lost else able
        able = [e for e in able if now >= e.rest_until] or able
        able = [e for e in able if e.id not in query.tried] or able if query.tried else able
        if told.holds_tables:  # by one hash at all gateways: what loads hold up has engines where none comes
            side = sorted(self.engines, key=lambda e: zlib.crc32(f"{tables} {e}".encode()) * MIX % 2**32)
            able = [e for e in able if e.id in side[:max(round(len(side) * LOAD_PART), 1)]] or able
        if told.blocked_by_loads or told.holds_tables:
            free = [e for e in able if not e.loads.get(tables) and e.holds.get(tables, now) <= now]
            line = query.cls.mean * self.set.gateways if told.holds_tables and query.cls.answers else 0
            most = told.objective or told.deadline  # of the line; an own one stands for one of each
            able = free or [e for e in able if e.loads.get(tables, 0) * line <= most]
        mean = sum([e.threads for e in able]) / max(sum([e.cores for e in able]), 1) + LOAD_SLACK
        able = [e for e in able if e.threads <= mean * e.cores] or able
        engine = rotate(able, self.warmth)  # told cores, less while cold
        if not engine or self.now - engine.cold_since >= self.set.ramp_time:
            return engine
        cold = [e for e in able if self.now - e.cold_since < self.set.ramp_time]
        return self.drawn(query, cold) or self.choose(query, (*lost, *cold))

    def warmth(self, engine):  # reckoned anew with each news of it, and now and then for its age
        at = engine.weighed
        if at <= self.now - TICK or at <= engine.ill.at or at <= engine.strain.at:
            engine.weight, engine.weighed = self.reckon(engine), self.now
        return engine.weight

    def reckon(self, engine):
        worse = ILL_WEIGHT * engine.ill.value * math.exp((engine.ill.at - self.now) / (16 * SECOND))
        strain = max(engine.strain.value - self.usual, -CALM)  # against the fleet's, either way
        worse += strain * math.exp((engine.strain.at - self.now) / (8 * SECOND))
        return engine.cores * self.warm(engine) * math.exp(-worse)

    def dispatch(self, query):
        self.send(query, engine) if (engine := self.choose(query)) else self.finish(query, SECOND)

    def send(self, query, engine):
        told, now, memory = query.cls.told, self.now, self.grant(query)
        if self.set.priorities or self.set.grants:
            self.acts.append(t.Terms(query.id, round(memory), self.priority(query)))
        attempt = SimpleNamespace(query=query, number=query.tries, engine=engine, sent=now, memory=memory,
                                  threads=told.threads, spilled=False, asked=False, doubted=False, noted=now,
                                  began=now)
        query.out[attempt.number] = self.attempts[query.id, attempt.number] = attempt
        query.maybe.append((attempt.number, now, engine.group))
        query.tried.add(engine.id)
        query.tries += 1
        self.tally(attempt, 1)
        self.acts.append(t.Send(query.id, engine.id))
        self.watch(attempt)

    def watch(self, attempt):  # sooner where nothing can be called off
        sooner = self.lost.value > LOST or not self.set.cancel
        self.after(OVERDUE / (1 + sooner) * attempt.query.usual, self.overdue, attempt)

    def short(self, cls):  # short queries of high worth for their work
        return cls.density >= sum(other.density for other in self.classes.values()) / len(self.classes)

    def grant(self, query):  # by bills where they come: over what is likely needed while memory stands idle
        estimate, space = query.event.memory_mb, query.cls.space
        full = self.held.value * self.set.gateways / max(self.memory, 1)  # takes traffic as even
        proven = estimate and space.count >= BILLED
        return space.expect(estimate, MARGIN * (1 - full)) if proven else estimate * query.cls.need

    def priority(self, query):  # light before heavy: by class and, where estimates prove true, by query
        return 1 + self.short(query.cls) + (query.size < LIGHT) - (query.size > HEAVY)

    def tally(self, attempt, sign):
        query, engine = attempt.query, attempt.engine
        engine.threads += sign * attempt.threads
        self.threads += sign * attempt.threads
        self.live += sign * (attempt.threads > 0)
        self.peak = max(self.peak, self.threads)
        self.granting += sign * attempt.memory
        query.tenant.threads += sign * attempt.threads
        engine.loads[query.event.tables] += sign if query.cls.told.holds_tables and attempt.threads else 0

    def free(self, attempt):  # takes nothing of its engine any more
        self.tally(attempt, -1)
        attempt.threads = attempt.memory = 0

    def overdue(self, attempt):  # silence: the engine looks hung or the answer lost, so elsewhere
        query, out = attempt.query, (attempt.query.id, attempt.number) in self.attempts
        quiet, word = self.now - attempt.noted, NOTE_LATE * self.set.note_period
        if out and self.now == self.stalled:
            self.watch(attempt)
        elif out and quiet < word and not self.mute(attempt):  # what runs sends a note in time
            self.after(word - quiet, self.overdue, attempt)
        elif out and self.set.probes and not attempt.asked and attempt.engine.ready:
            attempt.asked = True  # at few queries an engine has said nothing since without being ill: ask it
            self.acts.append(t.Probe(attempt.engine.id))
            return self.after(ASK, self.overdue, attempt)
        elif out and attempt.engine.answered < attempt.sent:
            self.ail(attempt.engine)
            self.retake(attempt)
        elif out and self.set.cancel:  # it speaks, but not to this: lost, if its own pace would have ended it
            cls, patience = query.cls, OVERDUE / (1 + (self.lost.value > LOST))
            pace = math.exp(cls.best) * query.size * max(attempt.engine.pace, math.exp(cls.fast - cls.best))
            if self.now - attempt.sent < patience * pace:
                return self.after(attempt.sent + patience * pace - self.now, self.overdue, attempt)
            self.lost.add(self.now, DOUBT, most=30)
            attempt.doubted = True
        able = out and not query.closed and (self.set.cancel or not self.pressed)  # or it costs too much
        if able and self.lost.value > LOST and attempt.threads:
            self.free(attempt)  # lost answers must not fill the tally until their deadline
            if self.set.second_copies and len(query.out) < 2 and (self.set.cancel or self.short(query.cls)):
                self.again(query, "LOST" if self.set.cancel else "LATE")

    def mute(self, attempt):  # one that owes many answers and gave none; with few out, silence is chance
        engine = attempt.engine
        return engine.answered < attempt.sent and \
            sum(other.engine is engine for other in self.attempts.values()) >= MUTE

    def bury(self, engine):  # a told start: what was sent before can't be answered, and would hold the tally
        engine.renew()  # and its client to the deadline. Harm: a start told too late kills what runs
        engine.staked = self.now - int(self.random.random() * (self.now - engine.cold_since))  # all hear now
        lost = [a for a in self.attempts.values() if a.engine is engine and a.sent < engine.cold_since]
        for attempt in lost:
            self.free(attempt)
            if self.set.cancel:
                self.acts.append(t.Cancel(attempt.query.id, attempt.number))  # its outcome goes elsewhere
            elif self.set.second_copies and not attempt.query.closed and len(attempt.query.out) < 2:
                self.again(attempt.query, "LATE")

    def retake(self, attempt):  # call it off, so that its outcome sends the query elsewhere, if that can pay
        query, may = attempt.query, self.set.cancel and self.may_resend(attempt.query)
        pays = may and not query.closed and query.event.drop_dead - self.now > query.usual
        if pays and self.in_budget(SPECULATIVE_PART):
            self.acts.append(t.Cancel(query.id, attempt.number))

    def on_note(self, event):  # a bad plan shows in slow progress: it ends too late or far beyond the usual
        attempt = self.attempts.get((event.query, event.attempt))
        if attempt is None or attempt.query.closed or not attempt.query.due:
            return
        elapsed, query, engine = self.now - attempt.sent, attempt.query, attempt.engine
        engine.answered = attempt.noted = self.now
        if event.topic == 2 and not attempt.spilled and attempt.memory and self.set.grants:
            attempt.spilled = True  # estimates that lie too low starve a class of memory it could have
            query.cls.need = min(query.cls.need + NEED_STEP * event.value / query.event.memory_mb, NEED_MOST)
        if event.topic == 3 and event.value == 1:  # the line for memory: grants that hold more than they use
            for cls in self.classes.values() if self.granted > MEMORY_SHORT else ():  # not if few are short
                cls.need = max(cls.need * NEED_LEAN, NEED_LEAST)
            if elapsed > query.cls.told.objective and self.set.cancel:
                engine.ill.add(self.now, 1)
                self.finish(query)  # not begun when it was wanted: it only lengthens the line
        self.blocked(attempt) if event.topic == 3 and event.value == 2 else None
        attempt.began = self.now if event.topic == 1 and not event.value else attempt.began  # stands still
        if event.topic == 1 and event.value and self.now != self.stalled:
            self.progress(attempt, event.value)

    def blocked(self, attempt):  # a load, also another gateway's, holds what it reads: elsewhere it runs
        query, engine, now = attempt.query, attempt.engine, self.now
        until = now + HOLD * max([c.mean for c in self.classes.values() if c.told.holds_tables], default=0)
        engine.holds = {k: end for k, end in engine.holds.items() if end > now} | {query.event.tables: until}
        self.retake(attempt) if query.cls.told.blocked_by_loads else None

    def progress(self, attempt, done):
        elapsed, query, engine = self.now - attempt.began, attempt.query, attempt.engine
        left = elapsed * (1 - done) / done
        too_late = self.now + left > query.event.drop_dead
        plan = left > BAD_PLAN * max(query.usual, math.exp(query.cls.fast) * query.size)
        bad = too_late or plan  # a plan is drawn anew for each attempt; what is slow everywhere is not
        engine.ill.add(self.now, 1) if bad else None  # one is chance, more is ageing
        self.paced(engine, query, elapsed + left)
        if not attempt.number and (plan or bad and not self.pressed):
            self.retake(attempt)
        elif too_late and self.set.cancel:
            self.finish(query)  # slow twice: the query itself is too long for its time, and holds others up

    def on_ended(self, event):
        if not (attempt := self.attempts.pop((event.query, event.attempt), None)):
            return
        query, engine, reason = attempt.query, attempt.engine, event.reason
        query.out.pop(attempt.number, None)
        self.tally(attempt, -1)
        query.maybe = [was for was in query.maybe if was[0] != attempt.number or reason not in PROVEN]
        self.observe(engine, attempt, event)
        if query.cls.told.serial_by_key and reason in MAY_RUN_ON and self.set.turn_gap:
            self.key_rest[query.event.key] = self.now + self.set.turn_gap
        if event.settled or query.closed:
            self.close(query)
        elif not query.out and not event.again:  # the operator's terms have no further attempt for it
            self.finish(query, event.backoff or query.cls.mean / 2)
        elif not query.out and event.wait:  # where it goes is chosen when it goes: the list may change
            self.after(event.wait, self.waited, query, reason)
        elif not query.out:
            self.again(query, reason)

    def waited(self, query, reason):
        self.again(query, reason) if not query.closed and not query.out else None

    def on_copy(self, event):  # asked for by the operator's terms: where a repeat is harmless, elsewhere; not
        query = self.queries.get(event.query)  # under pressure, nor for work that a drain ends anyway
        calm = query and len(query.out) == 1 and not self.pressed and self.may_resend(query)
        if calm and all(a.engine.ready for a in query.out.values()) and self.in_budget(SPECULATIVE_PART):
            engine = self.choose(query)
            self.send(query, engine) if engine and engine.id not in query.tried else None

    def again(self, query, reason):  # a further attempt elsewhere, or the final answer
        part = 1.0 if reason in PROVEN or reason == "LOST" and not self.short(query.cls) else SPECULATIVE_PART
        left = query.event.drop_dead - self.now
        # many lost at once must not flood what is left: under pressure they need room like new ones
        limit = math.inf if reason in (*PROVEN, "LOST") or not self.pressed else max(self.slice, self.even)
        pays = reason != "NOP" and left > query.usual / 2 and self.fits(query, limit)
        if pays and self.may_resend(query) and self.in_budget(part):
            if engine := self.choose(query):
                drop_until(self.further, self.now - self.set.counted_over - 2 * self.set.period)
                self.further.append(self.now)
                return self.send(query, engine)
        self.finish(query, query.cls.mean / 2) if not query.out else None

    def on_stream(self, event):  # the answer is the client's now: no deadline, no further attempt
        if query := self.queries.get(event.query):
            self.timers.pop(query.due, None)
            query.due, query.tries = None, self.set.max_attempts

    def on_left(self, event):  # nothing more is owed or sent
        self.close(self.queries[event.query]) if event.query in self.queries else None

    def on_list(self, event):
        if event.scope == "Error":
            return self.after(2 * SECOND, self.subscribe)
        for entry in event.entries:
            if entry.engine not in self.engines:
                self.engines[entry.engine] = Engine(entry, self.set.kind_cores, self.random.random())
            engine, known = self.engines[entry.engine], self.engines[entry.engine].cold_since
            engine.update(entry)
            if engine.cold_since > known:
                self.bury(engine)
        named = {entry.engine for entry in event.entries}
        for engine in self.engines.values():  # absent from a whole list: gone
            engine.ready = engine.ready and (event.scope == "Partial" or engine.id in named)
        self.engines = {name: e for name, e in self.engines.items() if e.ready or e.threads or name in named}
        self.codes = {zlib.crc32(name.encode()): name for name in self.engines}
        self.resize()

    def observe(self, engine, attempt, event):  # health and class means from the outcome of an attempt
        reason, cls = event.reason, attempt.query.cls
        self.report(event)
        came = 2 * DOUBT * (reason == "GOOD") if attempt.doubted else -(reason == "LATE")
        self.lost.add(self.now, -came, most=30)
        if reason == "GOOD":
            engine.answered, engine.refusals = self.now, 0
            if attempt.query.failed_on:  # it is sound, so the error was the engine's
                self.ail(attempt.query.failed_on)
            if self.now != self.stalled:
                cls.billed = cls.billed or event.bill > 0
                took = (event.bill >> 12) * 1000 if cls.billed else event.elapsed
                cls.cost.add(attempt.query.event.estimate, took)
                cls.space.add(attempt.query.event.memory_mb, (event.bill & 4095) * 4)
                cls.learn(event.elapsed, attempt.query.size)
            self.paced(engine, attempt.query, self.now - attempt.began)
            self.lag.add(self.now, cls.fast - cls.best - math.log(PRESSED), EVIDENCE, 30)
            cls.need *= NEED_FADE if self.set.grants and self.set.note_period and not attempt.spilled else 1
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
            self.suspect(engine, attempt.query)
        elif reason == "LATE" and event.elapsed > OVERDUE * attempt.query.usual:
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
        apart = sure or engine.ill.value >= max(ILL, ILL_APART * rates[len(rates) // 2])
        if not apart or self.now < engine.rest_until:
            return
        engine.rest = min(max(engine.rest * 2, REST), REST_MOST)
        engine.rest_until = self.now + int(engine.rest * self.random.uniform(1.0, 1.3))

    def on_probe(self, event):  # one that waits its turn like a query shows the pressure without its spread
        self.report(event)
        if (engine := self.engines.get(event.engine)) is None:
            return
        engine.best = min(engine.best, event.elapsed)  # its own: the way to another hall is longer
        self.deep = self.deep or event.elapsed > 2 * engine.best
        if event.reason == "GOOD":
            engine.answered, engine.pace = self.now, event.elapsed / max(engine.best, 1)
        if event.reason == "GOOD" and self.deep and engine.best:
            over = math.log(event.elapsed / engine.best / PRESSED)
        elif event.reason in ("LATE", "NOCONN") and self.now != self.stalled:
            over = math.inf
        else:
            return
        self.heard(event.engine, over, not event.report)
        if self.set.peers and self.set.report_source == "silent":  # told to as many as there are engines: so
            level = int(min(max(over, -1), SILENT) * 50) + 50  # each hears of every one as often as it probes
            word = zlib.crc32(event.engine.encode()).to_bytes(4, "big") + bytes([level])
            peers = self.random.sample(range(self.set.gateways), min(len(self.engines), self.set.gateways))
            self.acts += [t.Tell(peer, word) for peer in peers if peer != self.set.me]

    def heard(self, name, over, strains):  # a probe, own or a peer's: pressure, and the engine's strain
        engine, silent = self.engines.get(name), over >= SILENT
        self.weigh(1, SILENT_OVER if silent else over)
        if engine and silent:  # seen before any query is overdue
            self.ail(engine)
        elif engine and strains:  # slow to answer: gets less
            engine.strain.add(self.now, over)

    def on_peer(self, event):  # where no engine reports its load, what peers saw of it stands in
        name = self.codes.get(int.from_bytes(event.contents[:4], "big"))
        self.heard(name, (event.contents[4] - 50) / 50, True) if name and len(event.contents) == 5 else None

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

    def allowed(self, query, engine):  # drain, placement, the keyed group and the cold budget: never waived
        told = query.cls.told
        if not engine.ready or told.stays_in and engine.zone not in told.stays_in \
                or told.served_on and engine.kind not in told.served_on:
            return False
        scope = {"all": 0, "zone": 1}.get(told.dedup_scope, 2)  # how much of (zone, cell) must agree
        return told.effect != "dedup" or not query.maybe or query.maybe[0][2][:scope] == engine.group[:scope]

    def drawn(self, query, cold):  # a part in a cold engine's budget may be less than one query's work, and
        for engine in cold:  # would idle it: so it gathers, and all are staked in one draw, as turns are rare
            part = COLD_SAFETY * self.set.fall_multiple * self.warm(engine) * engine.cores / self.set.gateways
            since, engine.staked = max(engine.staked, engine.cold_since), self.now
            engine.credit = min(engine.credit + part * (self.now - since), part * self.set.fall * COLD_KEPT)
        credits = [engine.credit for engine in cold]
        stake = min(sum(credits), query.cls.work)
        for engine in cold:
            engine.credit *= 1 - stake / max(sum(credits), 1e-9)
        won = self.random.random() * query.cls.work < stake
        return self.random.choices(cold, credits)[0] if won else None

    def may_resend(self, query):
        told, tries_left = query.cls.told, query.tries < (query.event.attempts or self.set.max_attempts)
        window = query.event.repeat_within or 0.9 * told.window
        fresh = told.effect == "dedup" and query.maybe and self.now - query.maybe[0][1] < window
        return tries_left and (fresh or not query.maybe or told.effect == "retryable")

    def in_budget(self, part):  # further attempts in the window; the last part is kept for proven, cheap ones
        if self.set.repeat_ratio is None and self.set.free_resends is None:
            return True
        drop_until(self.taken, self.now - self.set.counted_over + 2 * self.set.period)  # on the safe side
        drop_until(self.further, self.now - self.set.counted_over - 2 * self.set.period)
        most = (self.set.free_resends or 0) + (self.set.repeat_ratio or 0) * len(self.taken)
        return len(self.further) + 1 <= part * most

    def advance(self, key):  # a closed query with nothing out leaves its key's line; the next moves up
        line = self.lines.get(key, ())
        while line and line[0].closed and not line[0].out:
            line.popleft()
        if not line:
            self.lines.pop(key, None)
        elif not line[0].tries and not line[0].closed:
            if self.key_rest.get(key, -1) >= self.now:
                return self.after(self.key_rest[key] + 1 - self.now, self.advance, key)
            self.key_rest.pop(key, None)
            self.dispatch(line[0])

    HANDLERS = {t.Started: on_started, t.QueryArrived: on_query, t.AttemptEnded: on_ended, t.Note: on_note,
                t.StreamBegan: on_stream, t.ClientLeft: on_left, t.TimerFired: on_timer,
                t.EngineList: on_list, t.ProbeEnded: on_probe, t.PeerSaid: on_peer,
                t.CopyDue: on_copy}


def drop_until(times, edge):
    while times and times[0] <= edge:
        times.popleft()


def new_tenant(fraction):
    return SimpleNamespace(fraction=fraction, threads=0, passed=defaultdict(deque))


def rotate(engines, weight):  # smooth weighted round robin
    gains = [weight(engine) for engine in engines]
    for engine, gain in zip(engines, gains, strict=True):
        engine.turn += gain
    best = max(engines, key=lambda engine: engine.turn, default=None)
    if best:
        best.turn -= sum(gains)
    return best
