"""What a measurement prints: rows of one type, as a table or as one JSON document."""

from collections.abc import Sequence

import msgspec


def show(rows: Sequence[msgspec.Struct], json: bool) -> None:
    if json:
        return print(msgspec.json.encode(rows).decode())
    names = type(rows[0]).__struct_fields__
    print("| " + " | ".join(names) + " |")
    for row in rows:
        print("| " + " | ".join(str(getattr(row, name)) for name in names) + " |")
