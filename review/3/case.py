"""An engine drains while the resolver's answers are lost for 3 s: does it get new work after the grace."""

import asyncio
import time
from pathlib import Path

from review.common.standins import (
    SECOND,
    Attempt,
    Call,
    Client,
    Coordinator,
    Engine,
    Record,
    Resolver,
    disrupted,
    request_class,
    run_case,
    settings,
)

ENGINES = 4  # one of them drains: a quarter
DRAIN_AT = 6.0  # seconds after the first request
LOST_FOR = 3.0  # seconds in which no answer of the resolver comes: the page's limit
TOLD_AFTER = 1.5  # seconds after an event at which it counts as told at the latest
GRACE = 1.0  # seconds: `StopSendingWithin` of the site
SLACK = 0.05  # seconds: each time limit is longer by this on sockets
CUTOFF = TOLD_AFTER + GRACE + SLACK  # seconds after the event: the latest that the pages allow
LOAD_WORK, LOOKUP_WORK = 0.9, 0.1  # seconds that an engine takes
ENDS_AFTER = CUTOFF + LOAD_WORK + 0.05  # seconds after the event: all that came in time is done then
SENDING = 12.0
CLASSES = [request_class("lookup", "retryable", 3 * SECOND), request_class("load", "fragile", 5 * SECOND)]
BUDGETS = {"lookup": 3.0, "load": 5.0}
INTERVALS = {"lookup": 0.1, "load": 0.2}  # seconds between two requests of one client
CLIENTS_OF_A_CLASS = 3
STATEMENT = b"SELECT name FROM trips_3.docks"


class WorkingEngine(Engine):
    """An engine whose work takes its time by class. While it drains it takes work, as not all may have been told."""

    async def serve_at_once(self, attempt: Attempt) -> None:
        """Serve after the work's time."""
        await asyncio.sleep(LOAD_WORK if attempt.fields["profile"] == "load" else LOOKUP_WORK)
        self.answer(attempt)


async def _usual_client(client: Client, cls: str) -> None:
    until = time.time() + SENDING
    while time.time() < until:
        client.call(cls, STATEMENT, BUDGETS[cls])
        await asyncio.sleep(INTERVALS[cls])


async def _replace_engine(record: Record, resolver: Resolver, engine: Engine) -> float:
    """Let the engine drain, lose the resolver's answers for the page's time, end the engine; return when it began."""
    await asyncio.sleep(DRAIN_AT)
    resolver.losing = disrupted()
    engine.status = "draining"
    resolver.changed(f"{engine.name} drains")
    began = time.time()
    await asyncio.sleep(LOST_FOR)
    resolver.losing = False
    record.line("resolver: its answers arrive")
    await asyncio.sleep(max(began + ENDS_AFTER - time.time(), 0))
    record.line(f"{engine.name} ends: all that came in time is done")
    engine.stop()
    engine.status = "gone"
    resolver.changed(f"{engine.name} is gone")
    return began


async def _case(record: Record, folder: Path) -> int:
    resolver = Resolver(record)
    await resolver.start()
    resolver.engines = [WorkingEngine(record, f"s-{number}") for number in range(ENGINES)]
    for engine in resolver.engines:
        await engine.start()
    family = {"Dop": [1, 1], "HoldsTables": [False, False], "BlockedByLoads": [False, False]}
    coordinator = Coordinator(record, folder, "n1", resolver, settings(CLASSES, FamilyInfo=family))
    drained = resolver.engines[0]
    try:
        await coordinator.start()
        clients = [
            (await Client(record, coordinator.port, f"{cls} client {number}").connect(), cls)
            for cls in BUDGETS
            for number in range(CLIENTS_OF_A_CLASS)
        ]
        sending = [asyncio.create_task(_usual_client(client, cls)) for client, cls in clients]
        began = await _replace_engine(record, resolver, drained)
        await asyncio.gather(*sending)
        await asyncio.sleep(max(BUDGETS.values()))
    finally:
        await coordinator.kill()
        for engine in resolver.engines:
            engine.stop()
        resolver.close()
    calls = [call for client, _ in clients for call in client.calls.values()]
    return _judge(record, calls, drained, began)


def _judge(record: Record, calls: list[Call], drained: Engine, began: float) -> int:
    late = [attempt for attempt in drained.attempts if attempt.came > began + CUTOFF]
    answers = {call.rid: call.kind for call in calls}
    for attempt in late:
        record.line(
            f"LATE {attempt.id} {attempt.fields['profile']} came {attempt.came - began:.3f} s after the event, "
            f"{attempt.how}; its client: {answers.get(attempt.id)}"
        )
    failed = sum(attempt.fields["profile"] == "load" and answers.get(attempt.id) == "failed" for attempt in late)
    summary = (
        f"{len(calls)} requests; {len(late)} sent to the draining engine later than {CUTOFF:.2f} s after the event; "
        f"{failed} of them loads that ended with it and were answered as failed"
    )
    record.line(summary)
    print(summary)
    return 1 if late else 0


if __name__ == "__main__":
    raise SystemExit(run_case(_case, Path(__file__).parent))
