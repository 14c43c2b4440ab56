"""What runs, and further attempts: notes, bad plans, loads, silence; whether class and budget allow one."""

import math

from rackhub import interface as t
from rackhub.policy.learning import SECOND
from rackhub.policy.pressure import DOUBT, OVERDUE
from rackhub.policy.windows import drop_until

PROVEN, MAY_RUN_ON = ("FULL", "NOCONN", "NOP"), ("LATE", "RST", "CXL")  # never ran; may still be running
SPECULATIVE, LOST = 0.6, 0.04  # used of the attempt budget where work may repeat; part unanswered: lost
BAD_PLAN, HOLD, ASK = 4, 0.5, SECOND // 3  # usual latencies to go; usual times a load met lasts; for a probe
NOTE_LATE, MUTE, MEMORY_SHORT = 1.25, 3, 0.85  # note periods, attempts: no sign of life; share when short
NEED_LEAN, NEED_LEAST, NEED_STEP, NEED_MOST = 0.98, 0.5, 0.2, 8.0  # a note of a wait cuts grants, a miss adds


class Further:
    def on_copy(self, event):  # asked for by the operator's terms: where a repeat is harmless, elsewhere; not
        query = self.queries.get(event.query)  # under pressure, nor for work that a drain ends anyway
        calm = query and len(query.out) == 1 and not self.pressed and self.may_resend(query)
        if calm and all(a.engine.ready for a in query.out.values()) and self.in_budget(SPECULATIVE):
            engine = self.choose(query)
            self.send(query, engine) if engine and engine.id not in query.tried else None

    def waited(self, query, reason):
        self.again(query, reason) if not query.closed and not query.out else None

    def again(self, query, reason):  # a further attempt elsewhere, or the final answer
        part = 1.0 if reason in PROVEN or reason == "LOST" and not self.short(query.cls) else SPECULATIVE
        left = query.event.deadline - self.now  # many lost at once must not flood what is left
        limit = math.inf if reason in (*PROVEN, "LOST") or not self.pressed else max(self.slice, self.even)
        pays = reason != "NOP" and left > query.usual / 2 and self.fits(query, limit)
        if pays and self.may_resend(query) and self.in_budget(part) and (engine := self.choose(query)):
            self.further.append(self.now)
            self.tokens = None if self.tokens is None else self.tokens - 1
            return self.send(query, engine)
        self.finish(query, query.cls.mean / 2, f"no further attempt after {reason}") if not query.out else None

    def retake(self, attempt):  # call it off, so that its outcome sends the query elsewhere, if that can pay
        query, may = attempt.query, self.set.cancel and self.may_resend(attempt.query) and not attempt.query.closed
        pays = may and query.event.deadline - self.now > query.usual and self.in_budget(SPECULATIVE)
        self.acts += [t.Cancel(query.id, attempt.number)] if pays else []

    def may_resend(self, query):
        told, tries_left = query.cls.told, query.tries < (query.event.max_attempts or self.set.max_attempts)
        window = query.event.retry_window or 0.9 * told.idempotency_window
        fresh = told.idempotency == "dedup" and query.maybe and self.now - query.maybe[0][1] < window
        return tries_left and (fresh or not query.maybe or told.idempotency == "retryable")

    def in_budget(self, part):  # further attempts in the window; the last part is kept for proven, cheap ones
        drop_until(self.taken, self.now - self.set.retry_budget_window + 2 * self.set.period)  # on the safe side
        drop_until(self.further, self.now - self.set.retry_budget_window - 2 * self.set.period)
        if self.tokens is not None or self.set.retry_budget_ratio is None and self.set.retry_budget_minimum is None:
            return self.tokens is None or self.tokens * part >= 1  # the fleet's budget stands in for the own count
        most = (self.set.retry_budget_minimum or 0) + (self.set.retry_budget_ratio or 0) * len(self.taken)
        return len(self.further) + 1 <= part * most

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
            if elapsed > query.cls.told.latency_objective and self.set.cancel:
                engine.ill.add(self.now, 1)
                self.finish(query, 0, "waits for memory")  # not begun when it was wanted: it only lengthens the line
        self.blocked(attempt) if event.topic == 3 and event.value == 2 else None
        attempt.began = self.now if event.topic == 1 and not event.value else attempt.began  # stands still
        if event.topic == 1 and event.value and self.now != self.stalled:
            self.progress(attempt, event.value)

    def blocked(self, attempt):  # a load, also another gateway's, holds what it reads: elsewhere it runs
        query, engine, now = attempt.query, attempt.engine, self.now
        until = now + HOLD * max([c.mean for c in self.classes.values() if c.told.locks_tables], default=0)
        engine.holds = {k: end for k, end in engine.holds.items() if end > now} | {query.event.tables: until}
        self.retake(attempt) if query.cls.told.blocked_by_table_locks else None

    def progress(self, attempt, done):
        elapsed, query, engine = self.now - attempt.began, attempt.query, attempt.engine
        left = elapsed * (1 - done) / done
        too_late = self.now + left > query.event.deadline
        plan = left > BAD_PLAN * max(query.usual, math.exp(query.cls.fast) * query.size)
        engine.ill.add(self.now, 1) if too_late or plan else None  # one is chance, more is ageing
        self.paced(engine, query, elapsed + left)
        if not attempt.number and (plan or too_late and not self.pressed):  # a plan is drawn anew for each
            self.retake(attempt)
        elif too_late and self.set.cancel:
            self.finish(
                query, 0, "too slow twice"
            )  # slow twice: the query itself is too long for its time, and holds others up

    def overdue(self, attempt):  # silence: the engine looks hung or the answer lost, so elsewhere
        query, out = attempt.query, (attempt.query.id, attempt.number) in self.attempts
        quiet, word = self.now - attempt.noted, NOTE_LATE * self.set.progress_report_interval
        if out and self.now == self.stalled:
            self.watch(attempt)
        elif out and quiet < word and not self.mute(attempt):  # what runs sends a note in time
            self.after(word - quiet, self.overdue, attempt)
        elif out and self.set.health_checks and not attempt.asked and attempt.engine.ready:
            attempt.asked = True  # at few queries an engine has said nothing since without being ill: ask it
            self.acts.append(t.CheckHealth(attempt.engine.id))
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
            if self.set.hedging and len(query.out) < 2 and (self.set.cancel or self.short(query.cls)):
                self.again(query, "LOST" if self.set.cancel else "LATE")

    def mute(self, attempt):  # one that owes many answers and gave none; with few out, silence is chance
        owed = sum(other.engine is attempt.engine for other in self.attempts.values())
        return attempt.engine.answered < attempt.sent and owed >= MUTE

    def watch(self, attempt):  # sooner where nothing can be called off
        sooner = self.lost.value > LOST or not self.set.cancel
        self.after(OVERDUE / (1 + sooner) * attempt.query.usual, self.overdue, attempt)
