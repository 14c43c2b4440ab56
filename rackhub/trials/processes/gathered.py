"""What an answer that was gathered from several sites must be: judged from the rows and the mark beside them."""

import base64
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from rackhub.trials.processes import rows
from rackhub.trials.processes.link import Request


class Judge:
    """`sites` in the rule's order; `classes` are gathered, others must bear no mark. `ran(sign)`: the engines that ran
    a statement. `partial`: whether the rule lets an answer be partial. `far`: sites
    whose rows may be any engine's, since another installation's gateways answer for them."""

    def __init__(
        self,
        sites: Sequence[str],
        classes: Sequence[str],
        partial: bool,
        ran: Callable[[str], set[str]],
        far: Sequence[str] = (),
    ):
        self._sites, self._classes, self._partial, self._ran = list(sites), classes, partial, ran
        self._far = far
        self.seen: Counter[str] = Counter()  # whole, partial, filled
        self.missing: Counter[str] = Counter()  # by why
        self.last: dict[str, int] = {}  # when the last request came that got a whole one, a partial one, a filled one

    def __call__(self, request: Request, result: dict[str, Any]) -> str | None:
        """What is wrong, worded with its kind of fault; None: nothing."""
        arrival, told = request.arrival, result.get("gather")
        try:
            body = base64.b64decode(result["body"], validate=True)
        except (KeyError, ValueError):
            return "unreadable: no body"
        if arrival.kind.name not in self._classes:
            return "a mark on what was not gathered" if told is not None else rows.fault(body, arrival.statement)
        made = rows.makers(body, arrival.statement)
        if made is None:
            return "rows that no engine made for it"
        sites = [{"site": site} for site in self._sites] if told is None else told["sites"]
        within = [each for each in sites if not each.get("missing")]
        if len(made) != len(within) or any(
            each["site"] not in (site, *self._far) for (_, site), each in zip(made, within, strict=True)
        ):
            kind = "partial_as_whole" if told is None or told["whole"] else "wrong_rows"
            return f"{kind}: rows of {[site for _, site in made]}, told {[each['site'] for each in within]}"
        if [each["site"] for each in sites] != self._sites:
            return f"wrong_rows: it names the sites {[each['site'] for each in sites]}"
        old = [each["site"] for each in within if each.get("age_ms")]
        whole = len(within) == len(self._sites) and not old
        if told is not None and told["whole"] != whole:
            return f"partial_as_whole: {'not ' if whole else ''}whole, told {told}"
        if not whole and not self._partial:
            return "partial_as_whole: partial to whom its class allows none"
        for (engine, site), each in zip(made, within, strict=True):
            if each["site"] not in old and engine not in self._ran(rows.digest(arrival.statement)):
                return f"never_ran: {engine} at {site} made none for it"
        how = "whole" if whole else "filled" if old else "partial"
        self.seen[how] += 1
        self.last[how] = max(self.last.get(how, 0), arrival.at)
        self.missing.update(each["missing"] for each in sites if each.get("missing"))
        return None
