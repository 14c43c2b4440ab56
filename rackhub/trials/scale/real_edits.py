"""The edits of a run in real time: asked of one voter at a pace, with what came of each."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from rackhub.trials.scale.audit import Acknowledged
from rackhub.trials.scale.editor import spacing
from rackhub.trials.scale.orders import Edited

LAST_EDIT_SECONDS = 20.0  # for the answers to the last edits


class RealEdits:
    """`ask` has the voter make the next edit; its answers come to `answered`, in the order of the edits."""

    def __init__(self, ask: Callable[[], None]):
        self.acknowledged: list[Acknowledged] = []
        self.failed: list[str] = []
        self._ask = ask
        self._waiting: deque[asyncio.Future[None]] = deque()  # edits that have no answer yet

    def in_order(self) -> list[Acknowledged]:
        return sorted(self.acknowledged, key=lambda acknowledged: acknowledged.change.revision)

    async def edit(self) -> None:
        """Returns when the edit is acknowledged or has failed."""
        answer = asyncio.get_running_loop().create_future()
        self._waiting.append(answer)
        self._ask()
        await answer

    def answered(self, report: Edited) -> None:
        if report.acknowledged is not None:
            self.acknowledged.append(report.acknowledged)
        else:
            self.failed.append(report.why)
        self._waiting.popleft().set_result(None)

    async def edit_for(self, seconds: float, rate: float) -> None:
        """Edits at that multiple of the target's pace, whether or not those before have been answered."""
        pause, began, number = spacing(rate), time.monotonic(), 1
        pending = []
        while number * pause < seconds:
            await asyncio.sleep(max(0.0, began + number * pause - time.monotonic()))
            pending.append(asyncio.create_task(self.edit()))
            number += 1
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
        await asyncio.wait_for(asyncio.gather(*pending), LAST_EDIT_SECONDS)
