"""The processes that an association exchanges mail with: their addresses, boot numbers and bounds. Pure.

Peers of the directory are reached at their configured address and never forgotten. Others are learned from the claim
that their first packet begins with, up to a number, and forgotten when they have been silent for long enough.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.token_bucket import TokenBucket
from rackhub.fleet.ports import Address, Name


class WaitingMessage(NamedTuple):
    """Mail to a process whose boot number is not known yet; dropped after `until`."""

    kind: str
    body: bytes
    expires_at: int


class Remote:
    """What is known of one other process. `boot` 0: nothing has come from it yet."""

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
        """A process of that boot number begins here: nothing of an earlier one is left but the mail that waits."""
        self.generation, self.last_received, self.knows_local_process = generation, now, False
        self.stamp = self.stamp_at = 0
        self.inbox: Inbox | None = None
        self.next_greeting_at = now
        self.greeting_count = 0
        self.answered_at: int | None = None

    def queue_message(self, message: WaitingMessage, limits: Limits) -> bool:
        """Whether there was room for mail that waits for the boot number."""
        if (
            len(self.waiting) >= limits.max_waiting_messages
            or self.waiting_bytes + len(message.body) > limits.max_waiting_bytes
        ):
            return False
        self.waiting.append(message)
        self.waiting_bytes += len(message.body)
        return True

    def take_waiting(self) -> list[WaitingMessage]:
        messages, self.waiting = self.waiting, []
        self.waiting_bytes = 0
        return messages

    def expire_waiting(self, now: int) -> int:
        """Drop mail that has waited for too long; how many pieces."""
        dropped = 0
        while self.waiting and now >= self.waiting[0].expires_at:
            self.waiting_bytes -= len(self.waiting.pop(0).body)
            dropped += 1
        return dropped


class Remotes:
    """All of them by name. `count` gets a counter's name and the sender at fault."""

    def __init__(self, directory: Mapping[Name, Address], limits: Limits, now: int, count: Callable[[str, str], None]):
        self._limits, self._count = limits, count
        self._configured_names = {address: name for name, address in directory.items()}
        self._remotes = {name: Remote(name, address, True, limits, now) for name, address in directory.items()}
        self._learned = 0

    def get(self, name: Name) -> Remote | None:
        return self._remotes.get(name)

    def all(self) -> Iterator[Remote]:
        yield from self._remotes.values()

    def configured_owner(self, address: Address | None) -> Name:
        """The name of the directory that has this address; empty: none."""
        return self._configured_names.get(address, "") if address is not None else ""

    def admit(self, claim: f.Claim, now: int) -> Remote | None:
        """The process that says so of itself, whose boot number is greater than what is held; None: not admitted."""
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
        """Whether the address is configured for another name, or the name for another address."""
        owner = self.configured_owner(address)
        if owner:
            return owner != name
        remote = self._remotes.get(name)
        return remote is not None and remote.configured

    def forget_idle(self, now: int) -> list[Name]:
        """Those heard of for too long ago: learned ones go, of configured ones only the boot number does."""
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
