"""A blocking client of the control port for the command line: one request and its response, without a reactor."""

import socket
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from rackhub.core.source import Address
from rackhub.fleet.control.limits import Limits

MAX_RESPONSE_LINE_BYTES = Limits().max_response_bytes + 1  # including the line feed
RECEIVE_BYTES = 65_536


def send_request(address: Address, request: Mapping[str, Any], timeout: float) -> dict[str, Any]:
    """Send one request, whose command is `request["call"]`, and return the response.

    Raises `TimeoutError` after `timeout` seconds in total, another `OSError` if the connection fails, and `ValueError`
    if the response is not a JSON object or is too long.
    """
    deadline = time.monotonic() + timeout
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.sendall(msgspec.json.encode(request) + b"\n")
        chunks: list[bytes] = []
        size = 0
        while not chunks or not chunks[-1].endswith(b"\n"):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError(f"{address[0]}:{address[1]}: no response within {timeout:g} s")
            connection.settimeout(remaining)
            chunk = connection.recv(RECEIVE_BYTES)
            if not chunk:
                raise ConnectionError(f"{address[0]}:{address[1]}: connection closed before a complete response")
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_LINE_BYTES:
                raise ValueError(f"{address[0]}:{address[1]}: response of more than {MAX_RESPONSE_LINE_BYTES} bytes")
    try:
        return msgspec.json.decode(b"".join(chunks), type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise ValueError(f"{address[0]}:{address[1]}: response is not a JSON object: {error}") from None
