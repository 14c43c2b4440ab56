"""A site that allows second copies and rations further attempts: do second copies keep within the ration."""

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
    run_case,
    settings,
)

FREE_RESENDS = 3.0
REPEAT_RATIO = 0.05
COUNTED_OVER = 10.0  # seconds
SLACK = 0.05  # seconds: each time limit is longer by this on sockets
BUDGET = 3.0  # seconds: the deadline of the site's class `lookup`
ENGINES = 5
WORK = 0.06  # seconds that an engine takes for a lookup
SLOWED = 9.0  # times slower, of 2.6 to 9.9 on the page; one engine of five is 20% of them
SLOW_AT, SLOW_FOR = 4.0, 20.0  # seconds, of 11 to 32 on the page
SENDING = 26.0
USUAL_CLIENTS = 5
INTERVAL = 0.2  # seconds between two lookups of one client
STATEMENT = b"SELECT name FROM trips_3.docks"
OPERATOR_FILE = """
[[timings.route]]
class = "lookup"
second_copy = { after_ms = 150, most_share = 0.2 }
"""


class SlowableEngine(Engine):
    """An engine whose work can be slowed."""

    times_slower = 1.0

    async def serve_at_once(self, attempt: Attempt) -> None:
        """Serve after the work's time."""
        await asyncio.sleep(WORK * self.times_slower)
        self.answer(attempt)


async def _usual_client(client: Client) -> None:
    until = time.time() + SENDING
    while time.time() < until:
        client.call("lookup", STATEMENT, BUDGET)
        await asyncio.sleep(INTERVAL)


async def _slow_engine(record: Record, engine: SlowableEngine) -> None:
    await asyncio.sleep(SLOW_AT)
    if disrupted():
        record.line(f"{engine.name} is {SLOWED} times slower for {SLOW_FOR} s")
        engine.times_slower = SLOWED
        await asyncio.sleep(SLOW_FOR)
        engine.times_slower = 1.0
        record.line(f"{engine.name} is as fast as before")


async def _case(record: Record, folder: Path) -> int:
    resolver = Resolver(record)
    await resolver.start()
    engines = [SlowableEngine(record, f"s-{number}") for number in range(ENGINES)]
    resolver.engines = list(engines)
    for engine in engines:
        await engine.start()
    ration = {"FreeResends": FREE_RESENDS, "RepeatRatio": REPEAT_RATIO, "CountedOver": int(COUNTED_OVER * SECOND)}
    tree = settings(Permissions={"SecondCopies": True}, Obligations=ration)
    operator_file = folder / "operator.toml"
    operator_file.write_text(OPERATOR_FILE)
    coordinator = Coordinator(record, folder, "n1", resolver, tree)
    coordinator.extra_arguments = f" --operator {operator_file}"
    try:
        await coordinator.start()
        clients = [
            await Client(record, coordinator.port, f"client {number}").connect() for number in range(USUAL_CLIENTS)
        ]
        await asyncio.gather(_slow_engine(record, engines[0]), *(_usual_client(client) for client in clients))
        await asyncio.sleep(BUDGET)
    finally:
        await coordinator.kill()
        for engine in engines:
            engine.stop()
        resolver.close()
    calls = [call for client in clients for call in client.calls.values()]
    return _judge(record, calls, [attempt for engine in engines for attempt in engine.attempts])


def _judge(record: Record, calls: list[Call], attempts: list[Attempt]) -> int:
    """Compare the further attempts of each period with the ration; the slack favours the program."""
    seen: set[str] = set()
    further: list[float] = []
    for attempt in sorted(attempts, key=lambda each: each.came):
        if attempt.id in seen:
            further.append(attempt.came)
        seen.add(attempt.id)
    worst, broken = "no further attempt", 0
    most_over = float("-inf")
    for at in further:
        counted = sum(at - COUNTED_OVER + SLACK < each <= at for each in further)
        taken = sum(at - COUNTED_OVER - SLACK < call.sent <= at for call in calls)
        allowed = FREE_RESENDS + REPEAT_RATIO * taken
        broken += counted > allowed
        if counted - allowed > most_over:
            most_over = counted - allowed
            worst = f"{counted} further attempts in {COUNTED_OVER:g} s, {taken} requests taken, {allowed:.2f} allowed"
    answered = sum(len(call.answers) == 1 for call in calls)
    summary = f"{len(calls)} lookups, {answered} answered once; {len(further)} further attempts; worst: {worst}"
    record.line(summary)
    record.line(f"{broken} further attempts were over the ration")
    print(f"{summary}; {broken} over the ration")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(run_case(_case, Path(__file__).parent))
