"""A view of the members without some names, for components that concern only those that serve requests."""

from collections.abc import Callable, Mapping

from rackhub.fleet.ports import Member, Members, Name


class MembersWithout:
    """`ports.Members` without `names`. The local name always stays."""

    def __init__(self, members: Members, names: frozenset[Name]):
        self.local_name = members.local_name
        self._members = members
        self._names = names - {members.local_name}

    def all(self) -> Mapping[Name, Member]:
        """All known members but those names."""
        return {name: member for name, member in self._members.all().items() if name not in self._names}

    def live(self) -> frozenset[Name]:
        """The live members but those names."""
        return self._members.live() - self._names

    def reachable(self) -> frozenset[Name]:
        """The reachable members but those names."""
        return self._members.reachable() - self._names

    def receives_from(self, one: Name, other: Name) -> bool | None:
        """Return whether `one` receives from `other`; None if not known, or if either is left out."""
        return None if self._names & {one, other} else self._members.receives_from(one, other)

    def follow(self, call: Callable[[Member], None]) -> None:
        """Call `call` after each change of a member that is not left out."""

        def forward(member: Member) -> None:
            if member.name not in self._names:
                call(member)

        self._members.follow(forward)
