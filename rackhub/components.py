"""The parts that an operator may turn on, in order. One that is off is not imported."""

from importlib import import_module
from typing import Any

from rackhub.config import Config
from rackhub.core.component import Component, ComponentContext
from rackhub.operatorfile import Operator

# what turns each on -> where its `Part` is; a part begins after those above it and ends before them
ORDER = {
    "store": "rackhub.state.part",
    "timings": "rackhub.timings.part",
    "ops": "rackhub.ops.part",
    "fleet": "rackhub.fleet.part",
    "gather": "rackhub.gather.component",
}
LATE = ("timings",)  # may be turned on by a reload; the others take a restart


def wanted(config: Config, operator: Operator) -> list[str]:
    """The names of the parts that are on."""
    on = {
        "ops": config.operator is not None,
        # the rule book may bring gathers at any time; the check of the file has them refused where peers are
        "gather": operator.gather is not None or _brings_gathers(operator.fleet or {}),
    }
    return [name for name in ORDER if on.get(name, getattr(operator, name, None) is not None)]


def _brings_gathers(fleet: dict[str, Any]) -> bool:
    return bool(fleet.get("keepers")) or fleet.get("role") == "coordinator"


def load(name: str, host: ComponentContext) -> Component:
    """Import a part and make it. Raises `ComponentStartError`."""
    made = import_module(ORDER[name]).part(host)
    assert isinstance(made, Component)
    return made
