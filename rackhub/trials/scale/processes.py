"""The processes of a run as their parent has them: started, spoken to over pipes, and ended by their own handles."""

import asyncio
import signal
import sys
import tempfile
from collections.abc import Callable
from typing import TypeVar

from rackhub.trials.scale.orders import (
    AnyOrder,
    AnyReport,
    Edited,
    Restarted,
    decode_report,
    encode,
)

PLACES_MODULE = "rackhub.trials.scale.child"
LONGEST_REPORT = 1 << 28
ANSWER_SECONDS = 60.0
END_SECONDS = 5.0
ERROR_BYTES = 2_000  # of a process's errors that are shown where it failed

Wanted = TypeVar("Wanted", bound=AnyReport)


class ProcessFailed(Exception):
    """A process of the run ended or did not answer; the text has its last words."""


class ChildProcess:
    """One process. `told` gets the reports that no order waits for. `module`: what it runs."""

    def __init__(self, name: str, told: Callable[[Edited | Restarted], None], module: str = PLACES_MODULE):
        self.name, self._module = name, module
        self.ended = False
        self._told = told
        self._errors = tempfile.TemporaryFile()
        self._answers: asyncio.Queue[AnyReport | None] = asyncio.Queue()
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._errors,
            limit=LONGEST_REPORT,
        )
        self._reader = asyncio.create_task(self._read())

    def send(self, order: AnyOrder) -> None:
        """An order that has no answer, or one that comes to `told`."""
        assert self._process is not None and self._process.stdin is not None
        if not self.ended:
            self._process.stdin.write(encode(order) + b"\n")

    async def ask(self, order: AnyOrder, wanted: type[Wanted]) -> Wanted:
        """Raises `ProcessFailed`."""
        self.send(order)
        try:
            answer = await asyncio.wait_for(self._answers.get(), ANSWER_SECONDS)
        except TimeoutError:
            raise ProcessFailed(f"{self.name} did not answer {type(order).__name__}; {self._last_words()}") from None
        if not isinstance(answer, wanted):
            raise ProcessFailed(f"{self.name} ended or answered otherwise; {self._last_words()}")
        return answer

    def kill(self) -> None:
        """Without a word to it."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        self.ended = True

    def stall(self) -> None:
        self._signal(signal.SIGSTOP)

    def wake(self) -> None:
        self._signal(signal.SIGCONT)

    async def end(self) -> None:
        """Whatever it is doing: it is gone after this."""
        process, self.ended = self._process, True
        if process is None:
            return
        if process.stdin is not None:
            process.stdin.close()
        try:
            await asyncio.wait_for(process.wait(), END_SECONDS)
        except TimeoutError:
            process.kill()
            await process.wait()
        if self._reader is not None:
            await self._reader
        self._errors.close()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            report = decode_report(line)
            if isinstance(report, Edited | Restarted):
                self._told(report)
            else:
                self._answers.put_nowait(report)
        self._answers.put_nowait(None)

    def _last_words(self) -> str:
        size = self._errors.seek(0, 2)
        self._errors.seek(max(0, size - ERROR_BYTES))
        return self._errors.read().decode(errors="replace") or "it wrote no errors"
