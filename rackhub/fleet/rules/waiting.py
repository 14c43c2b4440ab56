"""Wait until all gateways that live hold a version, as long as its editor wants to wait, then answer."""

from collections.abc import Mapping
from typing import Any

from rackhub.fleet.ports import Answer, Name
from rackhub.fleet.rules.ports import RuleBookView
from rackhub.fleet.rules.spread import posts
from rackhub.fleet.rules.words import Post, Version

POLL = 20_000  # microseconds between two looks at who holds it


class HoldWait:
    """One editor's wait for `version`. `also` is added to the answer. Times of the answer are milliseconds."""

    def __init__(self, book: RuleBookView, version: Version, wait_ms: int, answer: Answer, also: Mapping[str, Any]):
        self._book, self._version, self._wait_ms = book, version, wait_ms
        self._answer, self._also = answer, also
        self._began = book.fleet.clock.now()

    def look(self) -> None:
        """Answer if all hold it or the time is over, else look again later."""
        seen = posts(self._book.fleet)
        living = self._book.fleet.members.living()
        holding = {name for name in living if self._holds(name, seen.get(name))}
        missing = [self._missing(name, seen.get(name)) for name in sorted(living - holding)]
        elapsed = self._book.fleet.clock.now() - self._began
        if missing and elapsed < self._wait_ms * 1_000:
            self._book.fleet.later(POLL, self.look)
            return
        self._answer(self._answered(sorted(holding), missing, elapsed // 1_000))

    def _holds(self, name: Name, post: Post | None) -> bool:
        posted = post.version if post is not None else -1
        if name == self._book.me:
            posted = self._book.held.version
        return max(posted, self._book.confirmed.get(name, -1)) >= self._version.number

    def _missing(self, name: Name, post: Post | None) -> Mapping[str, Any]:
        reason = post.why if post is not None else ""
        return {
            "name": name,
            "version": post.version if post is not None else None,
            "why": reason or "has not said that it holds it",
        }

    def _answered(self, held: list[Name], missing: list[Mapping[str, Any]], took_ms: int) -> Mapping[str, Any]:
        answered = {
            "version": self._version.number,
            "id": self._version.id,
            "kind": self._version.kind,
            "held": held,
            "missing": missing,
            "took_ms": took_ms,
            **self._also,
        }
        if not missing or not self._wait_ms:
            return answered
        names = ", ".join(f"{one['name']} ({one['why']})" for one in missing)
        return answered | {"exit": 1, "error": f"version {self._version.number} is made, and not held by {names}"}
