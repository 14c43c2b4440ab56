"""The rule book as a part of the fleet: `ports.Rules`, made of register, spread, checks, trials and service."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.ports import Control, Disk, Fleet, Name, RulePart
from rackhub.fleet.register.acceptor_shell import AcceptorShell
from rackhub.fleet.register.proposer import Proposer
from rackhub.fleet.rules.changes import Changes
from rackhub.fleet.rules.checks import Checks
from rackhub.fleet.rules.holder import Holder, Holds, Kept
from rackhub.fleet.rules.service import RulesService
from rackhub.fleet.rules.spread import Spread
from rackhub.fleet.rules.trials import Trials
from rackhub.fleet.rules.words import KIND, Check, Checked, Holding, Mail, Post, Version, encode
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)
KEY = "rules/held"
TICK = 500_000  # between two looks at board, trial and keeper
POST_AGAIN = 10  # ticks after which a record that has not changed is posted anew


class RuleBook:
    """`counts`: requests, refused, late, all since the start, of which the trials' guard takes differences.

    `part` is called before `start` for each part that this gateway runs. Without `disk` nothing is kept, and the
    gateway is no keeper. Raises `ValueError` where the disk is another keeper's.
    """

    def __init__(
        self,
        fleet: Fleet,
        settings: FleetSettings,
        control: Control | None,
        disk: Disk | None,
        counts: Callable[[], tuple[int, int, int]],
    ):
        self.fleet, self._disk, self._counts = fleet, disk, counts
        self.me, self.keepers = fleet.members.me, settings.keepers
        boot = fleet.members.all()[self.me].boot
        self.parts: dict[str, RulePart] = {}
        self.damage = ""
        self.holder = Holder(self.me, self._load())
        self.keeper = (
            AcceptorShell(fleet, self.keepers, disk, boot) if disk is not None and self.me in self.keepers else None
        )
        self.proposer = Proposer(fleet, self.keepers, boot, self.keeper)
        self.spread = Spread(fleet, self.holder, self._learn)
        self.checks = Checks(fleet, self.fault)
        self.changes = Changes(fleet, self.holder, self.proposer, self.spread, self._learn)
        self.trials = Trials(fleet, self.holder, self.keepers, self.changes.lapse)
        self.service = RulesService(self, control)
        self.confirmed: dict[Name, int] = {}  # the version that others said to this gateway alone that they hold
        self.why = ""  # it can't take the newest version
        self._held = Holds(0, False, {})
        self._began = (0, False, counts())
        self._posted = b""
        self._ticks = 0
        self._digest = (0, "")
        self._cancel: Callable[[], None] = lambda: None
        self._ended = False

    @property
    def version(self) -> int:
        return self._held.version

    @property
    def held(self) -> Holds:
        return self._held

    def part(self, name: str, part: RulePart) -> None:
        self.parts[name] = part

    def _load(self) -> Kept | None:
        body = self._disk.get(KEY) if self._disk is not None else None
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=Kept)
        except msgspec.MsgspecError as bad:
            self.damage = f"{KEY} can't be read: {bad}"
            log.error("fleet: %s; it is fetched anew from the others", self.damage)
            self.fleet.tally("rules_damaged", 1)
            return None

    def damages(self) -> str:
        """What of this gateway's disk could not be read, and was or is fetched anew; nothing where all could."""
        found = (getattr(self._disk, "damage", ""), self.damage, self.keeper.damage if self.keeper is not None else "")
        return "; ".join(filter(None, found))

    def start(self) -> None:
        self.fleet.mail.take(KIND, self._mailed)
        self.proposer.start()
        if self.keeper is not None:
            self.keeper.start()
        self.service.start()
        self._settle()
        self._tick()

    def drain(self) -> None:
        """What was asked of it is still answered; nothing new begins of its own."""
        self._cancel()

    def stop(self) -> None:
        self._ended = True
        self._cancel()
        self.proposer.stop()
        if self.keeper is not None:
            self.keeper.stop()

    def figures(self) -> dict[str, float]:
        trial = self.holder.trial()
        return {
            "rules_version": self._held.version,
            "rules_newest": self.holder.book.newest,
            "rules_on_trial": float(self._held.on),
            "rules_trial_open": float(trial is not None),
            "rules_cannot_take": float(bool(self.why)),
            "rules_keeper_votes": float(self.keeper is not None and self.keeper.state.voting),
        }

    # ---- what a majority chose

    def _learn(self, versions: tuple[Version, ...], age: int) -> None:
        if self._ended:
            return
        newer, differ = self.holder.learn(versions, age, self.fleet.clock.now())
        if differ:
            log.error("fleet: two contents under rule versions %s: the register was lost or put back", differ)
            self.fleet.tally("rules_two_contents", len(differ))
        if newer:
            self._settle()
            self._post()
            self.spread.say()
            self.trials.look()

    def _settle(self) -> None:
        """Hold what should hold by now: on disk first where it is a newer version, so that nothing older rises."""
        if self._ended:
            return
        now = self.fleet.clock.now()
        wants = self.holder.wants(now)
        if wants == self._held or wants.version < self.holder.version:
            return
        before, self.why = self.why, self.fault(wants.content)
        if self.why and self.why == before:
            return
        if self.why:
            log.error(
                "fleet: rule version %d can't be taken, version %d goes on: %s",
                wants.version,
                self._held.version,
                self.why,
            )
            self.fleet.tally("rules_not_taken", 1)
            return self._post()
        if wants.on:
            self.fleet.later(self.holder.left(now) + 1, self._settle)
        if self._disk is None or wants.version == self.holder.version:
            return self._hold(wants)
        body = msgspec.msgpack.encode(Kept(self.holder.book, wants.version))
        self._disk.put(KEY, body, lambda: self._hold(wants))

    def _hold(self, wants: Holds) -> None:
        if self._ended or wants.version < self.holder.version:
            return
        self.holder.version = wants.version
        if wants != self.holder.wants(self.fleet.clock.now()):  # a newer one came meanwhile, or its trial is over
            return self._settle()
        for name, part in self.parts.items():
            part.hold(wants.content.get(name), wants.version)
        self._held = wants
        made = self.holder.book.find(wants.version)
        if made is not None and made.gateway != self.me:
            self.fleet.mail.send(made.gateway, KIND, encode(Holding(wants.version)))
        trial = self.holder.trial()
        if trial is not None:
            self._began = (trial.number, wants.on, self._counts())
        log.info("fleet: rule version %d holds%s", wants.version, ", on trial" if wants.on else "")
        self._post()

    def fault(self, content: Mapping[str, Any]) -> str:
        """Why this gateway can't take a content, each key by name; nothing where it can."""
        faults = [
            f"{name}: is not known at {self.me}; there are {', '.join(sorted(self.parts)) or 'none'}"
            for name in sorted(set(content) - set(self.parts))
        ]
        for name, part in self.parts.items():
            told = content.get(name)
            try:
                if told is not None and not isinstance(told, Mapping):
                    raise ValueError(f"{name}: {told!r} is not a table")
                part.check(told)
            except ValueError as bad:
                faults.append(str(bad))
        return "; ".join(faults)

    # ---- the board

    def _post(self) -> None:
        counts = (0, 0, 0)
        number, on, before = self._began
        if self.holder.trial() is not None and number == self._held.version and on == self._held.on:
            now = self._counts()
            counts = (now[0] - before[0], now[1] - before[1], now[2] - before[2])
        version = self.holder.book.find(self._held.version)
        if version is not None and self._digest[0] != version.number:
            self._digest = (version.number, version.digest())
        keeper = (
            ""
            if self.keeper is None
            else "votes"
            if self.keeper.state.voting
            else (self.keeper.damage or "its disk is new")[:120]
        )
        body = encode(
            Post(
                self._held.version,
                self._held.on,
                self.holder.book.newest,
                self._digest[1],
                self.why[:300],
                counts,
                keeper,
            )
        )
        if body != self._posted:
            self._posted = body
            self.fleet.board.post(KIND, body)

    def _tick(self) -> None:
        if self._ended:
            return
        self._settle()
        self._ticks += 1
        if not self._ticks % POST_AGAIN:
            self._posted = b""
        self._post()
        self.spread.look()
        self.spread.compare()
        self.trials.look()
        if self.keeper is not None:
            self.changes.finish(self.keeper)
        self._cancel = self.fleet.later(TICK, self._tick)

    def _mailed(self, source: Name, body: bytes) -> None:
        try:
            message = msgspec.msgpack.decode(body, type=Mail)  # type: ignore[arg-type]
        except msgspec.MsgspecError:
            return self.fleet.tally("rules_unread", 1)
        if isinstance(message, Holding):
            if source in self.fleet.members.living():
                self.confirmed[source] = message.version
        elif isinstance(message, Check | Checked):
            self.checks.heard(source, message)
        else:
            self.spread.heard(source, message)
