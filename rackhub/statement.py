"""Finds the group of tables that a statement uses, by the number in the schema's name.

Strings, comments and quotes are recognised, so that 'x_3.y' in a string or a commented-out clause does not select a
wrong group. This runs for every request: most statements have no quoted names or block comments and take two regular
expression searches; the others are scanned token by token.

Statements come from clients and need not be valid SQL. The time is linear in their length: the patterns are possessive,
so that they never read the same bytes again, and a quote or bracket without an end extends to the end of the statement.
"""

import re

NAME = rb"""(?:[A-Za-z_][\w$#]*+|"(?:[^"]++|"")*+(?:"|\Z)|\[(?:[^\]]++|\]\])*+(?:\]|\Z)|`[^`]*+(?:`|\Z))"""
TOKEN = re.compile(
    rb"""
    (?P<skip>--[^\n]*+ | '(?:[^']++|'')*+(?:'|\Z))
  | (?P<open>/\*)
  | (?P<comma>,)
  | (?P<dotted>(?<![\w$\#.])NAME(?:\s*+\.\s*+NAME)++)
  | (?P<word>(?<![\w$\#.])NAME)
""".replace(b"NAME", NAME.replace(b"#", rb"\#")),
    re.X | re.S,
)
NAME_PART = re.compile(NAME)
COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
MAX_GROUP_DIGITS = 18  # a longer number is no group of tables; the result fits into 64 bits
GROUP = re.compile(rb".*_([0-9]{1,%d})\Z" % MAX_GROUP_DIGITS, re.S)
# At most this many names, strings and comments of a statement are scanned, which bounds the time of one request.
MAX_SCANNED_TOKENS = 8_192
STRING_OR_LINE_COMMENT = re.compile(rb"'(?:[^']++|'')*+(?:'|\Z)|--[^\n]*+")
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
    for _ in range(MAX_SCANNED_TOKENS):
        found = TOKEN.search(statement, position)
        if found is None:
            break
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
            position = end_of_comment(statement, position)
    return first_group


def end_of_comment(statement: bytes, position: int) -> int:
    """Return the position behind the end of a block comment, in which `position` is. Comments may be nested.

    A comment without an end, or with more than `MAX_SCANNED_TOKENS` comments in it, extends to the statement's end.
    """
    depth = 1
    for _ in range(MAX_SCANNED_TOKENS):
        mark = COMMENT_DELIMITER.search(statement, position)
        if mark is None:
            break
        position = mark.end()
        depth += 1 if mark.group() == b"/*" else -1
        if not depth:
            return position
    return len(statement)
