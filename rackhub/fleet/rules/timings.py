"""The `timings` part of the rule book: checked like the file, held by a reload of the desk that the core asks."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rackhub import interface
from rackhub.timings.table import Table, read_table


class ReadPart(NamedTuple):
    """A part of the rule book as it was read last, encoded, and under which settings."""

    encoded: bytes
    settings: interface.Settings
    table: Table


class TimingsPart:
    """`settings` gives the site's as they are now; `file` the part of the operator's file, which holds where the book
    has none; `reload` has the desk take a table for requests from now on: a new generation, open requests end under
    theirs."""

    def __init__(
        self,
        settings: Callable[[], interface.Settings],
        file: Callable[[], Mapping[str, Any] | None],
        reload: Callable[[Table], None],
    ):
        self._settings, self._file, self._reload = settings, file, reload
        self.version = 0
        self._part: Mapping[str, Any] | None = None
        self._last_read: ReadPart | None = None

    def check(self, part: Mapping[str, Any] | None) -> None:
        if part is not None:
            self._table(part)

    def hold(self, part: Mapping[str, Any] | None, version: int) -> None:
        self._reload(self._table(part if part is not None else self._file() or {}))
        self._part, self.version = part, version

    def again(self) -> None:
        """The operator's file was read anew: it holds where the book has no such part. Raises `ValueError` where the
        file's, or the book's under the site's new settings, can't be used; what held goes on."""
        self.hold(self._part, self.version)

    def _table(self, part: Mapping[str, Any]) -> Table:
        """One edit is checked for its editor, checked again when it arrives, and held: it is read once for all three.
        A table only remembers what it looked up, so it may be handed out again."""
        settings, last, encoded = self._settings(), self._last_read, _encoded(part)
        if last is not None and last.settings is settings and last.encoded == encoded:
            return last.table
        table = read_table(dict(part), settings)
        self._last_read = ReadPart(encoded, settings, table) if encoded else None
        return table


def _encoded(part: Mapping[str, Any]) -> bytes:
    """To compare parts by: values that Python holds equal, as 1 and true, differ in it. Empty where there is none."""
    try:
        return msgspec.msgpack.encode(part)
    except (TypeError, ValueError, OverflowError):
        return b""
