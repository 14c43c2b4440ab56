"""The target's figures, and what the capacity page assumes besides: `docs/capacity/target.toml`."""

from pathlib import Path

import msgspec

SECONDS_A_DAY = 86_400


class Figure(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of the target."""

    name: str
    value: float
    unit: str


class Assumption(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure that the target does not give, and why this one is taken."""

    name: str
    value: float
    unit: str
    reason: str


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All figures; `target["coordinators"]` gives the value of one."""

    figure: tuple[Figure, ...]
    assumption: tuple[Assumption, ...] = ()

    def __getitem__(self, name: str) -> float:
        return self._values()[name]

    def _values(self) -> dict[str, float]:
        figures = {each.name: each.value for each in self.figure}
        return figures | {each.name: each.value for each in self.assumption}

    def __post_init__(self) -> None:
        names = [each.name for each in self.figure] + [each.name for each in self.assumption]
        doubled = sorted({name for name in names if names.count(name) > 1})
        if doubled:
            raise ValueError(f"{doubled[0]}: named twice")

    # ---- what follows from them

    @property
    def changes_a_second(self) -> float:
        return self["configuration_changes"] / SECONDS_A_DAY

    @property
    def coordinators_a_zone(self) -> float:
        return self["coordinators"] / self["zones"]

    @property
    def engines_a_zone(self) -> float:
        return self["engines"] / self["zones"]

    @property
    def relays(self) -> float:
        return self["zones"] * self["relays_per_zone"]

    @property
    def coordinators_a_relay(self) -> float:
        return self["coordinators"] / self.relays

    @property
    def machines(self) -> float:
        return self["coordinators"] + self["engines"] + self["control_machines"]

    def share_of_coordinators(self, events_a_day: float) -> float:
        """Of events that befall all machines alike, those at coordinators."""
        return events_a_day * self["coordinators"] / self.machines

    @property
    def list_changes_a_second(self) -> float:
        """Each engine that fails, or is restarted, leaves the list and comes back."""
        events = self["machine_failures"] + self["restarts"]
        return 2 * events * self["engines"] / self.machines / SECONDS_A_DAY

    @property
    def statements_a_coordinator(self) -> float:
        return self["statements"] / self["coordinators"]

    @property
    def connections_a_coordinator(self) -> float:
        return self["client_connections"] / self["coordinators"]


def read(path: Path) -> Target:
    return msgspec.toml.decode(path.read_bytes(), type=Target)
