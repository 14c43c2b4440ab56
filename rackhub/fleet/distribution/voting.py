"""Messages between voters, in addition to those of the register, by which each learns what a majority has chosen."""

import logging
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.messages import Change, LogId, Revision
from rackhub.fleet.ports import Fleet, Name

log = logging.getLogger(__name__)

KIND = "distribution.voters"  # the kind of link message that carries these messages
REGISTER = "distribution.register"  # name of this register; the rule set of a fleet without relays has its own


class ChosenChanges(msgspec.Struct, frozen=True, array_like=True, tag="chosen"):
    """Changes that a majority of the voters has chosen, in order of revision."""

    log: LogId
    changes: tuple[Change, ...]


class SyncedRevision(msgspec.Struct, frozen=True, array_like=True, tag="newest"):
    """The newest revision that is synced to the sender's disk."""

    revision: Revision


VoterMessage = ChosenChanges | SyncedRevision

_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], VoterMessage] = msgspec.msgpack.Decoder(VoterMessage).decode  # type: ignore[arg-type]


class VoterMessenger:
    """Sends messages to the other voters and receives theirs. Messages of other senders are dropped and counted."""

    def __init__(self, fleet: Fleet, voters: tuple[Name, ...], on_message: Callable[[Name, VoterMessage], None]):
        self._fleet, self._on_voter_message = fleet, on_message
        self._others = tuple(name for name in voters if name != fleet.members.local_name)

    def start(self) -> None:
        """Subscribe to the messages of the other voters."""
        self._fleet.messenger.subscribe(KIND, self._on_message)

    def send(self, to: Name, message: VoterMessage) -> None:
        """Send a message to one voter."""
        self._fleet.messenger.send(to, KIND, _encode(message))

    def send_all(self, message: VoterMessage) -> None:
        """Send a message to each of the other voters."""
        for name in self._others:
            self.send(name, message)

    def _on_message(self, sender: Name, body: bytes) -> None:
        if sender not in self._others:
            return self._fleet.add_count("distribution_foreign_voters", 1)
        try:
            message = _decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            log.warning("fleet: a message of voter %s can't be decoded", sender)
            return self._fleet.add_count("distribution_unreadable", 1)
        self._on_voter_message(sender, message)
