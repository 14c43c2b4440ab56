"""Under which rules an answer may be, while they change: by when its request went out, against when each change was
asked for and when all gateways said that they hold it. Pure; times are microseconds of one clock."""

from bisect import bisect_right

Sites = tuple[str, ...]
CROSSED = 50_000  # a request and a change that were written so near one another may be read in any order


class Changes:
    """`across`: answers that were open over a whole change, and went by what held before; `after`: those of requests
    sent once a change was held by all; `between`: those sent meanwhile, which may go by either."""

    def __init__(self, first: Sites):
        self._contents: list[Sites] = [first]
        self._asked: list[int] = []
        self._held: list[int] = []
        self.across = self.after = self.between = 0

    def asked(self, now: int, after: Sites) -> None:
        self._asked.append(now)
        self._contents.append(after)

    def held(self, now: int) -> None:
        """By all: the oldest change that was not yet."""
        self._held.append(now)

    def wrong(self, sent: int, now: int, sites: Sites) -> str | None:
        """What is wrong with an answer of these sites that came now; None: nothing."""
        most = bisect_right(self._asked, sent + CROSSED)  # changes that it may have seen, and that it must have
        least = bisect_right(self._held, sent - CROSSED)
        allowed = self._contents[least : most + 1]
        if sites not in allowed:
            return f"open_changed: sent under {allowed}, answered by {sites}"
        if least != most:
            self.between += 1
        else:
            self.after += least > 0
            self.across += len(self._held) > least and self._held[least] <= now
        return None
