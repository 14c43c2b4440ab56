"""Clients that send unreadable lines at full speed and read all answers: does the coordinator keep its memory limit."""

import asyncio
import sys
import time
from pathlib import Path

from review.common.standins import Client, Coordinator, Engine, Record, Resolver, disrupted, run_case, settings

MEMORY_LIMIT_MB = 192  # what the configuration says; the largest of the days that are scored
BUDGET = 3.0  # seconds: the deadline of the site's class `lookup`
SENDING = 15.0  # seconds in which the usual clients send
TROUBLE_AT = 3.0
TROUBLE_FOR = 8.0
BAD_PROCESSES, BAD_CLIENTS = 4, 15  # 60 bad clients; the page has them open connections by the hundred
USUAL_CLIENTS = 8
INTERVAL = 0.4  # seconds between two lookups of one client: never more than 32 are open on one connection
STATEMENT = b"SELECT name FROM trips_3.docks"
FOLDER = Path(__file__).parent


def _memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS")), 0.0)


async def _platform_watches_memory(record: Record, coordinator: Coordinator, seen: dict[str, float]) -> None:
    """Do what the platform does: kill the coordinator once it is over its limit."""
    assert coordinator.process is not None
    while coordinator.process.returncode is None:
        now = _memory_mb(coordinator.process.pid)
        seen["peak"] = max(seen["peak"], now)
        if now > MEMORY_LIMIT_MB:
            record.line(f"platform: {coordinator.name} has {now:.0f} MB, over its {MEMORY_LIMIT_MB} MB, and is killed")
            await coordinator.kill()
        await asyncio.sleep(0.005)


async def _usual_client(client: Client) -> None:
    until = time.time() + SENDING
    while time.time() < until and not client.closed:
        client.call("lookup", STATEMENT, BUDGET)
        await asyncio.sleep(INTERVAL)


async def _bad_clients(record: Record, port: int) -> None:
    await asyncio.sleep(TROUBLE_AT)
    if not disrupted():
        return
    record.line(f"{BAD_PROCESSES * BAD_CLIENTS} bad clients begin to send unreadable lines")
    script = str(FOLDER.parent / "common" / "bad_clients.py")
    arguments = (sys.executable, script, str(port), str(BAD_CLIENTS), str(TROUBLE_FOR))
    started = [
        await asyncio.create_subprocess_exec(
            *arguments, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL
        )
        for _ in range(BAD_PROCESSES)
    ]
    try:
        for process in started:
            said, _ = await process.communicate()
            record.line(f"bad clients: {said.decode().strip() or 'ended by the loss of the coordinator'}")
    finally:
        for process in started:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def _case(record: Record, folder: Path) -> int:
    resolver = Resolver(record)
    await resolver.start()
    resolver.engines = [Engine(record, f"s-{number}") for number in range(3)]
    for engine in resolver.engines:
        await engine.start()
    coordinator = Coordinator(record, folder, "n1", resolver, settings())
    coordinator.limits["memory_mb"] = MEMORY_LIMIT_MB
    seen = {"peak": 0.0}
    try:
        await coordinator.start()
        watching = asyncio.create_task(_platform_watches_memory(record, coordinator, seen))
        clients = [
            await Client(record, coordinator.port, f"client {number}").connect() for number in range(USUAL_CLIENTS)
        ]
        await asyncio.gather(_bad_clients(record, coordinator.port), *(_usual_client(client) for client in clients))
        await asyncio.sleep(BUDGET)
        killed = coordinator.process is not None and coordinator.process.returncode is not None
        watching.cancel()
    finally:
        await coordinator.kill()
        for engine in resolver.engines:
            engine.stop()
        resolver.close()
    calls = [call for client in clients for call in client.calls.values()]
    unanswered = sum(call.kind == "unanswered" for call in calls)
    summary = (
        f"peak {seen['peak']:.0f} MB of {MEMORY_LIMIT_MB}; killed: {killed}; "
        f"lookups {len(calls)}, of them unanswered {unanswered}"
    )
    record.line(summary)
    print(summary)
    return 1 if killed else 0


if __name__ == "__main__":
    raise SystemExit(run_case(_case, FOLDER))
