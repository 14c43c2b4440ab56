"""The local member: the claim about it, and the refutation of wrong claims about it. Pure.

The generation ranks the starts of one gateway's process and nothing else. It is taken from the wall clock only so that
it grows without a disk. If other members hold a later generation of this name, for this address or for a process that
has ended, the local one rises above it.
"""

from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context, GenerationRaised, OperatorWarning
from rackhub.fleet.ports import Address, Member, MemberState

INTRODUCTION_PERIOD = 10_000_000  # microseconds after a new generation in which each packet carries the local claim


class LocalMember:
    """The state that this gateway claims for itself."""

    def __init__(
        self,
        context: Context,
        address: Address,
        generation: int,
        client_address: Address | None,
        site: str,
        on_change: Callable[[bool], None],
    ):
        """`on_change` is called when the claim is to be disseminated, with True if the generation was raised."""
        self._context, self._on_change = context, on_change
        self.address, self.generation, self.client_address, self.site = address, generation, client_address, site
        self.incarnation, self.leaving, self.since = 0, False, context.now
        self._generation_began = context.now
        self.clashes: dict[str, set[str]] = {}

    def claim(self) -> f.Claim:
        """The claim to disseminate."""
        host, port = self.client_address or ("", 0)
        return f.Claim(
            self._context.local_name,
            *self.address,
            self.generation,
            self.incarnation,
            f.LEFT if self.leaving else f.ALIVE,
            "",
            host,
            port,
            self.site,
        )

    def member(self) -> Member:
        """The local member as reported to other components."""
        return Member(
            self._context.local_name,
            self.address,
            self.generation,
            self.incarnation,
            MemberState.LEFT if self.leaving else MemberState.ALIVE,
            self.since,
            self.client_address,
            self.site,
        )

    @property
    def recently_started(self) -> bool:
        """True for a while after a new generation, while each packet carries the local claim."""
        return self._context.now - self._generation_began < INTRODUCTION_PERIOD

    def handle_claim(self, claim: f.Claim) -> bool:
        """Handle a claim by another member about this gateway. Return False if it is implausible.

        A claim of suspicion or death is refuted by the next incarnation, which takes precedence. A claim with a later
        generation, or of a dead process at another address, raises the generation.
        """
        context = self._context
        same_address = (claim.host, claim.port) == self.address
        if claim.generation >= f.MAX_COUNT:
            return False
        if claim.generation < self.generation or self.leaving:
            return True
        if not same_address and claim.rank in (f.ALIVE, f.SUSPECT):
            self.report_clash(context.local_name, f"{claim.host}:{claim.port}")
        elif claim.generation > self.generation or not same_address or claim.incarnation >= f.MAX_COUNT:
            self.generation, self.incarnation, self._generation_began = claim.generation + 1, 0, context.now
            context.count("boots_raised")
            context.emit(GenerationRaised(self.generation))
            self._on_change(True)
        elif (claim.incarnation, claim.rank) > (self.incarnation, f.ALIVE):
            self.incarnation = claim.incarnation + 1
            context.count("refuted")
            self._on_change(False)
        return True

    def leave(self) -> None:
        """Mark this gateway as leaving."""
        self.leaving, self.since = True, self._context.now
        self._on_change(False)

    def report_clash(self, name: str, address: str) -> None:
        """Report two processes with the same name.

        An operator has to decide, as this gateway can't tell which is right.
        """
        self._context.count("clashes")
        if name not in self.clashes and len(self.clashes) >= self._context.timing.max_reported_names:
            return
        addresses = self.clashes.setdefault(name, set())
        if address not in addresses and len(addresses) < self._context.timing.max_reported_names:
            addresses.add(address)
            self._context.emit(OperatorWarning("clash", {"name": name, "also": address}))
