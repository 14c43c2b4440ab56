"""The endpoint list in DNS: the query for the service's SRV records, and the parsing of its answer. No I/O."""

import struct
from typing import Any

from twisted.names import dns

from rackhub import interface
from rackhub.core.source import Address, EndpointSnapshot

SERVICE = b"_app._tcp.cluster.lan"
RECURSION_DESIRED = 0x0100  # of the header's flags
# SRV priorities
READY = 0
DRAINING = 1
SRV_WEIGHT_PER_ENGINE_WEIGHT = 10


class InvalidAnswerError(ValueError):
    """A packet that is no complete answer to the query."""


def encode_query(number: int) -> bytes:
    """Return a query with this id for the SRV records of the service."""
    labels = b"".join(bytes([len(label)]) + label for label in SERVICE.split(b"."))
    header = struct.pack(">6H", number, RECURSION_DESIRED, 1, 0, 0, 0)
    return header + labels + b"\0" + struct.pack(">2H", dns.SRV, dns.IN)


def parse_answer(packet: bytes) -> EndpointSnapshot:
    """Return the endpoint list in an answer; raises `InvalidAnswerError` if it is not complete."""
    message: Any = dns.Message()
    try:
        message.fromStr(packet)
    except Exception as error:  # noqa: BLE001 - the decoder raises whatever the bytes led it to
        raise InvalidAnswerError(f"not a DNS message: {error}") from None
    if not _answers_question(message):
        raise InvalidAnswerError("not an answer to the question")
    serials = [record.payload.serial for record in message.authority if record.type == dns.SOA]
    if len(serials) != 1:
        raise InvalidAnswerError("no serial")
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
            raise InvalidAnswerError(f"no whole record of {target!r}")
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
    """Return the A and the TXT records by name in lower case."""
    hosts: dict[bytes, str] = {}
    texts: dict[bytes, list[bytes]] = {}
    for record in (*message.additional, *message.answers):
        if record.type == dns.A:
            hosts[record.name.name.lower()] = record.payload.dottedQuad()
        elif record.type == dns.TXT:
            texts[record.name.name.lower()] = record.payload.data
    return hosts, texts


def _parse_entry(srv: Any, text: list[bytes], known: dict[str, Address]) -> interface.EngineEntry:
    """Return the entry of one engine, which must not be `known` from a record before."""
    target = srv.target.name
    name, zone = (target.decode("ascii", "replace").split(".") + [""])[:2]
    if name in known:  # which of the records is valid can't be told
        raise InvalidAnswerError(f"{name!r} is named twice")
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
        raise InvalidAnswerError(f"no whole text of {target!r}") from None
