"""What goes into the core of the members."""

from collections.abc import Sequence
from typing import NamedTuple

from rackhub.fleet.ports import Address, Name


class Start(NamedTuple):
    """What a process begins with. `seeds`: addresses to join at, the own one may be among them."""

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
    """A datagram is here, from wherever."""

    data: bytes


class PublishRecord(NamedTuple):
    """A record of this gateway."""

    kind: str
    body: bytes


class SendMessage(NamedTuple):
    """Mail."""

    to: Name
    kind: str
    body: bytes


class Leave(NamedTuple):
    """This process ends as planned."""


Event = Tick | DatagramReceived | PublishRecord | SendMessage | Leave
