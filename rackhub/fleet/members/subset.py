"""The members of a fleet without some names: for parts that concern only those who serve requests."""

from collections.abc import Callable, Mapping

from rackhub.fleet.ports import Member, Members, Name


class MembersWithout:
    """`ports.Members` as another one tells of them, with `names` left out; the own name stays."""

    def __init__(self, members: Members, names: frozenset[Name]):
        self.me = members.me
        self._members = members
        self._names = names - {members.me}

    def all(self) -> Mapping[Name, Member]:
        return {name: member for name, member in self._members.all().items() if name not in self._names}

    def living(self) -> frozenset[Name]:
        return self._members.living() - self._names

    def heard(self) -> frozenset[Name]:
        return self._members.heard() - self._names

    def hears(self, one: Name, other: Name) -> bool | None:
        return None if self._names & {one, other} else self._members.hears(one, other)

    def follow(self, call: Callable[[Member], None]) -> None:
        def followed(member: Member) -> None:
            if member.name not in self._names:
                call(member)

        self._members.follow(followed)
