"""Does every lookup of usual clients get its final answer while another client sends an unreadable statement."""

import asyncio
import time
from pathlib import Path

from review.common.standins import Client, Coordinator, Engine, Record, Resolver, disrupted, run_case, settings

BUDGET = 3.0  # seconds: the deadline of the site's class `lookup`
SLACK = 0.5 + 0.05  # seconds after its time at which an answer is late but not lost, and the slack of real sockets
CLIENTS = 8
SENDING = 10.0  # seconds in which the usual clients send
INTERVAL = 0.4  # seconds between two lookups of one client: never more than 32 are open on one connection
TROUBLE_AT = 3.0
WATCHED_ALIVE = 30.0  # seconds after the disruption in which the process is asked whether it is alive
BAD_STATEMENT = b"[" * 48_000
STATEMENT = b"SELECT name FROM trips_3.docks"


async def _send_lookups(client: Client) -> None:
    until = time.time() + SENDING
    while time.time() < until:
        client.call("lookup", STATEMENT, BUDGET)
        await asyncio.sleep(INTERVAL)


async def _bad_client(record: Record, port: int) -> Client:
    await asyncio.sleep(TROUBLE_AT)
    client = await Client(record, port, "bad client").connect()
    client.call("lookup", BAD_STATEMENT if disrupted() else STATEMENT, BUDGET)
    return client


async def _longest_silence(coordinator: Coordinator) -> float:
    """Return for how many seconds in a row the process did not answer `alive`."""
    until, last, longest = time.time() + WATCHED_ALIVE, time.time(), 0.0
    while time.time() < until:
        if await coordinator.is_alive(1.0):
            last = time.time()
            await asyncio.sleep(0.2)
        longest = max(longest, time.time() - last)
    return longest


async def _case(record: Record, folder: Path) -> int:
    resolver = Resolver(record)
    await resolver.start()
    resolver.engines = [Engine(record, f"s-{number}") for number in range(3)]
    for engine in resolver.engines:
        await engine.start()
    coordinator = Coordinator(record, folder, "n1", resolver, settings())
    try:
        await coordinator.start()
        clients = [await Client(record, coordinator.port, f"client {number}").connect() for number in range(CLIENTS)]
        sending = [asyncio.create_task(_send_lookups(client)) for client in clients]
        bad = asyncio.create_task(_bad_client(record, coordinator.port))
        await asyncio.sleep(TROUBLE_AT)
        silence = await _longest_silence(coordinator) if disrupted() else 0.0
        await asyncio.gather(*sending)
        await asyncio.sleep(BUDGET + SLACK)
        (await bad).close()
        return _judge(record, clients, silence)
    finally:
        await coordinator.kill()
        for engine in resolver.engines:
            engine.stop()
        resolver.close()


def _judge(record: Record, clients: list[Client], silence: float) -> int:
    calls = [call for client in clients for call in client.calls.values()]
    lost = [call for call in calls if len(call.answers) != 1 or call.answers[0][0] > call.sent + call.budget + SLACK]
    for call in lost:
        after = f"{call.answers[0][0] - call.sent:.2f} s" if call.answers else "never"
        record.line(f"LOST {call.rid}: {len(call.answers)} answers, the first after {after}")
    kinds = {kind: sum(call.kind == kind for call in calls) for kind in ("served", "refused", "failed", "unanswered")}
    record.line(f"{len(calls)} lookups of usual clients: {kinds}; {len(lost)} lost")
    record.line(f"the process did not answer `alive` for {silence:.1f} s in a row")
    print(f"{len(calls)} lookups, {len(lost)} lost; no answer to alive for {silence:.1f} s in a row")
    return 1 if lost else 0


if __name__ == "__main__":
    raise SystemExit(run_case(_case, Path(__file__).parent))
