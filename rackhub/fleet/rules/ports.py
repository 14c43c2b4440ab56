"""What the calls of the control port see of the rule book: read by `queries`, `waiting` and `service`."""

from typing import Protocol

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.changes import Changes
from rackhub.fleet.rules.checks import Checks
from rackhub.fleet.rules.holder import Holder, Holds
from rackhub.fleet.rules.trials import Trials


class RuleBookView(Protocol):
    """The rule book as one gateway has it. `confirmed`: the version that each other gateway has said to this one alone
    that it holds; the board tells the same of all of them, a little later."""

    fleet: Fleet
    me: Name
    keepers: tuple[Name, ...]
    holder: Holder
    checks: Checks
    changes: Changes
    trials: Trials
    confirmed: dict[Name, int]

    @property
    def held(self) -> Holds: ...

    def damages(self) -> str:
        """What of this gateway's disk could not be read; empty where all could."""
