"""A model of the register in virtual time: edits are decided by a majority and told to each voter.

An edit is acknowledged one way there and back to the third nearest voter after it was made. Each voter is told one way
later; one that is cut off from the first voter finds what it missed at its next look after the cut, and is told only
then that a majority has nothing newer.
"""

from rackhub.fleet.distribution.events import Confirmed, Decided, StoredState
from rackhub.fleet.distribution.messages import Change
from rackhub.trials.scale.audit import Acknowledged
from rackhub.trials.scale.editor import Editor, spacing
from rackhub.trials.scale.layout import Place
from rackhub.trials.scale.virtual_network import SECOND, Network

LOOK = 1 * SECOND  # between two looks of a voter for decisions that it missed


class VirtualRegister:
    """The editor is at the first voter."""

    def __init__(self, network: Network, voters: tuple[Place, ...], editor: Editor, initial: StoredState):
        self.acknowledged: list[Acknowledged] = []
        self._network, self._voters, self._editor = network, voters, editor
        self._first = initial.revision
        self._made = 0
        self._told = {voter.name: 0 for voter in voters}  # changes that each voter has been told of

    def start(self) -> None:
        """Each voter looks at its own times."""
        for index, voter in enumerate(self._voters):
            self._network.at(self._network.now + LOOK * (index + 1) * 3 // 17, self._look, voter)

    def edit_until(self, end: int, rate: float) -> None:
        """Edits at that multiple of the target's pace."""
        pause = spacing(rate) * SECOND
        at = self._network.now + pause
        while at < end:
            self._network.at(int(at), self.edit)
            at += pause

    def edit(self) -> None:
        self._made += 1
        change = self._editor.draw(self._first + self._made)
        first = self._voters[0]
        ways = sorted(2 * self._network.latency(first, voter) for voter in self._voters[1:])
        self._network.at(self._network.now + ways[len(self._voters) // 2 - 1], self._decided, change)

    def _decided(self, change: Change) -> None:
        """Revisions are handed out in order, whichever answer came first."""
        change = self._renumbered(change)
        self.acknowledged.append(Acknowledged(self._network.now, change))
        for voter in self._voters:
            self._tell(voter)

    def _renumbered(self, change: Change) -> Change:
        revision = self._first + len(self.acknowledged) + 1
        entries = tuple(type(entry)(entry.key, entry.value, revision) for entry in change.entries)
        return Change(revision, entries, change.id, change.author, change.reason)

    def _look(self, voter: Place) -> None:
        self._tell(voter)
        if not self._network.parted(self._voters[0], voter):
            way = self._network.latency(self._voters[0], voter)
            process = self._network.processes[voter.name]
            self._network.hand(process, process.boot, Confirmed(way))
        self._network.at(self._network.now + LOOK, self._look, voter)

    def _tell(self, voter: Place) -> None:
        first, known = self._voters[0], self._told[voter.name]
        if known == len(self.acknowledged) or self._network.parted(first, voter):
            return
        changes = tuple(acknowledged.change for acknowledged in self.acknowledged[known:])
        self._told[voter.name] = len(self.acknowledged)
        process = self._network.processes[voter.name]
        way = 0 if voter is first else self._network.latency(first, voter)
        decided = Decided(self._editor.log, changes)
        self._network.at(self._network.now + way, self._network.hand, process, process.boot, decided)
