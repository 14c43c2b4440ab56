"""The group of tables that a statement touches, found by its schema's name.

Only names count: strings, comments and quoting are told apart first, so that 'x_3.y' in a string or a
commented-out clause can't send a query after the wrong group.
"""

import re

TOKEN = re.compile(rb"""
    (?P<skip>\s+ | --[^\n]* | '(?:[^']|'')*(?:'|\Z))
  | (?P<open>/\*)
  | (?P<name>[A-Za-z_][\w$\#]* | "(?:[^"]|"")*" | \[(?:[^\]]|\]\])*\] | `[^`]*`)
  | (?P<other>[0-9][\w.]*|.)
""", re.X | re.S)
COMMENT = re.compile(rb"/\*|\*/")
GROUP = re.compile(rb".*_([0-9]+)\Z", re.S)
BEFORE_TABLES = {b"FROM", b"JOIN", b"INTO", b"UPDATE", b"TABLE", b"USING", b"COPY", b"LOAD", b"MERGE"}
ASIDE = b"staging"  # the schema that loads pass through: it says nothing of what is read


def tokens(statement: bytes):
    """(kind, text) of all that is neither blank, comment nor string; comments may nest."""
    at, size = 0, len(statement)
    while at < size:
        found = TOKEN.match(statement, at)
        at = found.end()
        if found.lastgroup == "open":
            depth = 1
            while depth and (mark := COMMENT.search(statement, at)):
                depth += 1 if mark.group() == b"/*" else -1
                at = mark.end()
            at = size if depth else at
        elif found.lastgroup != "skip":
            yield found.lastgroup, found.group()


def plain(name: bytes) -> bytes:
    """A name without its quotes."""
    if name[:1] in b'"`':
        return name[1:-1].replace(name[:1] * 2, name[:1])
    return name[1:-1].replace(b"]]", b"]") if name[:1] == b"[" else name


def table_group(statement: bytes) -> int | None:
    """The number in the schema of the first table that is read or written; `None` without one."""
    elsewhere, parts, keyword = None, [], False
    dotted = in_tables = False
    for kind, text in (*tokens(statement), ("other", b"")):
        if kind == "name" and (not parts or dotted):
            word = text.upper()
            if not dotted and word in BEFORE_TABLES:
                keyword, in_tables = True, True
                continue
            parts, dotted = [*parts, plain(text)], False
            continue
        if kind == "other" and text == b"." and parts:
            dotted = True
            continue
        if len(parts) > 1 and (schema := parts[-2]).lower() != ASIDE and (match := GROUP.match(schema)):
            if keyword:
                return int(match[1])
            elsewhere = int(match[1]) if elsewhere is None else elsewhere
        parts, dotted = [], False
        keyword = in_tables and kind == "other" and text == b","
        if kind == "name":  # a name right after another: an alias or the next keyword
            in_tables = text.upper() in BEFORE_TABLES
            keyword = in_tables
            parts = [] if in_tables else [plain(text)]
        in_tables = in_tables or keyword
    return elsewhere
