"""What an answer to a gathered request must be: exactly the rows of the sites that it names fresh, and marked."""

import base64
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from rackhub.trials.processes import rows
from rackhub.trials.processes.clients import Request

Judge = Callable[[Request, dict[str, Any]], str | None]


class Seen(msgspec.Struct):
    """Gathered answers by kind; times in microseconds; `used`: parts whose rows are in an answer."""

    whole: int = 0
    partial: int = 0
    used: int = 0
    filled: int = 0


def judge(sites: Sequence[str], cls: str, partial: bool, seen: Seen) -> Judge:
    """What is wrong with a served answer; None: nothing. Answers of other classes must have no mark."""

    def wrong(request: Request, result: dict[str, Any]) -> str | None:
        arrival = request.arrival
        body = base64.b64decode(result["body"])
        told = result.get("gather")
        if arrival.kind.name != cls:
            return "a mark on no gather" if told else rows.fault(body, arrival.statement)
        made = rows.makers(body, arrival.statement)
        if told is None or made is None:
            return "no mark, or rows that no engine made"
        inside = [site["site"] for site in told["sites"] if not site.get("missing")]
        aged = sum(bool(site.get("age_ms")) for site in told["sites"])
        whole = inside == list(sites) and not aged
        seen.whole += whole
        seen.partial += not whole
        seen.filled += aged
        seen.used += len(inside) - aged
        if [site for _, site in made] != inside:
            return f"rows of {made}, told {inside}"
        if bool(told["whole"]) != whole:
            return "partial passed as whole"
        return None if whole or partial else "partial to who does not allow it"

    return wrong
