"""All times of the membership protocol, derived from the two that an operator sets. Microseconds."""

import math

import msgspec

from rackhub.fleet.settings import FleetSettings

MS, SECOND = 1_000, 1_000_000


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """`alpha`, `beta`, `confirmations` and `max_health_multiplier` are Lifeguard's, with the values of its paper."""

    probe_period: int = 500 * MS  # time between two probes while this gateway is healthy
    direct_timeout: int = 200 * MS  # time allowed for the direct ack
    indirect_probe_count: int = 3  # members that get a ping-req after a direct timeout
    alpha: float = 4.0
    beta: float = 6.0
    confirmations: int = 3
    max_health_multiplier: int = 8  # largest local health multiplier
    retransmit_multiplier: float = 2.0  # each holder sends a claim this factor times ln(members + 1) times
    gossip_fanout: int = 3  # members that each round of gossip goes to
    gossip_datagrams: int = 4  # datagrams to each of them at most
    cut_threshold: int = 2  # unanswered direct probes in a row after which a member is cut off
    max_reported_names: int = 32  # names reported for clashes or implausible claims, and addresses reported for each

    @property
    def gossip_interval(self) -> int:
        """Time between two rounds of gossip."""
        return self.probe_period * 2 // 5

    @property
    def sync_interval(self) -> int:
        """Average time between two anti-entropy exchanges started by one member."""
        return 20 * self.probe_period

    @property
    def unreachable_probe_interval(self) -> int:
        """Time between two probes of a member that is gone or cut off, chosen at random from all of those."""
        return 4 * self.probe_period

    def min_suspicion_timeout(self, members: int) -> int:
        """The suspicion timeout once enough other members suspect the same member."""
        return int(self.alpha * max(1.0, math.log10(max(members, 1))) * self.probe_period)

    def max_suspicion_timeout(self, members: int) -> int:
        """The suspicion timeout while only one member suspects."""
        return int(self.beta * self.min_suspicion_timeout(members))

    def expected_confirmations(self, members: int) -> int:
        """Number of further accusers that shorten the timeout to its minimum, at most the other members."""
        return max(0, min(self.confirmations, members - 2))

    def claim_transmissions(self, members: int) -> int:
        """How often each member that holds a claim sends it on."""
        return max(2, math.ceil(self.retransmit_multiplier * math.log(members + 1)))

    def settling_bound(self, members: int) -> int:
        """The time after which all views agree again once all faults are healed, except with negligible probability.

        It covers the recovery of the local health multiplier, a probe of each member by each, probes of unreachable
        members, and two anti-entropy exchanges for updates that missed some member. Derived in docs/design/fleet.md.
        """
        health_recovery = self.probe_period * self.max_health_multiplier * (self.max_health_multiplier + 1) // 2
        return (
            health_recovery
            + (members - 1) * self.probe_period
            + 5 * self.unreachable_probe_interval
            + 2 * self.sync_interval * 5 // 4
        )

    def reachability_interval(self, members: int) -> int:
        """Minimum time between two reachability records.

        It is longer in large fleets, where many records would change at once while the fleet forms.
        """
        return 2 * self.probe_period * max(1, members // 12)

    def record_transmissions(self, members: int) -> int:
        """How often each member that holds a record sends it on.

        Less often than a claim, as the next number or an anti-entropy exchange makes up for a miss.
        """
        return 1 + math.ceil(math.log(members + 1))


def timing_from_settings(settings: FleetSettings) -> Timing:
    """Timing with the probe period and timeout of the settings."""
    return Timing(probe_period=settings.probe_ms * MS, direct_timeout=settings.timeout_ms * MS)
