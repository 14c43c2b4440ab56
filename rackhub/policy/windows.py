"""What is refused at once: windows and the running cap of a tenant, within this gateway's slice."""

import math
from collections import defaultdict, deque
from types import SimpleNamespace

from rackhub.policy.learning import SECOND, SMOOTH

WINDOWS, WINDOW_MULTIPLE = (SECOND, 5 * SECOND, 20 * SECOND), 2  # burst, surge, habit; twice the whole share
THREADS_PER_CORE, CLASS_FLOOR = 1.5, 0.7  # the share (the design's); a class that passes less gets more room
CLASS_ROOM, CLASS_STEP = 1.4, 0.4  # most room past the full share, and what each multiple of worth adds


class Windows:
    def resize(self):  # the told share; a slice goes along when what it was measured against goes at once
        cores = sum(e.cores * self.warm(e) for e in self.engines.values() if e.ready)
        self.memory = sum(self.set.kind_memory.get(e.kind, 0) for e in self.engines.values() if e.ready)
        even, self.even = self.even, THREADS_PER_CORE * cores / self.parts
        self.slice *= min(self.even / max(even, 1e-9), 1)

    def admit(self, query):  # none if the query passes both filters, else the time to stay away
        tenant, cls, now = query.tenant, query.cls, self.now
        if (below := query.event.admission < 0) or not query.event.tenant:  # or as in the source:
            return self.fleet.minimum_backoff if below else None  # a query without a tenant passes unchecked
        limit, passed = max(self.slice, self.even), tenant.passed[cls.told.name]
        drop_until(passed, now - WINDOWS[-1])
        if cls.answers > SMOOTH:  # before that the mean is a guess
            for length in WINDOWS:
                most = max(int(WINDOW_MULTIPLE * limit * length / (cls.mean * cls.told.threads)), 1)
                if len(passed) >= most and passed[-most] > now - length:
                    return passed[-most] + length - now
        if self.pressed and query.event.admission < 1 and not self.fits(query, limit):
            return cls.mean * max(self.threads - limit + cls.told.threads, 1) / max(self.threads, 1)
        return passed.append(now)

    def fits(self, query, limit):  # free share is anybody's; full: who is over the split yields
        tenant, cls = query.tenant, query.cls
        need, ratio = cls.told.threads, cls.density / min(other.density for other in self.classes.values())
        limit += math.sqrt(self.even) * (1 - min(max(self.excess, 0), 1))  # room for chance: it sums up
        limit *= min(CLASS_ROOM, 1 + (ratio - 1) * CLASS_STEP + max(CLASS_FLOOR - cls.passing, 0))
        limit *= min(query.size**-0.5, 1.2)  # the heavy of a class yield first
        if self.threads + need * self.random.random() <= limit:  # what fits in part passes by chance
            return True
        active = [other for other in self.tenants.values() if other.threads or other is tenant]
        split = limit * (tenant.fraction or 1.0) / sum(other.fraction or 1.0 for other in active)
        return len(active) > 1 and tenant.threads + need <= split * 0.9

    def tally(self, attempt, sign):
        query, engine = attempt.query, attempt.engine
        engine.threads += sign * attempt.threads
        self.threads += sign * attempt.threads
        self.live += sign * (attempt.threads > 0)
        self.peak = max(self.peak, self.threads)
        self.granting += sign * attempt.memory
        query.tenant.threads += sign * attempt.threads
        engine.loads[query.event.tables] += sign if query.cls.told.locks_tables and attempt.threads else 0

    def free(self, attempt):  # takes nothing of its engine any more
        self.tally(attempt, -1)
        attempt.threads = attempt.memory = 0


def drop_until(times, edge):
    while times and times[0] <= edge:
        times.popleft()


def new_tenant(fraction):
    return SimpleNamespace(fraction=fraction, threads=0, passed=defaultdict(deque))
