"""What this gateway says of itself, and how it answers words about it that are wrong. Pure.

The boot number ranks the starts of one gateway's process and nothing else: it is taken from the wall clock only so that
it grows without a disk. Where the fleet holds a later one of this name, at this address or of a process that is no
more, the own one rises above it.
"""

from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.context import Context, GenerationRaised, OperatorWarning
from rackhub.fleet.ports import Address, Member, MemberState

INTRODUCTION_PERIOD = 10_000_000  # microseconds after a new boot number in which each packet says whose it is


class LocalMember:
    def __init__(
        self,
        context: Context,
        address: Address,
        generation: int,
        client_address: Address | None,
        site: str,
        on_change: Callable[[bool], None],
    ):
        """`changed` is called when others must be told; True: it is under another boot number."""
        self._context, self._on_change = context, on_change
        self.address, self.generation, self.client_address, self.site = address, generation, client_address, site
        self.incarnation, self.leaving, self.since = 0, False, context.now
        self._generation_began = context.now
        self.clashes: dict[str, set[str]] = {}

    def claim(self) -> f.Claim:
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
        return self._context.now - self._generation_began < INTRODUCTION_PERIOD

    def handle_claim(self, claim: f.Claim) -> bool:
        """Somebody's word about this gateway. False: it is nonsense. Suspicion and worse are refuted with the next
        incarnation, which holds against them."""
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
        self.leaving, self.since = True, self._context.now
        self._on_change(False)

    def report_clash(self, name: str, address: str) -> None:
        """Two processes say that they are the same gateway: for the operator, since nothing here can tell who is."""
        self._context.count("clashes")
        if name not in self.clashes and len(self.clashes) >= self._context.timing.max_reported_names:
            return
        addresses = self.clashes.setdefault(name, set())
        if address not in addresses and len(addresses) < self._context.timing.max_reported_names:
            addresses.add(address)
            self._context.emit(OperatorWarning("clash", {"name": name, "also": address}))
