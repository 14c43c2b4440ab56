"""Every time the members go by, from the two that an operator sets. Microseconds."""

import math

import msgspec

from rackhub.fleet.settings import FleetSettings

MS, SECOND = 1_000, 1_000_000


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """`alpha`, `beta`, `confirmations`, `health`: Lifeguard's, with the values of its paper."""

    probe_period: int = 500 * MS  # between two probes, while this gateway is healthy
    direct_timeout: int = 200 * MS  # for the straight answer
    indirect_probe_count: int = 3  # who are asked to probe in its place
    alpha: float = 4.0
    beta: float = 6.0
    confirmations: int = 3
    max_health_multiplier: int = 8  # the multiplier goes from 1 to this
    retransmit_multiplier: float = 2.0  # a claim or record goes out this many times ln(members + 1), by each holder
    gossip_fanout: int = 3  # members that get news at each spreading
    gossip_datagrams: int = 4  # datagrams of it to each
    cut_threshold: int = 2  # probes in a row without a straight answer
    max_reported_names: int = 32  # clashing names that are told

    @property
    def gossip_interval(self) -> int:
        """Between two turns of news."""
        return self.probe_period * 2 // 5

    @property
    def sync_interval(self) -> int:
        """Between two exchanges of all that is known with one member."""
        return 20 * self.probe_period

    @property
    def unreachable_probe_interval(self) -> int:
        """Between two probes of one that is gone or cut off, whichever of them it is."""
        return 4 * self.probe_period

    def min_suspicion_timeout(self, members: int) -> int:
        """How long a suspicion stands before the suspected counts as gone, when others suspect it too."""
        return int(self.alpha * max(1.0, math.log10(max(members, 1))) * self.probe_period)

    def max_suspicion_timeout(self, members: int) -> int:
        """The same while nobody else says so."""
        return int(self.beta * self.min_suspicion_timeout(members))

    def expected_confirmations(self, members: int) -> int:
        """Other members whose suspicion shortens it to the least: only so many as there can be."""
        return max(0, min(self.confirmations, members - 2))

    def claim_transmissions(self, members: int) -> int:
        """How often each holder sends a piece of news on."""
        return max(2, math.ceil(self.retransmit_multiplier * math.log(members + 1)))

    def settling_bound(self, members: int) -> int:
        """The bound within which all views agree again after everything is healed, for all but vanishing chances: the
        own patience runs down, each has probed each, the lost were probed anew, and two exchanges made up for news
        that missed somebody. Derived in docs/design/fleet.md."""
        health_recovery = self.probe_period * self.max_health_multiplier * (self.max_health_multiplier + 1) // 2
        return (
            health_recovery
            + (members - 1) * self.probe_period
            + 5 * self.unreachable_probe_interval
            + 2 * self.sync_interval * 5 // 4
        )

    def reachability_interval(self, members: int) -> int:
        """Between two records of who is heard: they change most while a large fleet forms, and then all at once."""
        return 2 * self.probe_period * max(1, members // 12)

    def record_transmissions(self, members: int) -> int:
        """The same of a record: fewer, since the next number or the exchange of all makes up for a miss."""
        return 1 + math.ceil(math.log(members + 1))


def timing_from_settings(settings: FleetSettings) -> Timing:
    return Timing(probe_period=settings.probe_ms * MS, direct_timeout=settings.timeout_ms * MS)
