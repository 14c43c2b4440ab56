"""The members of a fleet without some names: for parts that concern only those who serve requests."""

from collections.abc import Callable, Mapping

from rackhub.fleet.ports import Member, Members, Name


class MembersWithout:
    """`ports.Members` as another one tells of them, with `names` left out; the own name stays."""

    def __init__(self, members: Members, names: frozenset[Name]):
        self.local_name = members.local_name
        self._members = members
        self._names = names - {members.local_name}

    def all(self) -> Mapping[Name, Member]:
        return {name: member for name, member in self._members.all().items() if name not in self._names}

    def live(self) -> frozenset[Name]:
        return self._members.live() - self._names

    def reachable(self) -> frozenset[Name]:
        return self._members.reachable() - self._names

    def receives_from(self, one: Name, other: Name) -> bool | None:
        return None if self._names & {one, other} else self._members.receives_from(one, other)

    def follow(self, call: Callable[[Member], None]) -> None:
        def forward(member: Member) -> None:
            if member.name not in self._names:
                call(member)

        self._members.follow(forward)
