"""Members of a fleet with some names left out."""

from rackhub.fleet.members.subset import MembersWithout
from rackhub.fleet.ports import Member, MemberState


class Three:
    """`a`, the own one, hears `b` and `r`; `b` and `r` hear one another."""

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


def test_the_names_are_in_nothing_that_is_told():
    members = MembersWithout(Three(), frozenset("r"))
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


def test_changes_of_those_names_are_not_passed_on():
    three, told = Three(), []
    MembersWithout(three, frozenset("r")).follow(told.append)
    for name in "br":
        three.calls[0](member(name))
    assert [each.name for each in told] == ["b"]


def test_the_own_name_is_never_left_out():
    assert MembersWithout(Three(), frozenset("ab")).live() == {"a", "r"}
