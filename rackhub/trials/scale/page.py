"""Fill the tables of the capacity page from its data, or say which of them disagree with it.

A table stands between `<!-- table: NAME -->` and `<!-- end of table -->`, each on a line of its own.
"""

import re
import sys
from collections.abc import Mapping
from pathlib import Path

import msgspec

from rackhub.trials.scale import page_data
from rackhub.trials.scale.page_data import FOLDER, PAGE, PageData
from rackhub.trials.scale.tables import TABLES, Table

END = "<!-- end of table -->"
MARKED = re.compile(
    r"^<!-- table: (?P<name>[\w-]+) -->\n(?P<body>.*?)^" + re.escape(END) + "$", re.MULTILINE | re.DOTALL
)
BEGIN = re.compile(r"^<!-- table: (?P<name>[\w-]+) -->$", re.MULTILINE)


class BadPage(ValueError):
    """The page's markers can't be used; the text names one."""


def marker(name: str) -> str:
    return f"<!-- table: {name} -->"


def check_markers(page: str, tables: Mapping[str, Table]) -> None:
    """Each table must stand in the page just once, and be closed."""
    begun = BEGIN.findall(page)
    closed = [match["name"] for match in MARKED.finditer(page)]
    for name in begun:
        if name not in tables:
            raise BadPage(f"{name}: there is no such table")
        if begun.count(name) > 1:
            raise BadPage(f"{name}: stands in the page twice")
        if name not in closed:
            raise BadPage(f"{name}: its end is missing")
    for name in tables:
        if name not in begun:
            raise BadPage(f"{name}: is missing in the page")


def fill(page: str, data: PageData, tables: Mapping[str, Table] = TABLES) -> str:
    """The page with all its tables as the data has them."""
    check_markers(page, tables)

    def filled(match: re.Match[str]) -> str:
        name = match["name"]
        return f"{marker(name)}\n{tables[name](data)}\n{END}"

    return MARKED.sub(filled, page)


def disagreeing(page: str, data: PageData, tables: Mapping[str, Table] = TABLES) -> list[str]:
    """The names of the tables that are not as the data has them, in the page's order."""
    check_markers(page, tables)
    return [
        match["name"] for match in MARKED.finditer(page) if match["body"].rstrip("\n") != tables[match["name"]](data)
    ]


def run_check(page: str, data: PageData) -> int:
    wrong = disagreeing(page, data)
    for name in wrong:
        print(f"table {name}: the page and docs/capacity disagree; run `python -m rackhub.trials.scale page`")
    return 1 if wrong else 0


def main(check: bool, path: Path = PAGE, folder: Path = FOLDER) -> int:
    """0: filled, or all agree; 1: a table disagrees; 2: the page or its data can't be used."""
    try:
        page, data = path.read_text(), page_data.read(folder)
        if check:
            return run_check(page, data)
        path.write_text(fill(page, data))
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as bad:
        print(f"page: {bad}", file=sys.stderr)
        return 2
    return 0
