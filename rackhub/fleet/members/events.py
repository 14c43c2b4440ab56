"""Input events of the membership core."""

from collections.abc import Sequence
from typing import NamedTuple

from rackhub.fleet.ports import Address, Name


class Start(NamedTuple):
    """Parameters of a process start. `seeds` are addresses to join at, and may include the local address."""

    cluster: str
    name: Name
    address: Address
    generation: int
    client_address: Address | None = None
    site: str = ""
    seeds: Sequence[Address] = ()
    seed: int = 0


class Tick(NamedTuple):
    """Time has passed."""


class DatagramReceived(NamedTuple):
    """A datagram was received; its source address is not used."""

    data: bytes


class PublishRecord(NamedTuple):
    """Publish a record of the local member."""

    kind: str
    body: bytes


class SendMessage(NamedTuple):
    """Send a message to a member."""

    to: Name
    kind: str
    body: bytes


class Leave(NamedTuple):
    """The local process ends as planned."""


Event = Tick | DatagramReceived | PublishRecord | SendMessage | Leave
