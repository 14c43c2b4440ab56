"""The manual ejections that the processes of one coordinator share through the handover file.

While a process replaces another, operators call either of them. Each change is made to the content that was saved last,
under an exclusive lock, so that no process undoes the changes of the other. A change is saved before it is confirmed.
"""

import contextlib
import logging
import os
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from rackhub import interface
from rackhub.file_lock import exclusive_lock
from rackhub.ops import handover_file
from rackhub.ops.manual_ejections import ManualEjections

log = logging.getLogger(__name__)

LOCK_SUFFIX = ".lock"


class NotSavedError(Exception):
    """A change could not be saved, so that it must not be confirmed; the text gives the reason."""


class SharedEjections:
    """The manual ejections: those in the file, and those that could not be saved yet."""

    def __init__(self, path: Path, count: Callable[[str], None]) -> None:
        """Load the ejections that the previous process has saved; `count` adds one to a counter."""
        self._path = path
        self._count = count
        self._saved_version = handover_file.file_version(path)  # the version last read or written by this process
        self.current: ManualEjections = handover_file.load_ejections(path, count)
        self._unsaved_ejections: set[str] = set()
        self._has_unsaved = False

    def eject(self, engine: str) -> bool:
        """Eject an engine. Returns False if its id is unknown.

        Raises `NotSavedError` if that could not be saved. The ejection is active here nevertheless, and `refresh` tries
        to save it again.
        """
        self._adopt_saved()
        if not self.current.eject(engine):
            return False
        self._unsaved_ejections.add(engine)
        self._save()
        return True

    def restore(self, engine: str, now: int) -> bool:
        """Restore an engine, with a slow start from `now` (microseconds). Returns False if its id is unknown.

        Raises `NotSavedError` if that could not be saved; the engine then stays ejected.
        """
        self._adopt_saved()
        if engine not in self.current.known:
            return False
        with self._exclusive():
            self._adopt_saved()
            restored = self.current.copy()
            restored.restore(engine, now)
            self._write(restored)
            self._unsaved_ejections.discard(engine)
            self.current = restored
        return True

    def add_known(self, entries: Sequence[interface.EngineEntry]) -> None:
        """Record the ids of an endpoint list, which a successor has to know too; a failure is retried by `refresh`."""
        if self.current.add_known(entries):
            with contextlib.suppress(NotSavedError):
                self._save()

    def refresh(self) -> bool:
        """Adopt what the other process has saved, and save what could not be saved.

        Returns whether the ejections have changed.
        """
        changed = self._adopt_saved()
        if self._has_unsaved:
            with contextlib.suppress(NotSavedError):
                self._save()
        return changed

    def _save(self) -> None:
        """Save the known ids and the unsaved ejections, merged with what is saved. Raises `NotSavedError`."""
        self._has_unsaved = True
        with self._exclusive():
            self._adopt_saved()
            self._write(self.current)
            self._unsaved_ejections.clear()
            self._has_unsaved = False

    def _adopt_saved(self) -> bool:
        """Adopt the ejections that another process has saved, beside the unsaved ones; return whether they changed."""
        version = handover_file.file_version(self._path)
        if version is None or version == self._saved_version:
            return False
        try:
            state = handover_file.read(self._path)
        except handover_file.HandoverFileError as error:
            self._saved_version = version
            self._count("ops_state_bad")
            log.error("ignoring the ejections saved by another process: %s", error)
            return False
        except OSError as error:  # for a moment: to be read again
            log.warning("can't read the ejections saved by another process: %s", error)
            return False
        if state is None:
            return False
        self._saved_version = version
        ejected = set(state.ejected) | self._unsaved_ejections
        restored_at = {engine: at for engine, at in state.restored_at.items() if engine not in ejected}
        return self.current.adopt(ejected, set(state.known), restored_at)

    def _write(self, ejections: ManualEjections) -> None:
        handover_file.write(self._path, handover_file.encode(ejections.ejected, ejections.known, ejections.restored_at))
        self._saved_version = handover_file.file_version(self._path)

    @contextlib.contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Hold the lock of the file, for reading and writing it as one step. Raises `NotSavedError`."""
        try:
            with exclusive_lock(f"{self._path}{LOCK_SUFFIX}"):
                self._check_readable()
                yield
        except OSError as error:
            self._count("ops_state_unwritten")
            log.error("can't save the manual ejections: %s", error)
            raise NotSavedError(os.strerror(error.errno or 0)) from None

    def _check_readable(self) -> None:
        """Raise `OSError` if what is saved can't be read now: writing would undo the other process's changes."""
        with contextlib.suppress(handover_file.HandoverFileError):
            handover_file.read(self._path)
