"""One coordinator by the number of engines in its list: CPU, memory, and what a change of the list costs."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace

from rackhub import interface
from rackhub.limits import Limits
from rackhub.net.dns_protocol import encode_query, parse_answer
from rackhub.trials.processes.resolver import MOST as ANSWER_BYTES
from rackhub.trials.processes.resolver import answer
from rackhub.trials.processes.site import Engine
from rackhub.trials.scale.measurement import Measurement, measured, median_ratios
from rackhub.trials.virtual.cost import CoordinatorTestBed

SIZES = (8, 60, 300, 1_000, 3_000, 10_000, 30_000)
QUICK_SIZES = (8, 16, 32, 64)
LIST_SIZES = (8, 20, 40, 60)
ROUNDS, QUICK_ROUNDS = 9, 3
WARM_UP_REQUESTS = 200
REQUESTS_A_ROUND = 400  # fewer for long lists: caches are cold when a size's turn comes
REQUESTS_TIMES_ENGINES = 1_000_000
LEAST_REQUESTS_A_ROUND = 50
CHANGES_A_ROUND = 2
DECODES_A_ROUND = 10
QUERY_ID = 7


class Subject:
    """One coordinator in virtual time, with a list of so many engines."""

    def __init__(self, engines: int):
        self.rig = CoordinatorTestBed(engines)
        self._asked = 0
        self._revision = 1
        self._entries = [interface.EngineEntry(f"e{number:03}", kind="std") for number in range(engines)]

    def requests(self, count: int) -> None:
        for _ in range(count):
            self._asked += 1
            self.rig.submit_request(self._asked)

    def change_list(self) -> None:
        """One engine goes from ready to draining, or back."""
        self._revision += 1
        state = "Terminating" if self._revision % 2 == 0 else "Ready"
        self._entries[-1] = replace(self._entries[-1], state=state)
        self.rig.core.update_endpoints(tuple(self._entries), self._revision)

    def check(self) -> None:
        served = self.rig.core.counters["served"]
        if served < self._asked * 8 // 10:
            raise AssertionError(f"{served} of {self._asked} requests served: what was measured is no usual request")


def timed(call: Callable[[], None]) -> float:
    """Seconds of CPU."""
    began = time.process_time()
    call()
    return time.process_time() - began


def interleaved(calls: Sequence[Callable[[], None]], rounds: int) -> list[list[float]]:
    """Seconds of CPU of each call, by call and round; the calls take turns, and a first round warms up."""
    took: list[list[float]] = [[] for _ in calls]
    gc.collect()
    gc.disable()
    try:
        for turn in range(rounds + 1):
            for call, seconds in zip(calls, took, strict=True):
                spent = timed(call)
                if turn:
                    seconds.append(spent)
            gc.collect()
    finally:
        gc.enable()
    return took


def median(values: Sequence[float]) -> float:
    return sorted(values)[len(values) // 2]


def time_measurement(
    name: str,
    size_unit: str,
    sizes: Sequence[int],
    calls: Sequence[Callable[[], None]],
    counts: Sequence[int],
    rounds: int,
    how: str,
) -> Measurement:
    """Milliseconds of CPU of one of the repetitions that each call makes, of which `counts` has the number."""
    took = interleaved(calls, rounds)
    each = [[spent / count * 1_000 for spent in seconds] for seconds, count in zip(took, counts, strict=True)]
    milliseconds = [median(times) for times in each]
    method = f"{how}; process CPU, sizes in turn, median of {rounds} rounds"
    return measured(name, "ms", size_unit, sizes, milliseconds, method, median_ratios(each))


def requests_a_round(engines: int) -> int:
    return max(min(REQUESTS_A_ROUND, REQUESTS_TIMES_ENGINES // engines), LEAST_REQUESTS_A_ROUND)


def request_cpu(subjects: Sequence[Subject], sizes: Sequence[int], rounds: int) -> Measurement:
    for subject in subjects:
        subject.requests(WARM_UP_REQUESTS)
    counts = [requests_a_round(size) for size in sizes]
    calls = [
        lambda subject=subject, count=count: subject.requests(count)  # type: ignore[misc]
        for subject, count in zip(subjects, counts, strict=True)
    ]
    how = (
        f"core and decision module in virtual time, 20 requests out, {counts[0]} to {counts[-1]} requests a round "
        f"after {WARM_UP_REQUESTS}: most engines of a long list have served none yet, and CPU grows as they do"
    )
    found = time_measurement("engines.request_cpu", "engines", sizes, calls, counts, rounds, how)
    for subject in subjects:
        subject.check()
    return found


def change_cpu(subjects: Sequence[Subject], sizes: Sequence[int], rounds: int) -> Measurement:
    def change(subject: Subject) -> None:
        for _ in range(CHANGES_A_ROUND):
            subject.change_list()

    calls = [lambda subject=subject: change(subject) for subject in subjects]  # type: ignore[misc]
    how = "a whole list in which one engine's state changed, told to the core"
    return time_measurement("engines.change_cpu", "engines", sizes, calls, [CHANGES_A_ROUND] * len(sizes), rounds, how)


def coordinator_memory(sizes: Sequence[int]) -> Measurement:
    used = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        subject = Subject(size)
        subject.requests(WARM_UP_REQUESTS)
        gc.collect()
        used.append(tracemalloc.get_traced_memory()[0] / 1_024)
        tracemalloc.stop()
    method = f"bytes allocated by Python objects after start and {WARM_UP_REQUESTS} requests (tracemalloc)"
    return measured("engines.memory", "KB", "engines", sizes, used, method)


def listed_engines(count: int) -> list[Engine]:
    return [
        Engine(
            f"e{number:05}", f"s{number % 4}", (f"10.0.{number >> 8}.{number & 255}", 7_001), "ready", 1_700_000_000_000
        )
        for number in range(count)
    ]


def answer_packet(engines: int) -> bytes | None:
    """The answer with the whole list; None where the limit cuts it."""
    packet = answer(encode_query(QUERY_ID), 1, listed_engines(engines))
    if packet is None or packet[2] & 0x02:  # the header's bit that says that it is cut
        return None
    return packet


def largest_list(most: int = 512) -> int:
    """The most engines whose list fits in one answer."""
    fits, too_many = 0, most
    while too_many - fits > 1:
        middle = (fits + too_many) // 2
        if answer_packet(middle) is None:
            too_many = middle
        else:
            fits = middle
    return fits


def whole_list(rounds: int) -> list[Measurement]:
    """Bytes of the whole list over DNS, and CPU of reading it, up to the largest that the answer's limit carries."""
    sizes = [*LIST_SIZES, largest_list()]
    packets = [answer_packet(size) or b"" for size in sizes]

    def decode(packet: bytes) -> None:
        for _ in range(DECODES_A_ROUND):
            parse_answer(packet)

    calls = [lambda packet=packet: decode(packet) for packet in packets]  # type: ignore[misc]
    how = f"one DNS answer with the whole list; {sizes[-1]} engines are the most in {ANSWER_BYTES:,} bytes"
    return [
        measured("engines.list_bytes", "bytes", "engines", sizes, [len(packet) for packet in packets], how),
        time_measurement(
            "engines.list_cpu",
            "engines",
            sizes,
            calls,
            [DECODES_A_ROUND] * len(sizes),
            rounds,
            "reading one such answer",
        ),
    ]


def measure(quick: bool = False) -> list[Measurement]:
    sizes = QUICK_SIZES if quick else SIZES
    rounds = QUICK_ROUNDS if quick else ROUNDS
    memory = coordinator_memory(sizes)
    subjects = [Subject(size) for size in sizes]
    return [
        request_cpu(subjects, sizes, rounds),
        memory,
        change_cpu(subjects, sizes, rounds),
        *whole_list(rounds),
    ]


def packet_limit() -> int:
    """Bytes of the largest answer that the program takes."""
    return Limits().max_dns_response_bytes
