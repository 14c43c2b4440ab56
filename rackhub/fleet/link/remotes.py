"""The processes that an association exchanges messages with: addresses, generations and limits. Pure.

Peers of the directory are reached at their configured address and never forgotten. Others are learned, up to a limit,
from the claim that their first packet starts with, and forgotten after a time without packets.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.ports import Address, Name


class WaitingMessage(NamedTuple):
    """A message to a process whose generation is not known yet. It is dropped at `expires_at`."""

    kind: str
    body: bytes
    expires_at: int


class Remote:
    """What is known of one other process. Generation 0: no packet received yet."""

    __slots__ = (
        "name",
        "address",
        "configured",
        "generation",
        "inbox",
        "packet_bucket",
        "waiting",
        "waiting_bytes",
        "stamp",
        "stamp_at",
        "last_received",
        "knows_local_process",
        "next_greeting_at",
        "greeting_count",
        "answered_at",
    )

    def __init__(self, name: Name, address: Address, configured: bool, limits: Limits, now: int):
        self.name, self.address, self.configured = name, address, configured
        self.packet_bucket = TokenBucket(limits.packets_per_second, limits.packet_burst, now)
        self.waiting: list[WaitingMessage] = []
        self.waiting_bytes = 0
        self.begin(0, now)

    def begin(self, generation: int, now: int) -> None:
        """Reset to a new process of that generation. Only waiting messages are kept."""
        self.generation, self.last_received, self.knows_local_process = generation, now, False
        self.stamp = self.stamp_at = 0
        self.inbox: Inbox | None = None
        self.next_greeting_at = now
        self.greeting_count = 0
        self.answered_at: int | None = None

    def queue_message(self, message: WaitingMessage, limits: Limits) -> bool:
        """Queue a message until the generation is known. Return False if the queue is full."""
        if (
            len(self.waiting) >= limits.max_waiting_messages
            or self.waiting_bytes + len(message.body) > limits.max_waiting_bytes
        ):
            return False
        self.waiting.append(message)
        self.waiting_bytes += len(message.body)
        return True

    def take_waiting(self) -> list[WaitingMessage]:
        """Remove and return all waiting messages."""
        messages, self.waiting = self.waiting, []
        self.waiting_bytes = 0
        return messages

    def expire_waiting(self, now: int) -> int:
        """Drop waiting messages that have expired, and return their number."""
        dropped = 0
        while self.waiting and now >= self.waiting[0].expires_at:
            self.waiting_bytes -= len(self.waiting.pop(0).body)
            dropped += 1
        return dropped


class Remotes:
    """All known processes by name. `count` gets a counter's name and the sender at fault."""

    def __init__(self, directory: Mapping[Name, Address], limits: Limits, now: int, count: Callable[[str, str], None]):
        self._limits, self._count = limits, count
        self._configured_names = {address: name for name, address in directory.items()}
        self._remotes = {name: Remote(name, address, True, limits, now) for name, address in directory.items()}
        self._learned = 0

    def get(self, name: Name) -> Remote | None:
        """The process with that name, None if unknown."""
        return self._remotes.get(name)

    def all(self) -> Iterator[Remote]:
        """All known processes."""
        yield from self._remotes.values()

    def configured_owner(self, address: Address | None) -> Name:
        """The name that the directory has for this address, empty if none."""
        return self._configured_names.get(address, "") if address is not None else ""

    def admit(self, claim: f.Claim, now: int) -> Remote | None:
        """Admit the process that sent this claim about itself, with a greater generation than the one held.

        Return None if it is rejected.
        """
        address = (claim.host, claim.port)
        if self._has_address_clash(claim.name, address):
            self._count("address_clashes", claim.name)
            return None
        remote = self._remotes.get(claim.name)
        if remote is None:
            if self._learned >= self._limits.max_learned_peers:
                self._count("peers_over", "")
                return None
            remote = self._remotes[claim.name] = Remote(claim.name, address, False, self._limits, now)
            self._learned += 1
        remote.address = address
        remote.begin(claim.generation, now)
        return remote

    def _has_address_clash(self, name: Name, address: Address) -> bool:
        """True if the address is configured for another name, or the name for another address."""
        owner = self.configured_owner(address)
        if owner:
            return owner != name
        remote = self._remotes.get(name)
        return remote is not None and remote.configured

    def forget_idle(self, now: int) -> list[Name]:
        """Forget processes without packets for too long: learned ones altogether, of configured ones the generation."""
        idle = [
            candidate
            for candidate in self._remotes.values()
            if now - candidate.last_received >= self._limits.peer_idle_timeout
        ]
        forgotten = []
        for remote in idle:
            if remote.generation:
                forgotten.append(remote.name)
            if remote.configured:
                if remote.generation:
                    remote.begin(0, now)
            else:
                del self._remotes[remote.name]
                self._learned -= 1
        return forgotten
