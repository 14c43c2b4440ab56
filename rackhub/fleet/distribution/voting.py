"""What voters say to one another beside the register's own mail, so that each learns what a majority has chosen."""

import logging
from collections.abc import Callable

import msgspec

from rackhub.fleet.distribution.messages import Change, LogId, Revision
from rackhub.fleet.ports import Fleet, Name

log = logging.getLogger(__name__)

KIND = "distribution.voters"  # of mail
REGISTER = "distribution.register"  # its name beside the rule book's


class ChosenChanges(msgspec.Struct, frozen=True, array_like=True, tag="chosen"):
    """A majority has chosen these changes, in order."""

    log: LogId
    changes: tuple[Change, ...]


class NewestRevision(msgspec.Struct, frozen=True, array_like=True, tag="newest"):
    """The newest revision that the sender holds."""

    revision: Revision


VoterMessage = ChosenChanges | NewestRevision

_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], VoterMessage] = msgspec.msgpack.Decoder(VoterMessage).decode  # type: ignore[arg-type]


class VoterMail:
    """Takes messages of the other voters, and drops those of anybody else."""

    def __init__(self, fleet: Fleet, voters: tuple[Name, ...], take: Callable[[Name, VoterMessage], None]):
        self._fleet, self._take = fleet, take
        self._others = tuple(name for name in voters if name != fleet.members.local_name)

    def start(self) -> None:
        self._fleet.messenger.subscribe(KIND, self._mailed)

    def send(self, to: Name, message: VoterMessage) -> None:
        self._fleet.messenger.send(to, KIND, _encode(message))

    def send_all(self, message: VoterMessage) -> None:
        for name in self._others:
            self.send(name, message)

    def _mailed(self, sender: Name, body: bytes) -> None:
        if sender not in self._others:
            return self._fleet.add_count("distribution_foreign_voters", 1)
        try:
            message = _decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            log.warning("fleet: mail of voter %s can't be read", sender)
            return self._fleet.add_count("distribution_unreadable", 1)
        self._take(sender, message)
