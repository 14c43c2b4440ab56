"""Planted mistakes, each with the fault under which the torture must find it, and by which of its checks."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import Start
from rackhub.fleet.members.gossip_records import GossipRecords
from rackhub.fleet.members.table import MemberTable
from rackhub.fleet.members.timing import Timing
from rackhub.trials.fleet.members_wire import Make


class Plant(NamedTuple):
    make: Make
    fault: str  # of `members_faults`
    check: str  # the count of `Watch` that must show it


def planted(change: Callable[[Core], None], timing: dict[str, Any] | None = None) -> Make:
    def make(start: Start, times: Timing, limits: Limits, now: int) -> Core:
        core = Core(start, msgspec.structs.replace(times, **timing or {}), limits, now)
        change(core)
        return core

    return make


class OlderTaken(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        self._owners.get(update.owner, {}).pop(update.kind, None)
        return super().merge(update, transit_time)


class AgeAnew(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        return super().merge(msgspec.structs.replace(update, age=0), 0)


class WayForgotten(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        return super().merge(update, 0)


class AnyBoot(MemberTable):
    def merge(self, claim: f.Claim, sender: str) -> None:
        peer = self.peers.get(claim.name)
        if peer is not None and claim.generation < peer.generation:
            peer.begin(claim, self._context.now)
            self.mark_changed(peer)
        super().merge(claim, sender)


def of(kind: type[Any]) -> Callable[[Core], None]:
    """The core's part of that kind becomes the planted one."""

    def change(core: Core) -> None:
        for part in list(vars(core).values()):
            if type(part) in kind.__mro__ and type(part) is not object:
                part.__class__ = kind

    return change


class Forgetful(Inbox):
    def _finish(self, id: int) -> None:
        super()._finish(id)
        self._completed_ids.clear()


def takes_any_boot(core: Core) -> None:
    of(AnyBoot)(core)
    receive = core._receive
    ask = receive._accept_sender

    def sender(packet: f.Packet) -> Any:
        peer, claim = core.table.peers.get(packet.name), f.first_claim(packet)
        if peer is not None and packet.generation < peer.generation and claim is not None:
            core.table.merge(claim, packet.name)
        return ask(packet)

    receive.__dict__["_accept_sender"] = sender


def forgets_mail(core: Core) -> None:
    receive = core._receive
    page = receive._handle_page

    def _handle_page(peer: Any, frame: f.Page) -> None:
        if peer.inbox is None:
            peer.inbox = Forgetful(core.context.limits, core.context.count)
        page(peer, frame)

    receive.__dict__["_handle_page"] = _handle_page


def lets_the_gone_be(core: Core) -> None:
    core.probing._probe_unreachable = lambda: None  # type: ignore[method-assign]
    core._seeds = []


def refutes_nothing(core: Core) -> None:
    core.local_member.handle_claim = lambda claim: True  # type: ignore[method-assign]


def keeps_silent_when_it_was_wrong(core: Core) -> None:
    core.probing._mark_reachable = lambda peer: None  # type: ignore[method-assign]


PLANTS = {
    "suspicion is never refuted": Plant(planted(refutes_nothing), "halves", "lost_for_good"),
    "the gone are never probed again": Plant(planted(lets_the_gone_be), "halves", "lost_for_good"),
    "a cut is never taken back": Plant(planted(keeps_silent_when_it_was_wrong), "one_way", "not_settled"),
    "claims of an earlier boot are taken": Plant(planted(takes_any_boot), "reborn", "views_going_back"),
    "the board takes an older number": Plant(planted(of(OlderTaken)), "disorder", "board_going_back"),
    "a record's age begins anew at each holder": Plant(planted(of(AgeAnew)), "disorder", "records_too_young"),
    "the time on the way is left out of an age": Plant(planted(of(WayForgotten)), "late", "records_too_young"),
    "mail that was taken is forgotten": Plant(planted(forgets_mail), "double", "mail_twice"),
}
