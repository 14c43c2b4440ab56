"""What is wrong with an answer that was served: its rows, who made them, or that it was served at all."""

import base64
from collections.abc import Callable
from typing import Any

from rackhub.trials.processes import rows
from rackhub.trials.processes.audit import SAFETY
from rackhub.trials.processes.link import Request, Try

Judge = Callable[[Request, dict[str, Any]], str | None]


def fault(
    each: Try,
    result: dict[str, Any],
    ran: Callable[[str], set[str]],
    judge: Judge | None,
) -> tuple[str, str] | None:
    """Its kind and its words. `judge` looks at it in place of the rule for a single engine's rows; what it finds may
    begin with a kind of fault and a colon. `ran(rid)`: the engines that ran it."""
    arrival = each.request.arrival
    if arrival.bad:
        return "bad_served", f"its {arrival.bad} can't be used"
    if judge is not None:
        wrong = judge(each.request, result)
        if not wrong:
            return None
        kind, mark, why = wrong.partition(": ")
        return (kind, why) if mark and kind in SAFETY else ("wrong_rows", wrong)
    try:
        body = base64.b64decode(result["body"], validate=True)
    except (KeyError, ValueError):
        body = b""
    wrong = rows.fault(body, arrival.statement)
    if wrong:
        return "wrong_rows", wrong
    made = rows.maker(body)[0]
    return None if made in ran(each.rid) else ("never_ran", f"{made} made none for it")
