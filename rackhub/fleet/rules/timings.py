"""The `timings` part of the rule book: checked like the file, held by a reload of the desk that the core asks."""

from collections.abc import Callable, Mapping
from typing import Any

from rackhub import interface as t
from rackhub.timings.table import Table, read_table


class TimingsPart:
    """`settings` gives the site's as they are now; `file` the part of the operator's file, which holds where the book
    has none; `reload` has the desk take a table for requests from now on: a new generation, open requests end under
    theirs."""

    def __init__(
        self,
        settings: Callable[[], t.Settings],
        file: Callable[[], Mapping[str, Any] | None],
        reload: Callable[[Table], None],
    ):
        self._settings, self._file, self._reload = settings, file, reload
        self.version = 0
        self._part: Mapping[str, Any] | None = None

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
        return read_table(dict(part), self._settings())
