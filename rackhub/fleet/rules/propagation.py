"""Waits until all living gateways have applied a version, as long as its editor wants to wait, then answers."""

from collections.abc import Mapping
from typing import Any

from rackhub.fleet.ports import Answer, Name
from rackhub.fleet.rules.dissemination import gossiped_statuses
from rackhub.fleet.rules.messages import GossipedStatus, Version
from rackhub.fleet.rules.ports import RulesView

POLL_INTERVAL = 20_000  # microseconds


class PropagationWait:
    """One editor's wait for `version`. `extra` is added to the answer, whose times are milliseconds."""

    def __init__(self, rules: RulesView, version: Version, wait_ms: int, answer: Answer, extra: Mapping[str, Any]):
        self._rules = rules
        self._version = version
        self._wait_ms = wait_ms
        self._answer = answer
        self._extra = extra
        self._started_at = rules.fleet.clock.now()

    def poll(self) -> None:
        """Answer if all have applied it or the time is over, else poll later."""
        statuses = gossiped_statuses(self._rules.fleet)
        living = self._rules.fleet.members.live()
        applied = {name for name in living if self._has_applied(name, statuses.get(name))}
        missing = [self._missing(name, statuses.get(name)) for name in sorted(living - applied)]
        elapsed = self._rules.fleet.clock.now() - self._started_at
        if missing and elapsed < self._wait_ms * 1_000:
            self._rules.fleet.call_later(POLL_INTERVAL, self.poll)
            return
        self._answer(self._result(sorted(applied), missing, elapsed // 1_000))

    def _has_applied(self, name: Name, status: GossipedStatus | None) -> bool:
        reported = status.version if status is not None else -1
        if name == self._rules.gateway:
            reported = self._rules.active.version
        return max(reported, self._rules.confirmed_versions.get(name, -1)) >= self._version.number

    def _missing(self, name: Name, status: GossipedStatus | None) -> Mapping[str, Any]:
        fault = status.fault if status is not None else ""
        return {
            "name": name,
            "version": status.version if status is not None else None,
            "why": fault or "has not said that it holds it",
        }

    def _result(self, applied: list[Name], missing: list[Mapping[str, Any]], took_ms: int) -> Mapping[str, Any]:
        result = {
            "version": self._version.number,
            "id": self._version.id,
            "kind": self._version.kind,
            "held": applied,
            "missing": missing,
            "took_ms": took_ms,
            **self._extra,
        }
        if not missing or not self._wait_ms:
            return result
        names = ", ".join(f"{entry['name']} ({entry['why']})" for entry in missing)
        return result | {"exit": 1, "error": f"version {self._version.number} is made, and not held by {names}"}
