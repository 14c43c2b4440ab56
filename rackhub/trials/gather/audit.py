"""Checks answers to gathered requests: exactly the rows of the sites that the gather mark names as present."""

import base64
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub.trials.processes import rows
from rackhub.trials.processes.clients import Request

Judge = Callable[[Request, dict[str, Any]], str | None]


class GatherCounts(msgspec.Struct):
    """Counts of gathered answers. `used`: fresh subrequests with rows in an answer; `filled`: stored answers used."""

    whole: int = 0
    partial: int = 0
    used: int = 0
    filled: int = 0


def make_judge(sites: Sequence[str], cls: str, partial: bool, counts: GatherCounts) -> Judge:
    """Return a check of served answers, which returns the fault found or None. Other classes must have no mark."""

    def find_fault(request: Request, result: dict[str, Any]) -> str | None:
        arrival = request.arrival
        body = base64.b64decode(result["body"])
        mark = result.get("gather")
        if arrival.kind.name != cls:
            return "gather mark on an answer that was not gathered" if mark else rows.fault(body, arrival.statement)
        row_sources = rows.makers(body, arrival.statement)
        if mark is None or row_sources is None:
            return "gather mark missing, or rows that no engine produced"
        fresh_or_filled = [site["site"] for site in mark["sites"] if not site.get("missing")]
        filled_count = sum(bool(site.get("age_ms")) for site in mark["sites"])
        whole = fresh_or_filled == list(sites) and not filled_count
        counts.whole += whole
        counts.partial += not whole
        counts.filled += filled_count
        counts.used += len(fresh_or_filled) - filled_count
        if [site for _, site in row_sources] != fresh_or_filled:
            return f"rows from {row_sources}, but the mark names {fresh_or_filled}"
        if bool(mark["whole"]) != whole:
            return "`whole` does not match the sites in the mark"
        return None if whole or partial else "partial answer where partial answers are not allowed"

    return find_fault
