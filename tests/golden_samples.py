"""Sample values of message types, built from their declarations, for the recordings that the golden tests read."""

import random
from collections.abc import Iterator
from typing import Any, get_args

import msgspec
from msgspec import inspect


def samples(declared: Any, seed: int = 1) -> list[Any]:
    """Three values of each struct of a union (or of one struct): required fields only, then all fields, twice."""
    members = [member for member in get_args(declared) or (declared,)]
    return [value for member in members for value in _of_struct(member, random.Random(seed))]


def _of_struct(struct: type, draw: random.Random) -> Iterator[Any]:
    info = inspect.type_info(struct)
    assert isinstance(info, inspect.StructType)
    required = {field.name: _value(field.type, draw) for field in info.fields if field.required}
    yield struct(**required)
    for _ in range(2):
        yield struct(**{field.name: _value(field.type, draw) for field in info.fields})


def _value(info: Any, draw: random.Random) -> Any:
    match info:
        case inspect.IntType():
            least = info.ge if info.ge is not None else 0
            most = info.le if info.le is not None else info.lt - 1 if info.lt is not None else 1 << 40
            return draw.randint(least, min(most, least + (1 << draw.randint(0, 40))))
        case inspect.FloatType():
            return draw.randint(0, 10_000) / 8
        case inspect.BoolType():
            return draw.random() < 0.5
        case inspect.StrType():
            return _letters(draw, info.min_length or 1, info.max_length)
        case inspect.BytesType():
            return _letters(draw, info.min_length or 1, info.max_length).encode()
        case inspect.LiteralType():
            return draw.choice(info.values)
        case inspect.EnumType():
            return draw.choice(list(info.cls))
        case inspect.NoneType():
            return None
        case inspect.AnyType():
            return {"deadline_ms": draw.randint(1, 9_000), "names": ["a", "b"]}
        case inspect.UnionType():
            return _value(draw.choice(info.types), draw)
        case inspect.VarTupleType() | inspect.ListType() | inspect.CollectionType():
            made = [_value(info.item_type, draw) for _ in range(draw.randint(1, 3))]
            return made if isinstance(info, inspect.ListType) else tuple(made)
        case inspect.TupleType():
            return tuple(_value(one, draw) for one in info.item_types)
        case inspect.DictType():
            return {_value(info.key_type, draw): _value(info.value_type, draw) for _ in range(2)}
        case inspect.NamedTupleType() | inspect.DataclassType() | inspect.StructType():
            return info.cls(**{field.name: _value(field.type, draw) for field in info.fields})
        case inspect.RawType():
            return msgspec.Raw(msgspec.msgpack.encode([1, "raw"]))
        case inspect.CustomType():
            return {}
    raise TypeError(f"no sample for {info!r}")


def _letters(draw: random.Random, least: int, most: int | None) -> str:
    length = draw.randint(least, max(least, min(most or 12, least + 11)))
    return "".join(draw.choice("abcdefghijklmnopqrstuvwxyz-_.é"[: 29 if most else 30]) for _ in range(length))
