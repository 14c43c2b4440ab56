"""The shell: the core on a reactor and a socket, as one object that the daemon makes, starts and ends."""

import errno
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import defer

from rackhub.address import parse_ipv4_address
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.port import UdpPort
from rackhub.fleet.members import boots
from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import Came, Event, Leave, Start, Tick
from rackhub.fleet.members.here import Booted, Changed, Mailed, Named, Out, Posted
from rackhub.fleet.members.timing import timing
from rackhub.fleet.members.views import BoardView, MailView, MembersView
from rackhub.fleet.ports import Address, Clock, Fleet, Record
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)
AGAIN = 250_000  # microseconds until an address that is taken is tried again


class Monotonic:
    """Microseconds of this machine's monotonic clock."""

    def now(self) -> int:
        return time.monotonic_ns() // 1_000


class Membership:
    """`serves`: where this gateway's clients connect, told to the others. `tally`: adds to a counter of the process.

    `start` opens the socket and raises `OSError`; an address that is taken may be that of the process which this one
    replaces, and is tried again until it is free (`fleet_listening` is 0 so long). `leave` says that this process ends,
    its result comes when the others have been told a few times; `stop` closes. Both are safe to call twice.
    """

    def __init__(
        self,
        reactor: Any,
        settings: FleetSettings,
        serves: Address | None,
        clock: Clock | None = None,
        seed: int = 0,
        tally: Callable[[str, int], None] = lambda name, by: None,
        limits: Limits | None = None,
    ):
        self._reactor, self._clock, self._seed, self._tally = reactor, clock or Monotonic(), seed, tally
        self._settings, self._limits = settings, limits or Limits()
        start = Start(
            settings.cluster,
            settings.name,
            settings.advertised_address,
            boots.first(settings.state),
            serves,
            settings.site,
            [parse_ipv4_address(text, "join") for text in settings.join],
            seed,
        )
        self.core = Core(start, timing(settings), self._limits, self._clock.now())
        self.members = MembersView(self.core)
        self.board = BoardView(self.core, self)
        self.mail = MailView(self, self.core.here.count)
        self.port = UdpPort(reactor, settings.listen_address, self._came, self.core.here.count)
        self._timer: Any = None
        self._on = False
        self._waits: Callable[[], None] | None = None  # cancels the next try of an address that is taken
        self._left: defer.Deferred[None] | None = None

    def fleet(self) -> Fleet:
        return Fleet(self.members, self.board, self.mail, self._clock, self._tally, self.later, self._seed)

    def start(self) -> None:
        try:
            self.port.open()
        except OSError as bad:
            if bad.errno != errno.EADDRINUSE:
                raise
            if self._waits is None:
                log.warning("fleet: listen: %s: tried again until it is free", bad)
            self._waits = self.later(AGAIN, self.start)
            return
        self._waits, self._on = None, True
        self.step(Tick())

    def leave(self) -> "defer.Deferred[None]":
        if self._left is None:
            self._left = defer.Deferred()
            self.step(Leave())
            self.later(3 * self.core.here.timing.spreading, self._has_left)
        return self._left

    def _has_left(self) -> None:
        if self._left is not None and not self._left.called:
            self._left.callback(None)

    def stop(self) -> Any:
        self._on = False
        if self._waits is not None:
            self._waits()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        return self.port.close()

    def now(self) -> int:
        return self._clock.now()

    def later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        """After so many microseconds; gives its cancel."""
        due = self._reactor.callLater(max(delay, 0) / 1_000_000, call)

        def cancel() -> None:
            if due.active():
                due.cancel()

        return cancel

    # ---- the core

    def step(self, event: Event) -> None:
        effects = self.core.step(self._clock.now(), event)
        if self._on:
            self._wake()
        for effect in effects:
            match effect:
                case Out(to, data):
                    self.port.send(to, data)
                case Changed():
                    self._safe(self.members.changed, effect)
                case Posted():
                    self._safe(self.board.posted, effect)
                case Mailed(sender) if sender == self.members.local_name:
                    self.later(0, lambda effect=effect: self._safe(self.mail.mailed, effect))  # type: ignore[misc]
                case Mailed():
                    self._safe(self.mail.mailed, effect)
                case Booted(boot):
                    self._keep(boot)
                case Named(what, names):
                    self._tally(f"fleet_{what}", 1)
                    log.warning("fleet: %s: %s", what, " ".join(f"{key}={value!r}" for key, value in names.items()))

    def _safe(self, call: Callable[[Any], None], effect: Any) -> None:
        """A fault in one part must not keep the others from what happened."""
        try:
            call(effect)
        except Exception:
            self.core.here.count("faults")
            log.exception("fleet: a part failed on %s", type(effect).__name__)

    def _keep(self, boot: int) -> None:
        try:
            boots.keep(self._settings.state, boot)
        except OSError as bad:
            self.core.here.count("boot_not_kept")
            log.warning("fleet: state: %s: %s", self._settings.state, bad)

    def _came(self, data: bytes) -> None:
        if self._on:
            self.step(Came(data))

    def _wake(self) -> None:
        """One timer, at the core's next time."""
        wait = max(0.0, (self.core.due() - self._clock.now()) / 1_000_000)
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(wait, self._tick)
        elif abs(self._timer.getTime() - self._reactor.seconds() - wait) > 0.001:
            self._timer.reset(wait)

    def _tick(self) -> None:
        self.step(Tick())

    # ---- what it counts

    def records(self) -> list[Record]:
        """All that stands on the board, with its age at this moment."""
        self.core.here.now = max(self.core.here.now, self._clock.now())
        return list(self.core.records.all())

    def figures(self) -> Mapping[str, float]:
        told: dict[str, float] = {f"fleet_{name}": count for name, count in self.core.here.counts.items()}
        members = self.members.all().values()
        for member in members:
            key = f"fleet_members_{member.state.value}"
            told[key] = told.get(key, 0) + 1
        told["fleet_listening"] = int(self._on)
        told["fleet_health"] = self.core.probing.health.factor
        told["fleet_news"] = len(self.core.news)
        for name in ("bytes_in", "bytes_out", "packets_in", "packets_out"):
            told[f"fleet_{name}"] = getattr(self.port, name)
        return told
