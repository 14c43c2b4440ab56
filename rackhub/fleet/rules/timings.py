"""The `timings` section of the rules: checked like the operator's file, applied by a reload of the route policy."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rackhub import interface
from rackhub.timings.table import Table, read_table

Section = Mapping[str, Any]


class ParsedSection(NamedTuple):
    """The section that was parsed last, encoded, and under which settings."""

    encoded: bytes
    settings: interface.Settings
    table: Table


class TimingsSection:
    """Applies the `timings` section.

    `settings` returns the site's settings of this moment. `file` returns the section of the operator's file, which
    applies where the rules have none. `reload` applies a table to requests from now on; open requests end under theirs.
    """

    def __init__(
        self,
        settings: Callable[[], interface.Settings],
        file: Callable[[], Section | None],
        reload: Callable[[Table], None],
    ):
        self._settings = settings
        self._file = file
        self._reload = reload
        self.version = 0
        self._section: Section | None = None
        self._last_parsed: ParsedSection | None = None

    def check(self, section: Section | None) -> None:
        """Raise `ValueError` that names each key at fault; None: the rules have no such section."""
        if section is not None:
            self._parse(section)

    def apply(self, section: Section | None, version: int) -> None:
        """Apply a section, or the operator's file where there is none.

        Raises `ValueError`; what applied before stays then.
        """
        self._reload(self._parse(section if section is not None else self._file() or {}))
        self._section = section
        self.version = version

    def reload_file(self) -> None:
        """Apply the operator's file, which was reread, where the rules have no such section.

        Raises `ValueError` where the file's section, or that of the rules under the site's new settings, can't be
        used; what applied before stays.
        """
        self.apply(self._section, self.version)

    def _parse(self, section: Section) -> Table:
        """Return the section's table.

        An edit is checked for its editor, checked when it arrives, and applied: it is parsed once for all three. The
        table can be shared, as its only state is a cache of lookups.
        """
        settings = self._settings()
        last = self._last_parsed
        encoded = _encoded(section)
        if last is not None and last.settings is settings and last.encoded == encoded:
            return last.table
        table = read_table(dict(section), settings)
        self._last_parsed = ParsedSection(encoded, settings, table) if encoded else None
        return table


def _encoded(section: Section) -> bytes:
    """Encode a section for comparison: values that are equal in Python, as 1 and true, differ in it.

    Empty where the section can't be encoded.
    """
    try:
        return msgspec.msgpack.encode(section)
    except (TypeError, ValueError, OverflowError):
        return b""
