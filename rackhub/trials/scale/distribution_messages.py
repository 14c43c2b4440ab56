"""Bytes of the messages of `rackhub.fleet.distribution`, as they are encoded: what a watch through relays carries.

Mail goes in pages over the existing link; the head of a packet and the acknowledgement of a page are counted for each
message, as they are on a wire.
"""

from collections.abc import Sequence

from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Entry,
    Heartbeat,
    LaggingWatcher,
    Report,
    RevisionCount,
    Update,
    encode,
)
from rackhub.fleet.link import frames
from rackhub.fleet.link.datagram_builder import PACKET_OVERHEAD_BYTES
from rackhub.fleet.link.limits import Limits
from rackhub.trials.scale.measurement import Measurement, measured

VALUE_SIZES = (50, 200, 1_000, 4_000, 16_000)
QUICK_VALUE_SIZES = (50, 100, 200, 400)
LAGGING_NAMES = (0, 1, 3, 5)
SESSION, REVISION = 1 << 40, 1_000_000
LOG = "0" * 32
KEY = "routes/region-3/zone-12/lookup"
NAMES = sum(len(name) + 2 for name in ("cluster", "coordinator-3800", "relay-12-a"))
UDP_HEAD = 28  # of IPv4 and UDP
ACKNOWLEDGE_FRAME = 12  # of a page, in the packet that acknowledges it


def packet_head() -> int:
    return PACKET_OVERHEAD_BYTES + NAMES + UDP_HEAD


def wire_bytes(message: AnyMessage) -> int:
    """With the heads of all its packets, and the packets that acknowledge its pages."""
    body = len(encode(message))
    pages = -(-body // Limits().page_bytes)
    return body + pages * (2 * packet_head() + ACKNOWLEDGE_FRAME)


def update(value_bytes: int) -> Update:
    entry = Entry(KEY, bytes(value_bytes), REVISION)
    return Update(SESSION, LOG, REVISION - 1, REVISION, (entry,))


def heartbeat_bytes() -> int:
    return wire_bytes(Heartbeat(SESSION, LOG, REVISION, REVISION, 1_000))


def acknowledge_bytes() -> int:
    return wire_bytes(Acknowledge(SESSION, REVISION))


def report(lagging: int) -> Report:
    """What a relay tells of its watchers, so many of them named."""
    worst = tuple(LaggingWatcher(f"coordinator-{number:04}", REVISION - 1, 5_000) for number in range(lagging))
    counts = (RevisionCount(REVISION, 86), RevisionCount(REVISION - 1, lagging))
    return Report("region-3/zone-12", LOG, REVISION, 86, 173, counts, worst)


def measure(quick: bool = False) -> list[Measurement]:
    sizes: Sequence[int] = QUICK_VALUE_SIZES if quick else VALUE_SIZES
    heads = f"encoded by the message types, with packet heads and page acknowledgements (version {frames.VERSION})"
    per_update = [wire_bytes(update(size)) + acknowledge_bytes() for size in sizes]
    per_heartbeat = [heartbeat_bytes() for _ in sizes]
    return [
        measured(
            "messages.update_bytes", "bytes", "bytes of value", sizes, per_update, f"an update and its answer; {heads}"
        ),
        measured("messages.heartbeat_bytes", "bytes", "bytes of value", sizes, per_heartbeat, heads),
        measured(
            "messages.report_bytes",
            "bytes",
            "names that lag",
            LAGGING_NAMES,
            [wire_bytes(report(count)) for count in LAGGING_NAMES],
            f"a relay's report; {heads}",
        ),
    ]
