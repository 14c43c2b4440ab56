"""Hard case 4, its sharpest part: a keeper that is killed when it has accepted and nobody knows."""

from rackhub.trials.processes.cases.case import Case
from rackhub.trials.processes.cases.rules import PLAN, edited, keepers
from rackhub.trials.processes.forger import AtAnswer
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.trial import Verdict


def between(rig: Rig, seed: int, brief: bool) -> Verdict:
    """The switch takes its word of `Accepted` away and kills it in the same moment; it comes back with its disk. Some
    times over, while two operators edit and undo."""
    whom = keepers(rig)[-1]

    def kill() -> None:
        rig.processes.by_name[whom].kill()
        rig.reactor.callLater(1.0, rig.restart_when_ended, whom)

    tap = rig.switch.tap = AtAnswer(whom, kill, 1 if brief else 3)
    names = rig.plan.gateway_names()
    verdict = edited(rig, seed, "rules-at-answer", (), 6.0 if brief else 14.0, [names[:1], names[1:2]])
    rig.switch.tap = None
    verdict.figures["killed_at_answer"] = tap.killed
    if not tap.killed:
        verdict.unsettled.append("no word of a keeper passed: it was never killed, and nothing is proved")
    return verdict


CASES = (
    Case(
        "rules-at-answer",
        "a keeper is killed between accept and answer, and comes back with its disk",
        between,
        ("members", "rules"),
        PLAN,
    ),
)
