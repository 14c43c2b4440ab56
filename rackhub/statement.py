"""Finds the group of tables that a statement uses, by the number in the schema's name.

Strings, comments and quotes are recognised, so that 'x_3.y' in a string or a commented-out clause does not select a
wrong group. This runs for every request: most statements have no quoted names or block comments and take two regular
expression searches; the others are scanned token by token.
"""

import re

NAME = rb"""(?:[A-Za-z_][\w$#]*|"(?:[^"]|"")*"|\[(?:[^\]]|\]\])*\]|`[^`]*`)"""
TOKEN = re.compile(
    rb"""
    (?P<skip>--[^\n]* | '(?:[^']|'')*(?:'|\Z))
  | (?P<open>/\*)
  | (?P<comma>,)
  | (?P<dotted>(?<![\w$\#.])NAME(?:\s*\.\s*NAME)+)
  | (?P<word>(?<![\w$\#.])NAME)
""".replace(b"NAME", NAME.replace(b"#", rb"\#")),
    re.X | re.S,
)
NAME_PART = re.compile(NAME)
COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
GROUP = re.compile(rb".*_([0-9]+)\Z", re.S)
STRING_OR_LINE_COMMENT = re.compile(rb"'(?:[^']|'')*'|--[^\n]*")
QUOTE_OR_BLOCK_COMMENT = re.compile(rb"""['"\[`]|/\*""")
TABLE = re.compile(
    rb"\b(?:FROM|JOIN|INTO|UPDATE|TABLE|USING)\s+"
    rb"(?:[A-Z_][\w$#]*\s*\.\s*)?([A-Z_][\w$#]*)\s*\.\s*[A-Z_]",
    re.I,
)
KEYWORDS_BEFORE_TABLES = {b"FROM", b"JOIN", b"INTO", b"UPDATE", b"TABLE", b"USING", b"COPY", b"LOAD", b"MERGE"}
KEYWORDS_AFTER_TABLES = {b"SELECT", b"WHERE", b"GROUP", b"ORDER", b"HAVING", b"SET", b"VALUES", b"ON", b"UNION"}
STAGING_SCHEMA = b"staging"  # temporary schema of loads: says nothing about the tables that are read


def unquote(name: bytes) -> bytes:
    """Return a name without its quotes."""
    if name[:1] in b'"`':
        return name[1:-1].replace(name[:1] * 2, name[:1])
    return name[1:-1].replace(b"]]", b"]") if name[:1] == b"[" else name


def table_group(statement: bytes) -> int | None:
    """Return the number in the schema's name of the first table that is read or written, or None."""
    stripped = STRING_OR_LINE_COMMENT.sub(b" ", statement) if b"'" in statement or b"--" in statement else statement
    if not QUOTE_OR_BLOCK_COMMENT.search(stripped):
        for schema in TABLE.findall(stripped):
            if schema.lower() != STAGING_SCHEMA and (match := GROUP.match(schema)):
                return int(match[1])
    return scan_table_group(statement)


def scan_table_group(statement: bytes) -> int | None:
    """Return the same by scanning the whole statement: the first name in a table position, else the first name."""
    first_group = None
    is_table_position = False
    is_table_list = False
    position = 0
    while found := TOKEN.search(statement, position):
        position, kind = found.end(), found.lastgroup
        if kind == "word":
            word = found.group().upper()
            is_table_position = word in KEYWORDS_BEFORE_TABLES
            is_table_list = is_table_position or is_table_list and word not in KEYWORDS_AFTER_TABLES
        elif kind == "comma":
            is_table_position = is_table_list
        elif kind == "dotted":
            schema = unquote(NAME_PART.findall(found.group())[-2])
            if schema.lower() != STAGING_SCHEMA and (match := GROUP.match(schema)):
                if is_table_position:
                    return int(match[1])
                first_group = int(match[1]) if first_group is None else first_group
            is_table_position = False
        elif kind == "open":
            depth = 1  # comments may be nested
            while depth and (mark := COMMENT_DELIMITER.search(statement, position)):
                depth += 1 if mark.group() == b"/*" else -1
                position = mark.end()
            if depth:
                return first_group
    return first_group
