"""What an edit, an undo, a confirmation and the end of a trial make of the book. Pure; history only grows."""

import msgspec

from rackhub.fleet.rules.words import BOOK, CONTENT, KEPT, WORDS, Ask, Book, Refused, Version, encode


def content(book: Book, number: int) -> dict[str, object]:
    """What a version says. Before the first one the files hold: nothing."""
    found = book.find(number)
    return found.content if found is not None else {}


def kept(book: Book, number: int) -> bool:
    """Whether the content of that number is still known; version 0 is as long as version 1 is."""
    return book.find(number) is not None or not number and (book.find(1) is not None or not book.versions)


def apply(book: Book, ask: Ask) -> tuple[Book, Version]:
    """The book after it, and the version it made; one that the same id made before is found again. Raises `Refused`."""
    said = next((one for one in reversed(book.versions) if one.id == ask.id), None)
    if said is not None:
        if (said.kind, said.author, said.reason) != (ask.kind, ask.author, ask.reason):
            raise Refused(f"id {ask.id!r} was used by {said.author}: version {said.number}, {said.reason!r}")
        return book, said
    _sound(ask)
    newest = book.versions[-1] if book.versions else None
    if ask.on > book.newest:
        raise Refused(f"there is no version {ask.on} yet: the newest is {book.newest}")
    if ask.on < book.newest:
        since = [one for one in book.versions if one.number > ask.on]
        theirs = "; ".join(f"version {one.number} by {one.author} ({one.reason})" for one in since[-3:])
        raise Refused(
            f"{ask.author}'s {ask.kind} ({ask.reason}) builds on version {ask.on}; since then there is {theirs}"
        )
    trial = newest if newest is not None and newest.trial is not None else None
    if ask.kind in ("confirm", "lapse") and trial is None:
        raise Refused(f"version {book.newest} is not on trial")
    if ask.kind == "edit" and trial is not None:
        raise Refused(
            f"version {trial.number} by {trial.author} ({trial.reason}) is on trial: confirm or undo it first"
        )
    of = _of(book, ask)
    changed = {**content(book, of), **ask.parts}
    changed = {name: part for name, part in changed.items() if part is not None}
    if ask.kind != "confirm" and changed == content(book, book.newest):
        raise Refused(f"it changes nothing: version {book.newest} says the same")
    if len(encode(changed)) > CONTENT:
        raise Refused(f"its content has {len(encode(changed))} bytes, more than {CONTENT}")
    made = Version(
        book.newest + 1,
        changed,
        ask.author,
        ask.reason,
        ask.told,
        ask.gateway,
        ask.id,
        ask.kind,
        of if ask.kind != "edit" else 0,
        ask.trial if ask.kind == "edit" else None,
    )
    return trimmed(Book((*book.versions, made))), made


def _sound(ask: Ask) -> None:
    for key, text in (("author", ask.author), ("reason", ask.reason), ("id", ask.id)):
        if not 0 < len(text) <= WORDS:
            raise Refused(f"{key}: {text[:40]!r}: from 1 to {WORDS} letters are needed")


def _of(book: Book, ask: Ask) -> int:
    """Whose content the new version begins from."""
    if ask.kind in ("edit", "confirm"):
        return book.newest
    if ask.kind == "lapse":
        return book.newest - 1
    if not book.versions:
        raise Refused("there is no version to undo")
    if ask.to < 0:  # a confirmation says what was said already: the one before is the one that said something else
        back = book.newest - 1
        while kept(book, back) and content(book, back) == content(book, book.newest):
            back -= 1
    else:
        back = ask.to
    if not 0 <= back < book.newest or not kept(book, back):
        raise Refused(
            f"version {back} is not kept: there are {0 if kept(book, 0) else book.versions[0].number} to {book.newest}"
        )
    return back


def trimmed(book: Book) -> Book:
    """Within `KEPT` and `BOOK`: the oldest go; the newest two never."""
    versions = book.versions[-KEPT:]
    sizes = [len(encode(one)) for one in versions]
    while len(versions) > 2 and sum(sizes) > BOOK:
        versions, sizes = versions[1:], sizes[1:]
    return Book(versions)


def merged(book: Book, others: tuple[Version, ...]) -> tuple[Book, list[int]]:
    """With what another gateway holds, and the numbers under which it holds something else, which must never be: what
    is held here stays then. Only versions that a majority chose are ever handed on."""
    found = {one.number: one for one in book.versions}
    differ = [one.number for one in others if one.number in found and found[one.number] != one]
    found = {**{one.number: one for one in others}, **found}
    newest = max(found, default=0)
    whole = []
    while newest in found:
        whole.append(found[newest])
        newest -= 1
    return trimmed(Book(tuple(whole[::-1]))), differ


def decode(value: bytes | None) -> Book:
    """Of the register's value. Raises `msgspec.MsgspecError`."""
    return msgspec.msgpack.decode(value, type=Book) if value is not None else Book()
