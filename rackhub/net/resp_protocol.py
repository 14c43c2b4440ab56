"""RESP as engines speak it: arrays of bulk strings, fields, load reports, result pages. Pure functions, no I/O."""

import re
from collections.abc import Callable

# the `remark` of a status answer -> the topic of a progress report
PROGRESS_TOPICS = {b"advance": 1, b"disk": 2, b"stall": 3}
# the names of a load report on the wire -> those of the routing policy
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
    """Bytes that no engine of this protocol sends: nothing after them on the connection can be trusted."""


def encode_command(*strings: bytes) -> list[bytes]:
    """Return the pieces of one array of bulk strings, for a gathered write."""
    pieces = [b"*%d\r\n" % len(strings)]
    for string in strings:
        pieces += (b"$%d\r\n" % len(string), string, b"\r\n")
    return pieces


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Return the fields of an answer, `name=value,...` or `-`; raises `InvalidFrameError`."""
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
    """Return the number in a field; raises `InvalidFrameError` where it is missing or out of range."""
    try:
        value = parse(fields[name])
    except KeyError:
        raise InvalidFrameError(f"field {name.decode()} is missing") from None
    except ValueError:
        raise InvalidFrameError(f"field {name.decode()} has the bad value {fields[name][:40]!r}") from None
    if not -MAX_FIELD_NUMBER < value < MAX_FIELD_NUMBER:  # also NaN, which would spoil the policy's means
        raise InvalidFrameError(f"field {name.decode()} has the bad value {fields[name][:40]!r}")
    return value


def parse_load_report(fields: dict[bytes, bytes]) -> dict[str, float]:
    """Return the load report of an answer, by the policy's names; values that can't be parsed are left out."""
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
    """Whether this is a page: complete rows of three columns as text, of at most `max_size` bytes.

    An engine with a fault may send a valid header with noise as its body; forwarded, that would be an answer that no
    engine made.
    """
    if len(body) > max_size or not PAGE_ROWS.fullmatch(body):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True
