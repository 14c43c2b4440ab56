"""What a gateway has learned: of an engine, of a class; means that forget. Types: rackhub/interface.py."""

import math
from collections import defaultdict

SECOND, TICK = 1_000_000, 500_000  # times are microseconds; how often slice and probes are seen to
CORES_UNTOLD, MEMORY_ROOM = 8, 1.25  # a small engine; memory first asked for an estimate of 1
SURE = 4 * SECOND  # age at which the surest kind of evidence rules no more
SMOOTH, DRIFT = 30, 0.0005  # answers that recent latency is smoothed over; how fast the best is forgotten
BILLED, BELIEF, GUESS = 3, 4.0, 4  # bills to believe, weight of doubt; answers that a guess weighs


class Aged:  # a mean that forgets by age: few observations count at once, old ones fade
    value = weight = at = 0

    def add(self, now, value, span=8 * SECOND, most=6):
        self.weight = min(self.weight * math.exp((self.at - now) / span), most) + 1
        self.value, self.at = self.value + (value - self.value) / self.weight, now

    def fresh(self, now):  # evidence ends: one FULL, or a gateway that refuses all and hears nothing more
        return self.value if now - self.at < SURE else 0.0


class Fit:  # bills (or times) against estimates, as logarithms: an estimate is trusted as far as they agree
    count, x, y, xx, xy, yy = 0, 0.0, 0.0, 0.0, 0.0, 0.0

    def add(self, told, billed):
        if min(told, billed) <= 0:
            return  # not told
        self.count += 1
        part, dx, dy = 1 / min(self.count, 200), math.log(told) - self.x, math.log(billed) - self.y
        self.x, self.y = self.x + dx * part, self.y + dy * part
        squares = (self.xx, dx * dx), (self.xy, dx * dy), (self.yy, dy * dy)
        self.xx, self.xy, self.yy = ((1 - part) * (old + part * new) for old, new in squares)
        self.slope = (self.count * self.xy + BELIEF / 2) / (self.count * self.xx + BELIEF)

    def against_mean(self, told):  # the bill to expect, as a multiple of the mean one
        return math.exp(self.slope * (math.log(max(told, 1)) - self.x) - self.slope * self.xy / 2)

    def expect(self, told, margin):  # the usual bill for such an estimate and so many deviations over it
        scatter = math.sqrt(max(self.yy - self.slope * self.xy, 0))
        return math.exp(self.y + self.slope * (math.log(max(told, 1)) - self.x) + margin * scatter)


class Engine:  # what this gateway knows of one engine
    def __init__(self, entry, kinds, turn):
        self.id, self.cores = entry.engine, kinds.get(entry.kind, CORES_UNTOLD)
        self.turn, self.pace, self.cold_since = turn * self.cores, 0, -(10**15)  # seeded: else all begin at one
        self.threads = self.credit = self.answered = self.staked = self.refusals = self.reset_at = 0
        self.loads, self.holds = defaultdict(int), {}  # own ones by tables; until when others' may last
        self.renew()

    def renew(self):  # a new process: how the one before it fared says nothing of it
        self.ill, self.strain, self.rest, self.rest_until = Aged(), Aged(), 0, 0
        self.weight, self.weighed, self.best = 0.0, -(10**15), math.inf

    def update(self, entry):
        self.zone, self.kind, self.group = entry.zone, entry.kind, (entry.zone, entry.cell)
        self.ready, self.cold_since = entry.state == "Ready", max(self.cold_since, entry.started_at)


class Class:  # what this gateway has learned of one class
    def __init__(self, told):
        self.told, self.answers, self.passing, self.need = told, 0, 1.0, MEMORY_ROOM
        self.mean = max(told.deadline / 5, told.latency_objective, 1.0)  # a guess on the high side until answers come
        self.fast = self.best = math.log(self.mean)  # logarithms: one long query is no pressure
        self.spread, self.work, self.billed = 0.0, self.mean * told.threads, False  # else its time stands in
        self.asked, self.told_work = BILLED, BILLED * self.work  # estimates so far, their sum
        self.density, self.cost, self.space = told.priority_weight / self.work, Fit(), Fit()

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
        guess = min(math.exp(self.best + self.spread / 2) * self.told.threads, self.told_work / self.asked)
        self.work = math.exp(self.cost.y + self.cost.yy / 2) if self.billed and self.cost.count >= BILLED else guess
        self.density = self.told.priority_weight / self.work
