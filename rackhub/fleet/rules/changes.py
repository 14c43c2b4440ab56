"""Changes of the book at the register: one that an editor asks for, the end of a trial, one that was left half done."""

import logging
import time
from collections.abc import Callable
from typing import Any

import msgspec

from rackhub.fleet.ports import Fleet
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Outcome, Proposer
from rackhub.fleet.rules import book as books
from rackhub.fleet.rules.holder import Holder
from rackhub.fleet.rules.spread import Spread, posts
from rackhub.fleet.rules.words import FORMAT, Ask, Refused, Version, encode

log = logging.getLogger(__name__)
WITHIN = 5_000_000  # for one change at the register
UNFINISHED = 1_000_000  # how long a keeper holds a value that nobody told was chosen, before it asks


class Changes:
    """`learn` gets what was chosen, and the age of the newest one's trial."""

    def __init__(
        self,
        fleet: Fleet,
        holder: Holder,
        proposer: Proposer,
        spread: Spread,
        learn: Callable[[tuple[Version, ...], int], None],
    ):
        self._fleet, self._holder, self._proposer, self._spread, self._learn = fleet, holder, proposer, spread, learn
        self._lapsing = False
        self._odd = 0  # since when the own keeper holds what is not known as chosen
        self._seen: bytes | None = None
        self._accepted = 0  # the newest version of what the own keeper accepted

    def change(self, ask: Ask, done: Callable[[Outcome], None]) -> None:
        """Have the register take it; `done` gets the version as the answer, or the rejection as `reason`."""
        began, offered = self._fleet.clock.now(), False

        def propose(value: bytes | None) -> tuple[bytes | None, Any]:
            nonlocal offered
            book, held = books.decode(value), self._holder.book
            if value is None:  # never written, or lost with the keepers' disks: what this gateway holds goes on
                book = held
            elif book.newest < held.newest:
                return value, Refused(
                    f"the keepers hold version {book.newest}, and this gateway {held.newest}: they "
                    "were put back; docs/operators/rules.md says what to do"
                )
            if book.format > FORMAT:
                return value, Refused(
                    f"the book was written by a later program (format {book.format}, here {FORMAT}): "
                    "edit it at a gateway that runs that one"
                )
            try:
                after, made = books.apply(book, ask)
            except Refused as bad:
                return value, bad
            if after == book:  # said before: of its age this gateway knows only where it said so in this very change
                return value, made
            offered = True
            return encode(after), made

        def over(outcome: Outcome) -> None:
            if outcome.kind == "done" and outcome.value is not None:
                newest = books.decode(outcome.value)
                mine = offered and isinstance(outcome.answer, Version) and outcome.answer.number == newest.newest
                self._learn(newest.versions, self._fleet.clock.now() - began if mine else -1)
            if outcome.kind == "done" and isinstance(outcome.answer, Refused):
                outcome = Outcome("refused", reason=str(outcome.answer))
            done(outcome)

        ahead = max((post.newest for post in posts(self._fleet).values()), default=0)
        if ahead > self._holder.book.newest:
            self._spread.look()
        self._proposer.change(propose, over, WITHIN)

    def lapse(self, ask: Ask) -> None:
        def over(outcome: Outcome) -> None:
            self._lapsing = False
            if outcome.kind == "done":
                log.warning("fleet: rule version %d is undone: %s", ask.on, ask.reason)
                self._fleet.tally("rules_lapsed", 1)

        if not self._lapsing:
            self._lapsing = True
            self.change(msgspec.structs.replace(ask, told=int(time.time())), over)

    def finish(self, keeper: AcceptorShell) -> None:
        """An editor's gateway may have gone between accept and answer: what the own keeper then holds may be chosen
        without that anybody knows. A read settles it."""
        now = self._fleet.clock.now()
        value = keeper.state.value if keeper.state.voting else None
        if value is not self._seen:
            self._seen, self._odd = value, 0
            try:
                self._accepted = books.decode(value).newest
            except msgspec.MsgspecError as bad:  # a later program's, or none of a proposer's: it is left to those
                log.error("fleet: the register's value can't be read: %s", bad)
                self._accepted = 0
        if self._accepted <= self._holder.book.newest:
            self._odd = 0
        elif not self._odd:
            self._odd = now
        elif now - self._odd > UNFINISHED:
            self._odd = now
            self._proposer.read(self._read, WITHIN)

    def _read(self, outcome: Outcome) -> None:
        if outcome.kind == "done" and outcome.value is not None:
            self._learn(books.decode(outcome.value).versions, -1)
