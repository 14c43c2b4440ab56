"""Injected bugs, each with the fault under which the stress test must find it, and the check that must find it."""

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


class InjectedBug(NamedTuple):
    make: Make
    fault: str  # name in `members_faults.FAULTS`
    check: str  # count of `InvariantChecker` that must be raised


def core_with_bug(change: Callable[[Core], None], timing: dict[str, Any] | None = None) -> Make:
    def make(start: Start, times: Timing, limits: Limits, now: int) -> Core:
        core = Core(start, msgspec.structs.replace(times, **timing or {}), limits, now)
        change(core)
        return core

    return make


class OlderRecordAccepted(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        self._owners.get(update.owner, {}).pop(update.kind, None)
        return super().merge(update, transit_time)


class AgeResetOnMerge(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        return super().merge(msgspec.structs.replace(update, age=0), 0)


class TransitTimeIgnored(GossipRecords):
    def merge(self, update: f.RecordUpdate, transit_time: int) -> bool:
        return super().merge(update, 0)


class AnyGenerationAccepted(MemberTable):
    def merge(self, claim: f.Claim, sender: str) -> None:
        peer = self.peers.get(claim.name)
        if peer is not None and claim.generation < peer.generation:
            peer.begin(claim, self._context.now)
            self.mark_changed(peer)
        super().merge(claim, sender)


def replace_component(kind: type[Any]) -> Callable[[Core], None]:
    """Return a change that replaces the core's component by the faulty subclass `kind`."""

    def change(core: Core) -> None:
        for component in list(vars(core).values()):
            if type(component) in kind.__mro__ and type(component) is not object:
                component.__class__ = kind

    return change


class CompletedIdsForgotten(Inbox):
    def _finish(self, id: int) -> None:
        super()._finish(id)
        self._completed_ids.clear()


def accept_any_generation(core: Core) -> None:
    replace_component(AnyGenerationAccepted)(core)
    receive = core._receive
    accept_sender = receive._accept_sender

    def sender(packet: f.Packet) -> Any:
        peer, claim = core.table.peers.get(packet.name), f.first_claim(packet)
        if peer is not None and packet.generation < peer.generation and claim is not None:
            core.table.merge(claim, packet.name)
        return accept_sender(packet)

    receive.__dict__["_accept_sender"] = sender


def forget_completed_messages(core: Core) -> None:
    receive = core._receive
    handle_page = receive._handle_page

    def _handle_page(peer: Any, frame: f.Page) -> None:
        if peer.inbox is None:
            peer.inbox = CompletedIdsForgotten(core.context.limits, core.context.count)
        handle_page(peer, frame)

    receive.__dict__["_handle_page"] = _handle_page


def never_probe_unreachable(core: Core) -> None:
    core.probing._probe_unreachable = lambda: None  # type: ignore[method-assign]
    core._seeds = []


def never_refute(core: Core) -> None:
    core.local_member.handle_claim = lambda claim: True  # type: ignore[method-assign]


def never_mark_reachable(core: Core) -> None:
    core.probing._mark_reachable = lambda peer: None  # type: ignore[method-assign]


INJECTED_BUGS = {
    "suspicion is never refuted": InjectedBug(core_with_bug(never_refute), "halves", "lost_for_good"),
    "the gone are never probed again": InjectedBug(core_with_bug(never_probe_unreachable), "halves", "lost_for_good"),
    "a cut is never taken back": InjectedBug(core_with_bug(never_mark_reachable), "one_way", "not_settled"),
    "claims of an earlier boot are taken": InjectedBug(
        core_with_bug(accept_any_generation), "reborn", "views_going_back"
    ),
    "the board takes an older number": InjectedBug(
        core_with_bug(replace_component(OlderRecordAccepted)), "disorder", "board_going_back"
    ),
    "a record's age begins anew at each holder": InjectedBug(
        core_with_bug(replace_component(AgeResetOnMerge)), "disorder", "records_too_young"
    ),
    "the time on the way is left out of an age": InjectedBug(
        core_with_bug(replace_component(TransitTimeIgnored)), "late", "records_too_young"
    ),
    "mail that was taken is forgotten": InjectedBug(core_with_bug(forget_completed_messages), "double", "mail_twice"),
}
