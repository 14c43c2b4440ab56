"""Engines taken out by hand: a decision of state alone, without I/O or clock of its own.

An engine that the staff take out (OFFLINE) is shown to the decision module as draining, whatever the list says, until
it is put back (ONLINE). One put back is shown as just come up at that moment, so that it is treated as cold. Ids that
were never listed are refused. All of it can be written out and read back by the process that replaces this one.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from rackhub import interface

DRAINING = "Terminating"


class Bans:
    """Which listed engines are out by hand, and which were put back when (microseconds of the core's clock)."""

    def __init__(self, out: Iterable[str] = (), listed: Iterable[str] = (), back: dict[str, int] | None = None):
        self.out: set[str] = set(out)
        self.listed: set[str] = set(listed)  # every id seen in a list since the state was first kept
        self.back: dict[str, int] = dict(back or {})  # put back at, until a list shows the engine come up later

    def seen(self, entries: Sequence[interface.EngineEntry]) -> bool:
        """Note the ids of a list; whether any was new."""
        before = len(self.listed)
        self.listed.update(entry.engine for entry in entries)
        return len(self.listed) != before

    def offline(self, engine: str) -> bool:
        """Take `engine` out. False for an id never listed; taking one out twice is harmless."""
        if engine not in self.listed:
            return False
        self.out.add(engine)
        self.back.pop(engine, None)
        return True

    def online(self, engine: str, now: int) -> bool:
        """Put `engine` back; it is cold from `now` on. False for an id never listed; one that is not out stays as
        it is."""
        if engine not in self.listed:
            return False
        if engine in self.out:
            self.out.discard(engine)
            self.back[engine] = now
        return True

    def take_up(self, out: set[str], listed: set[str], back: dict[str, int]) -> bool:
        """What another process was told last holds here too; whether it is another than before."""
        changed = (out, back) != (self.out, self.back)
        self.out, self.back = out, dict(back)
        self.listed |= listed
        return changed

    def shown(self, entries: Sequence[interface.EngineEntry]) -> tuple[interface.EngineEntry, ...]:
        """The list as the module is to see it: those out are draining, those put back have come up when they did."""
        self.seen(entries)
        shown = []
        for entry in entries:
            if entry.engine in self.out:
                entry = replace(entry, state=DRAINING)
            elif (since := self.back.get(entry.engine)) is not None:
                if entry.started_at >= since:  # the list knows of a later start: it tells the truth from here on
                    del self.back[entry.engine]
                else:
                    entry = replace(entry, started_at=since)
            shown.append(entry)
        return tuple(shown)

    def avoided(self, entries: Sequence[interface.EngineEntry]) -> int:
        """Listed engines that nothing new goes to: out by hand, or draining by the list."""
        return sum(1 for entry in entries if entry.engine in self.out or entry.state != "Ready")
