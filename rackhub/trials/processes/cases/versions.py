"""Hard case 4's last one: two versions of the program side by side, under edits, then rolled over to the newer one."""

import shutil
import subprocess
import tempfile
from pathlib import Path

import rackhub
from rackhub.trials.processes.cases.case import Case, comes_about, step
from rackhub.trials.processes.cases.members import states, whole
from rackhub.trials.processes.cases.rules import HEAL, PLAN, edited
from rackhub.trials.processes.clock import until
from rackhub.trials.processes.rig import Rig
from rackhub.trials.processes.trial import Verdict

PART = "rackhub/fleet/part.py"


def git(*words: str) -> bytes:
    """Raises `RuntimeError` with git's reason."""
    try:
        return subprocess.run(
            ["git", *words], cwd=Path(rackhub.__file__).parents[1], capture_output=True, check=True, timeout=30
        ).stdout
    except (OSError, subprocess.SubprocessError) as bad:
        told = getattr(bad, "stderr", None) or str(bad).encode()
        raise RuntimeError(f"git {words[0]}: {told.decode(errors='replace').strip()[:200]}") from None


def earlier() -> str:
    """The oldest commit of this repository whose fleet has the rule book. Raises `RuntimeError` where there is none
    that this version is not the same as."""
    commits = git("log", "--format=%H", "--", PART).decode().split()
    able = [each for each in commits if b"rules" in git("show", f"{each}:{PART}")]
    if not able or git("rev-parse", f"{able[-1]}:rackhub") == git("rev-parse", "HEAD:rackhub"):
        raise RuntimeError("this repository has no earlier commit with the fleet's rule book")
    return able[-1]


def unpack(commit: str, place: Path) -> None:
    """The program as it was, into this folder. An archive and no `git worktree`: a rig that is killed leaves nothing in
    the repository."""
    packed = place / "code.tar"
    packed.write_bytes(git("archive", commit, "rackhub"))
    shutil.unpack_archive(packed, place, filter="data")


def versions(rig: Rig, seed: int, brief: bool) -> Verdict:
    """Half of the gateways run what was; edits are made at one of each. Then each of the old ones gets SIGTERM and
    starts again as the new program."""
    names = rig.plan.gateway_names()
    old = names[1::2]
    with tempfile.TemporaryDirectory(prefix="rackhub-rig-code-") as place:
        try:
            commit = earlier()
            unpack(commit, Path(place))
        except RuntimeError as why:
            return Verdict("versions", seed, skipped=str(why))
        for name in old:
            process = rig.processes.by_name[name]
            process.term()
            until(rig.reactor, lambda process=process: not process.running(), 30.0, f"{name}'s end")  # type: ignore[misc]
            process.code = Path(place)
            rig.start(name)
        rig.wait_ready(old)
        if not comes_about(rig, lambda: whole(rig), HEAL):
            return Verdict("versions", seed, unsettled=[f"the two versions are never one fleet: {states(rig)}"])
        end = 9.0 if brief else 16.0

        def renew(name: str) -> None:
            rig.processes.by_name[name].code = None

        steps = []
        for number, name in enumerate(old):
            at = 4.0 + number * 1.5
            rig.reactor.callLater(at, renew, name)
            steps += [step(at, "term", (name,)), step(at + 0.1, "start", (name,))]
        verdict = edited(rig, seed, "versions", tuple(steps), end, [names[:1], names[1:2]])
        verdict.figures["earlier"] = commit[:7]
        if not comes_about(rig, lambda: whole(rig), HEAL):
            verdict.unsettled.append(f"members given up and not taken back: {states(rig)}")
        return verdict


CASES = (
    Case(
        "versions",
        "half of the gateways run an earlier commit of the program, then are rolled over",
        versions,
        ("members", "rules"),
        PLAN,
    ),
)
