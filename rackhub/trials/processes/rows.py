"""What an engine's answer to a statement is: rows that name the engine, its site and the statement, so that any row of
any answer can be told to be right or wrong by whoever sees it."""

import hashlib
import re

PAGE = 6_000  # bytes that a page holds at most
HINT = re.compile(rb"\b(work|rows)=(\d{1,9})\b")
WORK, ROWS = 20_000, 2  # without a hint


def digest(statement: bytes) -> str:
    return hashlib.sha256(statement).hexdigest()[:16]


def hints(statement: bytes) -> tuple[int, int]:
    """Microseconds of work and number of rows, as a comment in the statement says: `/* work=120000 rows=3 */`."""
    told = {name: int(value) for name, value in HINT.findall(statement)}
    return told.get(b"work", WORK), min(told.get(b"rows", ROWS), 1_000)


def rows(engine: str, site: str, statement: bytes) -> list[bytes]:
    """The rows that this engine makes of it, each with its line feed."""
    sign = digest(statement)
    return [f"{engine}\t{site}\t{sign}.{number}\n".encode() for number in range(hints(statement)[1])]


def pages(made: list[bytes]) -> list[bytes]:
    """Whole rows, at least one page."""
    found, here = [], b""
    for row in made:
        if len(here) + len(row) > PAGE:
            found.append(here)
            here = b""
        here += row
    return [*found, here]


def fault(body: bytes, statement: bytes) -> str | None:
    """What is wrong with an answer's body; None: it is exactly what the engine that its rows name makes."""
    lines = body.split(b"\n")
    if lines.pop():
        return "the last row does not end"
    if not lines:
        return "no rows" if hints(statement)[1] else None
    first = lines[0].split(b"\t")
    if len(first) != 3:
        return f"a row of {len(first)} columns"
    if body != b"".join(rows(first[0].decode("utf-8", "replace"), first[1].decode("utf-8", "replace"), statement)):
        return "rows that no engine made for it"
    return None


def maker(body: bytes) -> tuple[str, str]:
    """The engine and the site that the first row names."""
    engine, site, _ = body.split(b"\n", 1)[0].decode().split("\t")
    return engine, site


def makers(body: bytes, statement: bytes) -> list[tuple[str, str]] | None:
    """The engine and site of each part of a gathered answer, in its order; None where a part is not exactly the rows
    that its engine makes."""
    found: list[tuple[str, str]] = []
    at = 0
    while at < len(body):
        try:
            here = maker(body[at:])
        except (ValueError, UnicodeDecodeError):
            return None
        part = b"".join(rows(*here, statement))
        if not part or body[at : at + len(part)] != part:
            return None
        found.append(here)
        at += len(part)
    return found
