"""The hard cases, each a named function of a rig that is up and a seed, giving a verdict on safety and final state.

`CASES` has them in the order in which they are run. A case that needs a part of the fleet that this program does not
have says so in its verdict, and proves nothing.
"""

from rackhub.trials.processes.cases import (
    engines,
    gateways,
    gathers,
    keepers,
    members,
    overload,
    rules,
    undone,
    versions,
)
from rackhub.trials.processes.cases.case import Case

CASES: dict[str, Case] = {
    case.name: case
    for module in (overload, gateways, engines, members, gathers, undone, rules, keepers, versions)
    for case in module.CASES
}
