"""What every case shares: the record, free ports, the coordinators' processes, and their end."""

import asyncio
import ctypes
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def free_port(kind: int = socket.SOCK_STREAM, host: str = HOST) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def end_with_parent() -> None:
    """Make the system end this process when the one that started it ends, however that comes about."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # 1: PR_SET_PDEATHSIG


class World:
    """The record, the temporary folder and the processes of one run."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.place = Path(tempfile.mkdtemp(prefix="rackhub-review-"))
        self.began = time.monotonic()
        self._record = open(folder / "record.txt", "w")  # noqa: SIM115 - closed in `close`
        self.processes: list[subprocess.Popen[bytes]] = []
        self.broken: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line to the record."""
        self._record.write(f"{self.now():9.3f} {text}\n")
        self._record.flush()

    def breach(self, text: str) -> None:
        """Record a broken rule."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    def run_command(self) -> str:
        """Return the `run` command of the deploy file."""
        return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])

    def start(
        self, name: str, config: Path, extra: str = "", tmp: str = "", **variables: str
    ) -> subprocess.Popen[bytes]:
        """Start one coordinator as the platform does."""
        home = self.place / (tmp or f"{name}.tmp")
        home.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environment |= {"BALANCER_CONFIG": str(config), "BALANCER_NAME": name, "TMPDIR": str(home), **variables}
        with open(self.place / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_command() + extra],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                preexec_fn=end_with_parent,
            )
        self.processes.append(process)
        self.note(f"platform: started {name}, pid {process.pid}")
        return process

    def helper(self, *words: str) -> subprocess.Popen[bytes]:
        """Start a program of the stand-ins in a process of its own; what it prints can be read at its end."""
        process = subprocess.Popen(
            [sys.executable, *words], cwd=ROOT, stdout=subprocess.PIPE, preexec_fn=end_with_parent
        )
        self.processes.append(process)
        return process

    def signal(self, process: subprocess.Popen[bytes], number: int) -> None:
        """Send a signal to a process that this run started."""
        self.note(f"platform: {signal.Signals(number).name} to pid {process.pid}")
        process.send_signal(number)

    def log_tail(self, name: str, lines: int = 15) -> str:
        """Return the end of a coordinator's log."""
        path = self.place / f"{name}.log"
        return "\n".join(path.read_text(errors="replace").splitlines()[-lines:]) if path.exists() else ""

    def close(self) -> None:
        """End all processes of this run and remove its folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(10)
        self._record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.place, ignore_errors=True)


async def until(condition: Any, seconds: float, step: float = 0.01) -> bool:
    """Wait until a condition holds; False after `seconds`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(step)
    return True


class CannotRunError(Exception):
    """The case couldn't be played, so that it says nothing."""


def play(folder: Path, case: Any, limit: float = 110) -> None:
    """Run a case, an async function of the world, and exit with its verdict."""
    world = World(folder)
    status = CANNOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # by way of `finally`
    try:
        asyncio.run(asyncio.wait_for(case(world), limit))
        status = BROKEN if world.broken else HELD
    except CannotRunError as error:
        world.note(f"cannot run: {error}")
        print(f"cannot run: {error}", file=sys.stderr)
    except Exception as error:  # noqa: BLE001 - whatever it is, the run says nothing
        world.note(f"cannot run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        verdict = {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[status]
        world.note(f"verdict: {verdict}, trouble {'on' if world.trouble else 'off'}")
        for text in world.broken[:10]:
            print(f"BROKEN {text}")
        print(f"verdict: {verdict} (trouble {'on' if world.trouble else 'off'}, {world.now():.1f} s)")
        world.close()
    sys.exit(status)
