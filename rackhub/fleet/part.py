"""The fleet as a part of the daemon: members and board, the control port, and on them overload and the rule book."""

import logging
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from rackhub import parts
from rackhub.address import address
from rackhub.config import fleet_settings
from rackhub.core.part import Host, Part, PartUnusable
from rackhub.core.source import Listing
from rackhub.fleet.control import fleet as fleet_call
from rackhub.fleet.control.port import ControlPort
from rackhub.fleet.members.part import Membership
from rackhub.fleet.overload.part import Overload
from rackhub.fleet.overload.prober import Prober
from rackhub.fleet.overload.safe import Safe
from rackhub.fleet.rules.part import RuleBook
from rackhub.fleet.rules.timings import TimingsPart
from rackhub.fleet.settings import FleetSettings
from rackhub.timings.table import Table

log = logging.getLogger(__name__)


class FleetPart(Part):
    def __init__(self, host: Host):
        super().__init__(host)
        self.told: FleetSettings = fleet_settings(host.operator.fleet or {}, host.source.settings, host.config.name)
        self.counts = Counter[str]()
        try:
            if self.told.state:
                Path(self.told.state).mkdir(parents=True, exist_ok=True)
            self.membership = Membership(
                host.reactor, self.told, host.config.listen, host.clock, host.config.seed, self._tally
            )
        except OSError as fault:
            raise PartUnusable(f"[fleet] state: {fault}") from None
        self.fleet = self.membership.fleet()
        self.control = (
            ControlPort(host.reactor, address(self.told.control, "control"), self._tally) if self.told.control else None
        )
        self.prober = Prober(host.reactor, host.clock, host.config.limits)
        self.overload = (
            Overload(self.fleet, host.source.settings, host.config.limits, host.core, self.prober, self.told)
            if self.told.overload
            else None
        )
        self.disk: Any = None
        self.rules = self._book() if self.told.keepers else None

    def _book(self) -> RuleBook:
        """The rule book, kept on a store of its own where there is a directory for it."""
        if self.told.state:
            from rackhub.fleet.register.disk import StoreDisk

            try:
                from rackhub.store import StoreError

                self.disk = StoreDisk(self.host.reactor, Path(self.told.state) / "register")
            except ImportError as missing:
                raise PartUnusable(
                    f"[fleet] state: {missing}: install the extra 'store' (requirements-store.txt)"
                ) from None
            except (StoreError, OSError) as fault:
                raise PartUnusable(f"[fleet] state: {fault}") from None
        try:
            book = RuleBook(self.fleet, self.told, self.control, self.disk, self._counts)
        except ValueError as bad:
            raise PartUnusable(f"[fleet] state: {bad}") from None
        timings = self.timings = TimingsPart(
            lambda: self.host.source.settings, lambda: self.host.operator.timings, self._time
        )
        book.part("timings", timings)
        if self.overload is not None:
            book.part("shed", self.overload.shed)
        return book

    def _counts(self) -> tuple[int, int, int]:
        """Requests over, refused, and failed or over time, of all classes since the start."""
        sums = [sum(counts) for counts in zip(*self.host.core.by_class.values(), strict=True)]
        return sum(sums[:3]), sums[1], sums[2]

    def _time(self, table: Table) -> None:
        """Other routes hold; where none ever did and there are none, nothing is loaded for them."""
        found: Any = self.host.parts.get("timings")
        if found is None and table.routes:
            found = self.host.parts["timings"] = parts.load("timings", self.host)
        if found is not None:
            found.again = self.timings.again
            found.desk.reload(table)

    def _tally(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def begin(self, listing: Listing) -> Listing:
        if self.overload is not None:
            self.host.core.guide = Safe(self.overload, self._tally)
        return listing

    def open(self) -> None:
        try:
            self.membership.start()
            if self.control is not None:
                fleet_call.offer(self.control, self.membership)
                self.control.on(
                    "figures",
                    lambda words, answer: answer(
                        {
                            "figures": {
                                name: value
                                for part in self.host.parts.values()
                                for name, value in part.figures().items()
                            }
                        }
                    ),
                )
                self.control.start()
        except OSError as fault:
            raise PartUnusable(f"[fleet] {fault}") from None
        if self.overload is not None:
            self.overload.start()
            self.overload.listed(self.host.source.start)
        self.prober.listed(self.host.source.start)
        if self.rules is not None:
            timed: Any = self.host.parts.get("timings")
            if timed is not None:
                timed.again = self.timings.again
            self.rules.start()
        log.info("member %s of the fleet %s at %s", self.told.name, self.told.cluster, self.told.listen)

    def listed(self, listing: Listing) -> None:
        self.prober.listed(listing)
        if self.overload is not None:
            self.overload.listed(listing)

    def drain(self) -> None:
        if self.overload is not None:
            self.overload.drain()
        if self.rules is not None:
            self.rules.drain()
        # what replaces this process waits for the address
        self.membership.leave().addCallback(lambda _: self.membership.stop())

    def stop(self) -> None:
        if self.rules is not None:
            self.rules.stop()
        if self.disk is not None:
            self.disk.end()

    def figures(self) -> Mapping[str, float]:
        told: dict[str, float] = dict(self.membership.figures()) | {name: float(n) for name, n in self.counts.items()}
        if self.overload is not None:
            told |= self.overload.figures()
        if self.rules is not None:
            told |= self.rules.figures()
        return told

    def tell(self) -> Sequence[str]:
        counted: Any = {name: value for name, value in sorted(self.figures().items()) if value}
        return ["fleet: " + (" ".join(f"{name}={value:g}" for name, value in counted.items()) or "nothing")]


def part(host: Host) -> FleetPart:
    return FleetPart(host)
