"""Which datagrams an association takes: whole, of its cluster, for its process, of a sender that is known. Pure."""

from collections.abc import Callable
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.bucket import Bucket
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.remotes import Remote, Remotes
from rackhub.fleet.ports import Address, Name


class Admitted(NamedTuple):
    """A packet that is to be taken. `fresh`: it is the first of its sender's process."""

    remote: Remote
    packet: f.Packet
    fresh: bool


class Admission:
    """`fault` gets a counter's name and the sender for each datagram that is dropped."""

    def __init__(
        self,
        cluster: str,
        name: Name,
        boot: int,
        remotes: Remotes,
        limits: Limits,
        now: int,
        fault: Callable[[str, Name], None],
    ):
        self._cluster, self._name, self._boot, self._remotes = cluster, name, boot, remotes
        self._newcomers = Bucket(limits.newcomers, limits.newcomers, now)
        self._fault = fault

    def judge(self, now: int, data: bytes, source: Address | None) -> Admitted | None:
        """`source`: the address that the datagram came from, where it is known."""
        owner = self._remotes.configured_owner(source)
        try:
            packet = f.read(data)
        except f.Damaged as bad:
            self._fault(str(bad), owner)
            return None
        if packet.cluster != self._cluster:
            self._fault("other_cluster", packet.name)
        elif packet.to != self._name:
            self._fault("not_for_me", packet.name)
        elif packet.name == self._name:
            self._fault("own_packets" if packet.boot == self._boot else "address_clashes", packet.name)
        elif owner and owner != packet.name:
            self._fault("address_clashes", packet.name)
        else:
            return self._sender(now, packet)
        return None

    def _sender(self, now: int, packet: f.Packet) -> Admitted | None:
        remote = self._remotes.get(packet.name)
        if remote is not None and packet.boot < remote.boot:
            self._fault("old_packets", packet.name)
            return None
        fresh = remote is None or packet.boot > remote.boot
        if fresh:
            remote = self._newcomer(now, packet, remote)
        if remote is None:
            return None
        if not fresh and not remote.rate.take(now):
            self._fault("over_rate", packet.name)
            return None
        return Admitted(remote, packet, fresh)

    def _newcomer(self, now: int, packet: f.Packet, known: Remote | None) -> Remote | None:
        """A process heard for the first time. Learned ones share a rate, so that they can't use up this process."""
        if (known is None or not known.configured) and not self._newcomers.take(now):
            self._fault("newcomers_over", packet.name)
            return None
        claim = f.first_claim(packet)
        if claim is None:
            self._fault("strangers", packet.name)
            return None
        return self._remotes.admit(claim, now)
