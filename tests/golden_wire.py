"""Every message and stored record type with its codec, and the script that recorded their golden bytes.

`python tests/golden_wire.py` writes tests/golden/wire.json anew. The file was recorded at e2a4940 and is not meant to
be written again: a newer program reads what that one wrote, and writes the same bytes.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import golden_samples
import msgspec

from rackhub.core import gather as core_gather
from rackhub.fleet.distribution import decisions, history, messages, store, voting
from rackhub.fleet.link import frames
from rackhub.fleet.members import reachability
from rackhub.fleet.overload import records
from rackhub.fleet.register import acceptor
from rackhub.fleet.register import messages as register_messages
from rackhub.fleet.rules import active_version
from rackhub.fleet.rules import messages as rules_messages
from rackhub.state import records as state_records

RECORDED = Path(__file__).parent / "golden" / "wire.json"


class Codec(NamedTuple):
    """A family of messages: its types, and how they are read from bytes and written."""

    declared: Any
    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]
    valid: Callable[[Any], Any] = lambda sample: sample  # what the family's reader asks beyond the declared types


def _msgpack(declared: Any) -> Codec:
    return Codec(declared, msgspec.msgpack.Decoder(declared).decode, msgspec.msgpack.encode)


def _json(declared: Any) -> Codec:
    return Codec(declared, msgspec.json.Decoder(declared).decode, msgspec.json.encode)


def _ordered(load: Any) -> Any:
    """Cells by what was asked, and each minimum below its maximum, as the writer has them."""
    cells, *rest = msgspec.structs.astuple(load)
    cells = sorted(cells, key=lambda cell: (-msgspec.structs.astuple(cell)[1], msgspec.structs.astuple(cell)[0]))
    return type(load)(tuple(cells), *(_sorted_ranges(value) for value in rest))


def _sorted_ranges(value: Any) -> Any:
    if not isinstance(value, records.Loan):
        return value
    least_left, most_left, least_want, most_want = msgspec.structs.astuple(value)
    return records.Loan(*sorted((least_left, most_left)), *sorted((least_want, most_want)))


CODECS = {
    "link frame": Codec(frames.AnyFrame, lambda body: frames.decode_frame(msgspec.Raw(body)), frames.encode),
    "link packet": Codec(
        frames.Packet,
        frames.decode_datagram,
        frames.encode_datagram,
        lambda packet: msgspec.structs.replace(packet, version=frames.VERSION),
    ),
    "register message": Codec(register_messages.Message, register_messages.decode, register_messages.encode),
    "register acceptor on disk": _msgpack(acceptor.AcceptorState),
    "rules message": Codec(rules_messages.Message, rules_messages.decode, rules_messages.encode),
    "rules record": _msgpack(rules_messages.GossipedStatus),
    "rules in the register": _msgpack(rules_messages.RuleSet),
    "rules on disk": _msgpack(active_version.StoredRules),
    "distribution message": Codec(messages.AnyMessage, messages.decode, messages.encode),
    "distribution voter message": _msgpack(voting.VoterMessage),
    "distribution in the register": _msgpack(decisions.Tail),
    "distribution head on disk": _msgpack(store.StoredHeader),
    "distribution entry on disk": _msgpack(messages.Entry),
    "distribution change on disk": _msgpack(history.HistoryRecord),
    "load record": Codec(records.Load, records.unpack, records.pack, _ordered),
    "health checks record": Codec(
        records.HealthReport, lambda body: records.unpack_health(body)[0], lambda one: records.pack_health([one])
    ),
    "reachability record": _msgpack(reachability.ReachabilityRecord),
    "keyed request on disk": _json(state_records.KeyedRequestRecord),
    "engines on disk": _json(state_records.StoredEndpointList),
    "counters on disk": _json(state_records.StoredCounters),
    "gathered answer": _json(core_gather.GatherStatus),
}


def record() -> dict[str, list[str]]:
    """The bytes of sample messages by family, as hexadecimal text."""
    return {
        name: [codec.write(codec.valid(value)).hex() for value in golden_samples.samples(codec.declared)]
        for name, codec in CODECS.items()
    }


if __name__ == "__main__":
    RECORDED.write_text(json.dumps(record(), indent=1) + "\n")
