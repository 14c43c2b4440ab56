"""The engines' use of RESP: arrays of bulk strings, fields, load reports, result pages. Pure functions, no I/O.

Commands to engines:
- `want ID FIELDS STATEMENT`: execute a statement. Its fields are `profile` (the class), `max` (milliseconds until the
  deadline), `level` (the priority) and `replay` (the idempotency key).
- `never_mind ID`: cancel a request before page 0 of its result
- `shut ID`: release a result of which pages are missing
- `hurry ID PRIORITY`: change the priority
- `turn ID PAGE`: fetch a further page of a result
"""

import re
from collections.abc import Callable

# `remark` field of a status answer -> topic of the progress report
PROGRESS_TOPICS = {b"advance": 1, b"disk": 2, b"stall": 3}
# names of load values on the wire -> names in the routing policy
LOAD_REPORT_NAMES = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
MAX_FIELD_NUMBER = 1e18
MAX_LOAD_VALUE = 1e12
PAGE_ROWS = re.compile(rb"(?:[^\t\n]*+\t[^\t\n]*+\t[^\t\n]*+\n)*+")


class InvalidFrameError(ValueError):
    """Input that violates the protocol, so that nothing after it on the connection can be trusted."""


def encode_command(*strings: bytes) -> list[bytes]:
    """Return the pieces of one array of bulk strings, to be written together."""
    pieces = [b"*%d\r\n" % len(strings)]
    for string in strings:
        pieces += (b"$%d\r\n" % len(string), string, b"\r\n")
    return pieces


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Return the fields of an answer, encoded as `name=value,...`, or `-` for none. Raises `InvalidFrameError`."""
    if text == b"-":
        return {}
    fields = {}
    for part in text.split(b","):
        name, separator, value = part.partition(b"=")
        if not separator:
            raise InvalidFrameError(f"field {part[:40]!r} has no value")
        fields[name] = value
    return fields


def parse_number(fields: dict[bytes, bytes], name: bytes, parse: Callable[[bytes], float]) -> float:
    """Return the number in a field. Raises `InvalidFrameError` if it is missing, no number or out of range."""
    try:
        value = parse(fields[name])
    except KeyError:
        raise InvalidFrameError(f"field {name.decode()} is missing") from None
    except ValueError:
        raise InvalidFrameError(f"field {name.decode()} is {fields[name][:40]!r}, not a number") from None
    if not -MAX_FIELD_NUMBER < value < MAX_FIELD_NUMBER:  # NaN is rejected too, as it would corrupt averages.
        raise InvalidFrameError(
            f"field {name.decode()} is {fields[name][:40]!r}, its magnitude must be less than {MAX_FIELD_NUMBER:g}"
        )
    return value


def parse_load_report(fields: dict[bytes, bytes]) -> dict[str, float]:
    """Return the load report of an answer by the policy's names, without values that are malformed or out of range."""
    report = {}
    for part in fields.get(b"report", b"").split(b";"):
        wire_name, _, text = part.partition(b":")
        try:
            value = float(text)
        except ValueError:
            continue
        if 0 <= value < MAX_LOAD_VALUE:
            name = wire_name.decode("ascii", "replace")
            report[LOAD_REPORT_NAMES.get(name, name)] = value
    return report


def is_valid_page(body: bytes, max_size: int) -> bool:
    """Return whether this is a page: complete rows of three text columns, at most `max_size` bytes.

    A faulty engine may send a valid header with noise as the body, which must not be forwarded as a result.
    """
    if len(body) > max_size or not PAGE_ROWS.fullmatch(body):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True
