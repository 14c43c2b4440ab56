"""The `timings` section of the rules: checked like the operator's file, and applied by reloading the route policy."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from rackhub import interface
from rackhub.timings.table import Table, read_table

Section = Mapping[str, Any]


class ParsedSection(NamedTuple):
    """The section that was parsed last: its encoded form, the site's settings at that time, and the resulting table."""

    encoded: bytes
    settings: interface.Settings
    table: Table


class TimingsSection:
    """Applies the `timings` section.

    `settings` returns the site's present settings. `file_section` returns the section of the operator's file, which
    applies if the rules have none. `reload` applies a table to new requests; open requests keep the table that they
    began with.
    """

    def __init__(
        self,
        settings: Callable[[], interface.Settings],
        file_section: Callable[[], Section | None],
        reload: Callable[[Table], None],
    ):
        self._settings = settings
        self._file_section = file_section
        self._reload = reload
        self.version = 0
        self._section: Section | None = None
        self._last_parsed: ParsedSection | None = None

    def check(self, section: Section | None) -> None:
        """Raise `ValueError` with the name of each invalid key. None means that the rules have no such section."""
        if section is not None:
            self._parse(section)

    def apply(self, section: Section | None, version: int) -> None:
        """Apply a section, or that of the operator's file if `section` is None.

        Raises `ValueError` if it is invalid; the previous section stays active then.
        """
        self._reload(self._parse(section if section is not None else self._file_section() or {}))
        self._section = section
        self.version = version

    def reload_file(self) -> None:
        """Apply the present section again after the operator's file or the site's settings were reread.

        If the rules have no such section, that of the file applies. Raises `ValueError` if the section is invalid under
        the present settings; the previous table stays active then.
        """
        self.apply(self._section, self.version)

    def _parse(self, section: Section) -> Table:
        """Return the table of a section; the last table is cached.

        A gateway checks an edit for the editor, checks it again when it arrives, and applies it; the cache makes it
        parse the edit once. The table can be shared, because its only state is a cache of lookups.
        """
        settings = self._settings()
        last = self._last_parsed
        encoded = _encode(section)
        if last is not None and last.settings is settings and last.encoded == encoded:
            return last.table
        table = read_table(dict(section), settings)
        self._last_parsed = ParsedSection(encoded, settings, table) if encoded else None
        return table


def _encode(section: Section) -> bytes:
    """Encode a section for comparison; values that are equal in Python, such as 1 and True, have different encodings.

    Returns an empty string if the section can't be encoded.
    """
    try:
        return msgspec.msgpack.encode(section)
    except (TypeError, ValueError, OverflowError):
        return b""
