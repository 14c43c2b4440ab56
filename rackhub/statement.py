"""The group of tables that a statement touches, found by its schema's name.

Only names count: strings, comments and quoting are told apart first, so that 'x_3.y' in a string or a
commented-out clause can't send a query after the wrong group. This runs for every request, so statements without
quoted names or block comments, which are most, are told by two searches; the rest are read part by part.
"""

import re

NAME = rb"""(?:[A-Za-z_][\w$#]*|"(?:[^"]|"")*"|\[(?:[^\]]|\]\])*\]|`[^`]*`)"""
SCAN = re.compile(
    rb"""
    (?P<skip>--[^\n]* | '(?:[^']|'')*(?:'|\Z))
  | (?P<open>/\*)
  | (?P<comma>,)
  | (?P<dotted>(?<![\w$\#.])NAME(?:\s*\.\s*NAME)+)
  | (?P<word>(?<![\w$\#.])NAME)
""".replace(b"NAME", NAME.replace(b"#", rb"\#")),
    re.X | re.S,
)
PART = re.compile(NAME)
COMMENT = re.compile(rb"/\*|\*/")
GROUP = re.compile(rb".*_([0-9]+)\Z", re.S)
UNSEEN = re.compile(rb"'(?:[^']|'')*'|--[^\n]*")
HIDING = re.compile(rb"""['"\[`]|/\*""")
TABLE = re.compile(
    rb"\b(?:FROM|JOIN|INTO|UPDATE|TABLE|USING)\s+"
    rb"(?:[A-Z_][\w$#]*\s*\.\s*)?([A-Z_][\w$#]*)\s*\.\s*[A-Z_]",
    re.I,
)
BEFORE_TABLES = {b"FROM", b"JOIN", b"INTO", b"UPDATE", b"TABLE", b"USING", b"COPY", b"LOAD", b"MERGE"}
AFTER_TABLES = {b"SELECT", b"WHERE", b"GROUP", b"ORDER", b"HAVING", b"SET", b"VALUES", b"ON", b"UNION"}
ASIDE = b"staging"  # the schema that loads pass through: it says nothing of what is read


def plain(name: bytes) -> bytes:
    """A name without its quotes."""
    if name[:1] in b'"`':
        return name[1:-1].replace(name[:1] * 2, name[:1])
    return name[1:-1].replace(b"]]", b"]") if name[:1] == b"[" else name


def table_group(statement: bytes) -> int | None:
    """The number in the schema of the first table that is read or written; `None` without one."""
    bare = UNSEEN.sub(b" ", statement) if b"'" in statement or b"--" in statement else statement
    if not HIDING.search(bare):
        for schema in TABLE.findall(bare):
            if schema.lower() != ASIDE and (match := GROUP.match(schema)):
                return int(match[1])
    return read_group(statement)


def read_group(statement: bytes) -> int | None:
    """The same by reading the whole statement: the first name where a table stands, else the first of any."""
    elsewhere = None
    table = False
    in_tables = False
    at = 0
    while found := SCAN.search(statement, at):
        at, kind = found.end(), found.lastgroup
        if kind == "word":
            word = found.group().upper()
            table = word in BEFORE_TABLES
            in_tables = table or in_tables and word not in AFTER_TABLES
        elif kind == "comma":
            table = in_tables
        elif kind == "dotted":
            schema = plain(PART.findall(found.group())[-2])
            if schema.lower() != ASIDE and (match := GROUP.match(schema)):
                if table:
                    return int(match[1])
                elsewhere = int(match[1]) if elsewhere is None else elsewhere
            table = False
        elif kind == "open":
            depth = 1  # comments may nest
            while depth and (mark := COMMENT.search(statement, at)):
                depth += 1 if mark.group() == b"/*" else -1
                at = mark.end()
            if depth:
                return elsewhere
    return elsewhere
