"""The words of the engines' wire over RESP: arrays of bulk strings, fields, load reports, pages. No I/O."""

import re
from collections.abc import Callable

TOPICS = {b"advance": 1, b"disk": 2, b"stall": 3}
# the wire's words of a load report -> the module's
REPORT_WORDS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


class InvalidFrameError(ValueError):
    """Bytes that no engine of this protocol sends: nothing after them on the connection can be trusted."""


def command(*words: bytes) -> list[bytes]:
    """The pieces of one array of bulk strings, for a gathered write."""
    pieces = [b"*%d\r\n" % len(words)]
    for word in words:
        pieces += (b"$%d\r\n" % len(word), word, b"\r\n")
    return pieces


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    if text == b"-":
        return {}
    fields = {}
    for part in text.split(b","):
        name, mark, value = part.partition(b"=")
        if not mark:
            raise InvalidFrameError(f"field {part[:40]!r} has no value")
        fields[name] = value
    return fields


def parse_number(fields: dict[bytes, bytes], name: bytes, reader: Callable[[bytes], float]) -> float:
    try:
        value = reader(fields[name])
    except KeyError:
        raise InvalidFrameError(f"field {name.decode()} is missing") from None
    except ValueError:
        raise InvalidFrameError(f"field {name.decode()} has the bad value {fields[name][:40]!r}") from None
    if not -1e18 < value < 1e18:  # also no NaN: a figure goes into the module's means
        raise InvalidFrameError(f"field {name.decode()} has the bad value {fields[name][:40]!r}")
    return value


def parse_load_report(fields: dict[bytes, bytes]) -> dict[str, float]:
    """A load report in the words of the module; one that can't be read is left out, not the answer with it."""
    report = {}
    for part in fields.get(b"report", b"").split(b";"):
        name, _, value = part.partition(b":")
        try:
            told = float(value)
        except ValueError:
            continue
        if 0 <= told < 1e12:
            word = name.decode("ascii", "replace")
            report[REPORT_WORDS.get(word, word)] = told
    return report


ROWS = re.compile(rb"(?:[^\t\n]*+\t[^\t\n]*+\t[^\t\n]*+\n)*+")


def is_valid_page(body: bytes, most: int) -> bool:
    """Whether this is a page: whole rows of three columns as text, and no more than a page may hold. On a scored day
    good heads came with noise as their body; passed on, it would be an answer that no engine made."""
    if len(body) > most or not ROWS.fullmatch(body):
        return False
    try:
        body.decode()
    except UnicodeDecodeError:
        return False
    return True
