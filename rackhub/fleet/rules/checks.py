"""Checks a content at all living gateways before it is proposed: each must be able to apply it."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.messages import MESSAGE_KIND, CheckRequest, CheckResult, encode

CHECK_TIMEOUT = 4_000_000  # microseconds; a gateway that has just ended is known as gone by then
RESEND_INTERVAL = 400_000  # microseconds
MAX_CONCURRENT_CHECKS = 16
MAX_FAULT_LENGTH = 2_000  # characters of the fault that is sent


class CheckOutcome(NamedTuple):
    """`faults` by gateway. Without an answer: `unresponsive` are still received from, `unreachable` are cut off."""

    faults: dict[Name, str]
    unresponsive: list[Name]
    unreachable: list[Name]


class _OpenCheck:
    def __init__(
        self, content: Mapping[str, Any], done: Callable[[CheckOutcome], None], pending: set[Name], deadline: int
    ):
        self.content = dict(content)
        self.done = done
        self.pending = pending
        self.deadline = deadline
        self.faults: dict[Name, str] = {}


class FleetChecks:
    """`check_locally` is this gateway's check: it returns the fault, empty where there is none."""

    def __init__(self, fleet: Fleet, check_locally: Callable[[Mapping[str, Any]], str]):
        self._fleet = fleet
        self._check_locally = check_locally
        self._last_id = 0
        self._open: dict[int, _OpenCheck] = {}

    def check(self, content: Mapping[str, Any], done: Callable[[CheckOutcome], None]) -> None:
        """Call `done` once, within `CHECK_TIMEOUT`: on the first fault, or when all have answered."""
        local = self._fleet.members.local_name
        fault = self._check_locally(content)
        if not fault and len(self._open) >= MAX_CONCURRENT_CHECKS:
            fault = f"{MAX_CONCURRENT_CHECKS} edits are being checked already"
        if fault:
            done(CheckOutcome({local: fault}, [], []))
            return
        pending = set(self._fleet.members.live() - {local})
        if not pending:
            done(CheckOutcome({}, [], []))
            return
        self._last_id += 1
        deadline = self._fleet.clock.now() + CHECK_TIMEOUT
        self._open[self._last_id] = _OpenCheck(content, done, pending, deadline)
        self._send(self._last_id)

    def _send(self, request_id: int) -> None:
        check = self._open.get(request_id)
        if check is None:
            return
        remaining = check.deadline - self._fleet.clock.now()
        all_cut_off = not check.pending & self._fleet.members.reachable()
        if remaining <= 0 or (remaining < CHECK_TIMEOUT and all_cut_off):
            self._complete(request_id)
            return
        body = encode(CheckRequest(request_id, check.content))
        for name in sorted(check.pending):
            self._fleet.messenger.send(name, MESSAGE_KIND, body)
        self._fleet.call_later(RESEND_INTERVAL, lambda: self._send(request_id))

    def on_message(self, source: Name, message: CheckRequest | CheckResult) -> None:
        """Handle a message of another gateway."""
        if isinstance(message, CheckRequest):
            fault = self._check_locally(message.content)[:MAX_FAULT_LENGTH]
            self._fleet.messenger.send(source, MESSAGE_KIND, encode(CheckResult(message.request_id, fault)))
        else:
            self._on_result(source, message)

    def _on_result(self, source: Name, result: CheckResult) -> None:
        check = self._open.get(result.request_id)
        if check is None or source not in check.pending:
            return
        check.pending.discard(source)
        if result.fault:
            check.faults[source] = result.fault
        if result.fault or not check.pending:
            self._complete(result.request_id)

    def _complete(self, request_id: int) -> None:
        check = self._open.pop(request_id)
        reachable = self._fleet.members.reachable()
        living = self._fleet.members.live()
        unresponsive = sorted(check.pending & reachable)
        unreachable = sorted((check.pending - reachable) & living)
        check.done(CheckOutcome(check.faults, unresponsive, unreachable))
