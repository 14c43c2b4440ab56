"""A view of the members without some names."""

from rackhub.fleet.members.subset import MembersWithout
from rackhub.fleet.ports import Member, MemberState


class ThreeMembers:
    """`a`, the local member, reaches `b` and `r`; `b` and `r` reach each other."""

    local_name = "a"

    def __init__(self):
        self.calls = []

    def all(self):
        return {name: member(name) for name in "abr"}

    def live(self):
        return frozenset("abr")

    def reachable(self):
        return frozenset("abr")

    def receives_from(self, one, other):
        return True

    def follow(self, call):
        self.calls.append(call)


def member(name):
    return Member(name, ("127.0.0.1", 1), 1, 0, MemberState.ALIVE, 0)


def test_excluded_names_are_in_no_result():
    members = MembersWithout(ThreeMembers(), frozenset("r"))
    assert (members.local_name, set(members.all()), members.live(), members.reachable()) == (
        "a",
        {"a", "b"},
        {"a", "b"},
        {"a", "b"},
    )
    assert (
        members.receives_from("a", "b") is True
        and members.receives_from("a", "r") is None
        and members.receives_from("r", "b") is None
    )


def test_changes_of_excluded_names_are_not_passed_on():
    members, received = ThreeMembers(), []
    MembersWithout(members, frozenset("r")).follow(received.append)
    for name in "br":
        members.calls[0](member(name))
    assert [changed.name for changed in received] == ["b"]


def test_the_local_name_is_never_excluded():
    assert MembersWithout(ThreeMembers(), frozenset("ab")).live() == {"a", "r"}
