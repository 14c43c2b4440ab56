"""What this gateway says of itself, and how it answers words about it that are wrong. Pure.

The boot number ranks the starts of one gateway's process and nothing else: it is taken from the wall clock only so that
it grows without a disk. Where the fleet holds a later one of this name, at this address or of a process that is no
more, the own one rises above it.
"""

from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.members.here import Booted, Here, Named
from rackhub.fleet.ports import Address, Member, MemberState

FRESH = 10_000_000  # microseconds after a new boot number in which each packet says whose it is


class Own:
    def __init__(
        self,
        here: Here,
        address: Address,
        boot: int,
        serves: Address | None,
        site: str,
        changed: Callable[[bool], None],
    ):
        """`changed` is called when others must be told; True: it is under another boot number."""
        self._here, self._changed = here, changed
        self.address, self.boot, self.serves, self.site = address, boot, serves, site
        self.incarnation, self.leaving, self.since = 0, False, here.now
        self._began = here.now
        self.clashes: dict[str, set[str]] = {}

    def claim(self) -> f.Claim:
        host, port = self.serves or ("", 0)
        return f.Claim(
            self._here.me,
            *self.address,
            self.boot,
            self.incarnation,
            f.LEFT if self.leaving else f.ALIVE,
            "",
            host,
            port,
            self.site,
        )

    def member(self) -> Member:
        return Member(
            self._here.me,
            self.address,
            self.boot,
            self.incarnation,
            MemberState.LEFT if self.leaving else MemberState.ALIVE,
            self.since,
            self.serves,
            self.site,
        )

    @property
    def fresh(self) -> bool:
        return self._here.now - self._began < FRESH

    def told(self, claim: f.Claim) -> bool:
        """Somebody's word about this gateway. False: it is nonsense. Suspicion and worse are refuted with the next
        incarnation, which holds against them."""
        here = self._here
        same = (claim.host, claim.port) == self.address
        if claim.boot >= f.MOST:
            return False
        if claim.boot < self.boot or self.leaving:
            return True
        if not same and claim.rank in (f.ALIVE, f.SUSPECT):
            self.clash(here.me, f"{claim.host}:{claim.port}")
        elif claim.boot > self.boot or not same or claim.incarnation >= f.MOST:
            self.boot, self.incarnation, self._began = claim.boot + 1, 0, here.now
            here.count("boots_raised")
            here.do(Booted(self.boot))
            self._changed(True)
        elif (claim.incarnation, claim.rank) > (self.incarnation, f.ALIVE):
            self.incarnation = claim.incarnation + 1
            here.count("refuted")
            self._changed(False)
        return True

    def leave(self) -> None:
        self.leaving, self.since = True, self._here.now
        self._changed(False)

    def clash(self, name: str, where: str) -> None:
        """Two processes say that they are the same gateway: for the operator, since nothing here can tell who is."""
        self._here.count("clashes")
        if name not in self.clashes and len(self.clashes) >= self._here.timing.clash_kept:
            return
        places = self.clashes.setdefault(name, set())
        if where not in places and len(places) < self._here.timing.clash_kept:
            places.add(where)
            self._here.do(Named("clash", {"name": name, "also": where}))
