"""Which datagrams an association takes: whole, of its cluster, for its process, of a sender that is known. Pure."""

from collections.abc import Callable
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.remotes import Remote, Remotes
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.ports import Address, Name


class Admitted(NamedTuple):
    """A packet that is to be taken. `fresh`: it is the first of its sender's process."""

    remote: Remote
    packet: f.Packet
    is_new_process: bool


class Admission:
    """`fault` gets a counter's name and the sender for each datagram that is dropped."""

    def __init__(
        self,
        cluster: str,
        name: Name,
        generation: int,
        remotes: Remotes,
        limits: Limits,
        now: int,
        count_fault: Callable[[str, Name], None],
    ):
        self._cluster, self._name, self._generation, self._remotes = cluster, name, generation, remotes
        self._newcomer_bucket = TokenBucket(limits.newcomer_packets_per_second, limits.newcomer_packets_per_second, now)
        self._count_fault = count_fault

    def check(self, now: int, data: bytes, source: Address | None) -> Admitted | None:
        """`source`: the address that the datagram came from, where it is known."""
        owner = self._remotes.configured_owner(source)
        try:
            packet = f.decode_datagram(data)
        except f.FrameError as error:
            self._count_fault(str(error), owner)
            return None
        if packet.cluster != self._cluster:
            self._count_fault("other_cluster", packet.name)
        elif packet.to != self._name:
            self._count_fault("not_for_me", packet.name)
        elif packet.name == self._name:
            self._count_fault(
                "own_packets" if packet.generation == self._generation else "address_clashes", packet.name
            )
        elif owner and owner != packet.name:
            self._count_fault("address_clashes", packet.name)
        else:
            return self._check_sender(now, packet)
        return None

    def _check_sender(self, now: int, packet: f.Packet) -> Admitted | None:
        remote = self._remotes.get(packet.name)
        if remote is not None and packet.generation < remote.generation:
            self._count_fault("old_packets", packet.name)
            return None
        is_new_process = remote is None or packet.generation > remote.generation
        if is_new_process:
            remote = self._admit_newcomer(now, packet, remote)
        if remote is None:
            return None
        if not is_new_process and not remote.packet_bucket.take(now):
            self._count_fault("over_rate", packet.name)
            return None
        return Admitted(remote, packet, is_new_process)

    def _admit_newcomer(self, now: int, packet: f.Packet, previous: Remote | None) -> Remote | None:
        """A process heard for the first time. Learned ones share a rate, so that they can't use up this process."""
        if (previous is None or not previous.configured) and not self._newcomer_bucket.take(now):
            self._count_fault("newcomers_over", packet.name)
            return None
        claim = f.first_claim(packet)
        if claim is None:
            self._count_fault("strangers", packet.name)
            return None
        return self._remotes.admit(claim, now)
