"""Starts, watches, pauses and ends `rackhub serve` processes, and only those that it started.

Each runs in a session of its own, so that a Ctrl-C at the rig does not reach it before the rig has ended it in order;
when the rig ends, however that comes about, all of them are ended: by `close`, by `atexit`, and by the system where the
rig itself is killed.
"""

import atexit
import ctypes
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rackhub.fleet.ports import Clock

DEATHSIG = 1  # prctl: a signal for this process when its parent ends
MOST = 24


def _with_parent(parent: int) -> None:
    """In the child: end when the rig does, also where it is killed and can't end anyone."""
    ctypes.CDLL(None).prctl(DEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os._exit(1)


class Process:
    """One `rackhub serve` under a name, over all its starts."""

    def __init__(self, name: str, place: Path, clock: Clock):
        self.name, self.place, self._clock = name, place, clock
        self.boot, self.paused = 0, False
        self.code: Path | None = None  # where the program is that it starts from; None: this one
        self._child: subprocess.Popen[bytes] | None = None
        self.log = place / f"{name}.log"
        self.away: list[tuple[int, int | None]] = []  # when it was paused or down, by whoever called; None: still
        self.told_to_end = 0  # when SIGTERM was sent to the present start
        self.crashed: list[str] = []  # ends that nobody asked for
        self._asked_to_end = False

    def start(self, words: list[str]) -> None:
        if self.running():
            raise RuntimeError(f"{self.name} runs already")
        self.boot += 1
        home = self.place / f"{self.name}.tmp"
        home.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        parent = os.getpid()
        with open(self.log, "ab") as log:
            log.write(b"---- start %d\n" % self.boot)
            log.flush()
            self._child = subprocess.Popen(
                [sys.executable, "-m", "rackhub", "serve", *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.code,
                env=environment | {"TMPDIR": str(home)},
                start_new_session=True,
                preexec_fn=lambda: _with_parent(parent),
            )
        self.told_to_end, self._asked_to_end, self.paused = 0, False, False

    @property
    def pid(self) -> int:
        return self._child.pid if self._child else 0

    def running(self) -> bool:
        if self._child is None:
            return False
        status = self._child.poll()
        if status is None:
            return True
        if not self._asked_to_end:
            self._asked_to_end = True
            self.crashed.append(f"{self.name} ended by itself with status {status}")
            self._leave()
        return False

    def _send(self, number: int) -> None:
        if self.running() and self._child is not None:
            self._child.send_signal(number)

    def _leave(self) -> None:
        if not self.away or self.away[-1][1] is not None:
            self.away.append((self._clock.now(), None))

    def back(self) -> None:
        """It serves (again)."""
        if self.away and self.away[-1][1] is None:
            self.away[-1] = self.away[-1][0], self._clock.now()

    def pause(self) -> None:
        self._send(signal.SIGSTOP)
        self.paused = True
        self._leave()

    def go_on(self) -> None:
        self._send(signal.SIGCONT)
        self.paused = False
        self.back()

    def kill(self) -> None:
        self.running()
        self._asked_to_end = True
        self._send(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(10)
        self._leave()

    def term(self) -> None:
        """Told to end: it answers what it has, so nothing is excused but newcomers."""
        self.running()
        self._asked_to_end = True
        self.told_to_end = self._clock.now()
        self._send(signal.SIGTERM)

    def takes(self) -> bool:
        """Whether a front still sends it anything: after SIGTERM for another 0.3 s."""
        return not self.told_to_end or self._clock.now() - self.told_to_end < 300_000

    def away_in(self, since: int, until: int) -> bool:
        """Whether it was paused or down at any time between."""
        return any(begin <= until and (end is None or end >= since) for begin, end in self.away)

    def said(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""


class Processes:
    """All of a rig's, and the folder that holds their files and logs."""

    def __init__(self, clock: Clock, place: Path | None = None):
        self._clock, self._own = clock, place is None
        self.place = Path(tempfile.mkdtemp(prefix="rackhub-rig-")) if place is None else place
        self.by_name: dict[str, Process] = {}
        atexit.register(self.close)

    def add(self, name: str) -> Process:
        if len(self.by_name) >= MOST:
            raise RuntimeError(f"more than {MOST} processes")
        process = self.by_name[name] = Process(name, self.place, self._clock)
        return process

    def close(self, keep: bool = False) -> None:
        """End all that still run, at once, and take away their files unless they are to be kept."""
        atexit.unregister(self.close)
        for process in self.by_name.values():
            process.kill()
        if self._own and not keep:
            shutil.rmtree(self.place, ignore_errors=True)

    def end_in_order(self, turn: Callable[[], Any], patience: float = 12.0) -> list[str]:
        """SIGTERM to all, then wait while `turn` turns the reactor; the names of those that had to be killed."""
        for process in self.by_name.values():
            process.go_on() if process.paused else None
            process.term()
        until = self._clock.now() + int(patience * 1_000_000)
        while any(process.running() for process in self.by_name.values()) and self._clock.now() < until:
            turn()
        return [process.name for process in self.by_name.values() if process.running()]
