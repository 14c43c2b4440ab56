"""DNS encoding of the endpoint list: the query for the service's SRV records and the parsing of its answer. No I/O."""

import struct
from typing import Any

from twisted.names import dns

from rackhub import interface
from rackhub.core.source import Address, EndpointSnapshot

SERVICE = b"_app._tcp.cluster.lan"
RECURSION_DESIRED = 0x0100  # a flag of the DNS header
# the SRV priorities of ready and of draining engines
READY = 0
DRAINING = 1
SRV_WEIGHT_PER_ENGINE_WEIGHT = 10


class InvalidAnswerError(ValueError):
    """A packet that is not a complete answer to the query."""


def encode_query(number: int) -> bytes:
    """Return the DNS query for the service's SRV records; `number` is its 16-bit id."""
    labels = b"".join(bytes([len(label)]) + label for label in SERVICE.split(b"."))
    header = struct.pack(">6H", number, RECURSION_DESIRED, 1, 0, 0, 0)
    return header + labels + b"\0" + struct.pack(">2H", dns.SRV, dns.IN)


def parse_answer(packet: bytes) -> EndpointSnapshot:
    """Return the endpoint list of an answer. Raises `InvalidAnswerError` if the answer is malformed or incomplete."""
    message: Any = dns.Message()
    try:
        message.fromStr(packet)
    except Exception as error:  # noqa: BLE001 - the decoder raises various exceptions on malformed packets
        raise InvalidAnswerError(f"not a DNS message: {error}") from None
    if not _answers_question(message):
        raise InvalidAnswerError(f"not a successful, untruncated answer to the query for {SERVICE.decode()}")
    serials = [record.payload.serial for record in message.authority if record.type == dns.SOA]
    if len(serials) != 1:
        raise InvalidAnswerError(f"{len(serials)} SOA records in the authority section, 1 expected")
    hosts, texts = _hosts_and_texts(message)
    entries: list[interface.EngineEntry] = []
    addresses: dict[str, Address] = {}
    for record in message.answers:
        if record.type != dns.SRV:
            continue
        target = record.payload.target.name
        host = hosts.get(target.lower())
        text = texts.get(target.lower())
        if host is None or text is None or record.payload.priority not in (READY, DRAINING):
            raise InvalidAnswerError(f"{target!r}: no A or TXT record, or an SRV priority other than 0 and 1")
        entry = _parse_entry(record.payload, text, addresses)
        entries.append(entry)
        addresses[entry.engine] = (host, record.payload.port)
    return EndpointSnapshot(serials[0], tuple(sorted(entries, key=lambda entry: entry.engine)), addresses)


def _answers_question(message: Any) -> bool:
    questions = [query for query in message.queries if query.type == dns.SRV]
    return (
        bool(message.answer)
        and not message.trunc
        and message.rCode == dns.OK
        and len(questions) == 1
        and questions[0].name.name.lower() == SERVICE
    )


def _hosts_and_texts(message: Any) -> tuple[dict[bytes, str], dict[bytes, list[bytes]]]:
    """Return the A records and the TXT records, by name in lower case."""
    hosts: dict[bytes, str] = {}
    texts: dict[bytes, list[bytes]] = {}
    for record in (*message.additional, *message.answers):
        if record.type == dns.A:
            hosts[record.name.name.lower()] = record.payload.dottedQuad()
        elif record.type == dns.TXT:
            texts[record.name.name.lower()] = record.payload.data
    return hosts, texts


def _parse_entry(srv: Any, text: list[bytes], known: dict[str, Address]) -> interface.EngineEntry:
    """Return the entry of one engine. Raises `InvalidAnswerError` if it is invalid, or `known` from another record."""
    target = srv.target.name
    name, zone = (target.decode("ascii", "replace").split(".") + [""])[:2]
    if name in known:  # Either record may be the valid one.
        raise InvalidAnswerError(f"{name!r} has two SRV records")
    fields = dict(part.decode("utf-8", "replace").partition("=")[::2] for part in text)
    try:
        return interface.EngineEntry(
            name,
            zone,
            fields["kind"],
            int(fields["cell"]),
            "Ready" if srv.priority == READY else "Terminating",
            srv.weight / SRV_WEIGHT_PER_ENGINE_WEIGHT,
            int(fields["started"]) * 1_000,
        )
    except (KeyError, ValueError):
        raise InvalidAnswerError(f"{target!r}: its TXT record lacks a valid kind, cell or started field") from None
