"""What a cold engine may get of this gateway."""

COLD_SAFETY, COLD_KEPT, UNEVEN = 0.45, 1.2, 1.35  # used of the budget; windows of it kept for a turn; of reach


class Cold:
    def warm(self, engine):  # the part of its capacity that a cold engine has by now
        start, age = self.set.slow_start_initial_capacity, max(self.now - engine.cold_since, 0)
        return min(start + (1 - start) * age / max(self.set.slow_start_duration, 1), 1)

    def drawn(self, query, cold):  # a part in a cold engine's budget may be less than one query's work, and
        users = self.cold * min(UNEVEN * self.part, 1)
        for engine in cold:  # would idle it: so it gathers, and all are staked in one draw, as turns are rare
            part = COLD_SAFETY * self.set.slow_start_budget_multiple * self.warm(engine) * engine.cores / users
            since, engine.staked = max(engine.staked, engine.cold_since), self.now
            engine.credit = min(
                engine.credit + part * (self.now - since), part * self.set.slow_start_budget_window * COLD_KEPT
            )
        credits = [engine.credit for engine in cold]
        stake = min(sum(credits), query.cls.work)
        for engine in cold:
            engine.credit *= 1 - stake / max(sum(credits), 1e-9)
        return self.random.choices(cold, credits)[0] if self.random.random() * query.cls.work < stake else None
