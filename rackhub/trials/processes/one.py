"""One request to a rig, without a reactor: what `rackhub rig query` sends."""

import base64
import os
import socket
from collections.abc import Sequence
from typing import Any

import msgspec

from rackhub.address import parse_ipv4_address

REFUSED = -32008


class Answer(msgspec.Struct, frozen=True):
    """`how`: served, refused, failed or unreached."""

    how: str
    at: str
    rows: list[list[str]] = []
    message: str = ""
    backoff_ms: int = 0


def ask(
    addresses: Sequence[str],
    cls: str,
    statement: bytes,
    tenant: str,
    budget_ms: int,
    key: str | None = None,
    keyed: bool = False,
) -> Answer:
    """Of the first that can be reached. Raises `ValueError` for an address that is none."""
    params: dict[str, Any] = {
        "rid": os.urandom(8).hex(),
        "budget": budget_ms,
        "acct": tenant,
        "body": base64.b64encode(statement).decode(),
    }
    if key or keyed:
        params["token"] = key or os.urandom(16).hex()
    line = msgspec.json.encode({"jsonrpc": "2.0", "id": 1, "method": cls, "params": params}) + b"\n"
    answer = Answer("unreached", "", message="no gateway is named")
    for place in addresses:
        try:
            with socket.create_connection(parse_ipv4_address(place, "address"), 2.0) as link:
                link.settimeout(budget_ms / 1_000 + 1.0)
                link.sendall(line)
                with link.makefile("rb") as reader:
                    told = reader.readline()
            return answer_of(told, place)
        except OSError as fault:
            answer = Answer("unreached", place, message=f"{place}: {fault}")
    return answer


def answer_of(line: bytes, place: str) -> Answer:
    try:
        told = msgspec.json.decode(line)
    except msgspec.DecodeError:
        return Answer("failed", place, message="the connection ended without an answer")
    if "result" in told:
        body = base64.b64decode(told["result"]["body"]).decode()
        return Answer("served", place, [row.split("\t") for row in body.splitlines()])
    error = told["error"]
    how = "refused" if error["code"] == REFUSED else "failed"
    return Answer(how, place, message=error["message"], backoff_ms=int(error.get("data", {}).get("backoff", 0)))
