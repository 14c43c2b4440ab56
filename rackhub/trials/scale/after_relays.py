"""One change through relays, at the sizes of the table of one change by today's way.

From pairs of recorded runs in virtual time of the same size, one with changes at ten times the target's pace and one
without any. The difference is what the changes cost, as heartbeats and reports go on in both.
"""

import msgspec

from rackhub.trials.scale.markdown import number, table
from rackhub.trials.scale.page_data import PageData
from rackhub.trials.scale.run_files import RunFile

ZONE_RELAYS = 2  # relays in a run of one zone


class Pair(msgspec.Struct, frozen=True):
    """Two runs of one size."""

    size: int
    busy: RunFile
    quiet: RunFile

    @property
    def changes(self) -> int:
        return self.busy.verdict.changes or 1

    def a_change(self, busy: float, quiet: float) -> float:
        """Of a figure that is a second: what one change added."""
        return (busy - quiet) * self.busy.seconds / self.changes

    @property
    def receiver_bytes(self) -> float:
        return self.a_change(self.busy.cost.bytes_a_second or 0.0, self.quiet.cost.bytes_a_second or 0.0)

    @property
    def relay_bytes_out(self) -> float:
        return self.a_change(self.busy.relay_bytes_out or 0.0, self.quiet.relay_bytes_out or 0.0)

    def messages(self, *names: str) -> float:
        """Messages of these types that one change added, by all senders together; all types where none is named."""
        counted = names or tuple(self.busy.counters.keys() | self.quiet.counters.keys())
        added = sum(self.busy.counters.get(name, 0) - self.quiet.counters.get(name, 0) for name in counted)
        return added / self.changes


def pairs(data: PageData) -> list[Pair]:
    """By size."""
    found: dict[tuple[str, int], RunFile] = {}
    for named in data.runs:
        run = named.run
        if run.time == "virtual" and run.relays == ZONE_RELAYS and run.coordinators is not None and run.counters:
            found[run.case, run.coordinators] = run
    sizes = sorted(size for case, size in found if case == "tenfold" and ("quiet", size) in found)
    return [Pair(size, found["tenfold", size], found["quiet", size]) for size in sizes]


def after_table(data: PageData) -> str:
    """One change through relays."""
    measured = pairs(data)
    if not measured:
        return "No pair of runs is kept yet."
    receiver = ("relay_sent_Update", "coordinator_sent_Acknowledge")
    figures = (
        ("in force", "ms", lambda pair: pair.busy.verdict.everywhere.p50 * 1_000),
        ("voters' updates, to all relays", "messages a change", lambda pair: pair.messages("voter_sent_Update")),
        ("receiver messages", "messages a change", lambda pair: pair.messages(*receiver) / pair.size),
        ("receiver bytes", "bytes a change", lambda pair: pair.receiver_bytes),
        ("relay bytes, sent by each", "bytes a change", lambda pair: pair.relay_bytes_out),
        ("total messages", "messages a change", lambda pair: pair.messages()),
        ("bytes of all receivers", "bytes a change", lambda pair: pair.receiver_bytes * pair.size),
    )
    heads = ["figure", "unit", *(number(pair.size) for pair in measured)]
    return table(heads, [[name, unit, *(number(of(pair)) for pair in measured)] for name, unit, of in figures])
