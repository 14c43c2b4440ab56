"""Splits a byte stream into lines, which stay in the buffer until they are taken.

The work is linear in the bytes received: each byte is searched once for the end of a line, in pieces of any size.
"""

MIN_FREED_BYTES = 4_096


class LineBuffer:
    """Received bytes that are not taken yet: complete lines, and the beginning of an incomplete one."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._taken = 0  # bytes at the beginning of `_data` that belong to lines already taken
        self._searched = 0  # bytes of `_data` that contain no further end of a line

    def __len__(self) -> int:
        """Return the number of bytes not taken yet."""
        return len(self._data) - self._taken

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def take_line(self) -> bytes | None:
        """Remove and return the next complete line without its end, or return None if there is none."""
        end = self._data.find(b"\n", self._searched)
        if end < 0:
            self._searched = len(self._data)
            return None
        line = bytes(memoryview(self._data)[self._taken : end])
        self._taken = self._searched = end + 1
        return line

    def has_complete_line(self) -> bool:
        """Return whether `take_line` would return a line."""
        end = self._data.find(b"\n", self._searched)
        self._searched = len(self._data) if end < 0 else end  # no byte is searched twice
        return end >= 0

    def take_all(self) -> bytes:
        """Remove and return all bytes that are not taken yet."""
        rest = bytes(memoryview(self._data)[self._taken :])
        self._data = bytearray()
        self._taken = self._searched = 0
        return rest

    def truncate(self, size: int) -> None:
        """Keep only the first `size` bytes that are not taken; they must not contain a complete line."""
        self._data = self._data[self._taken : self._taken + size]
        self._taken = 0
        self._searched = len(self._data)

    def discard_taken(self) -> None:
        """Free the memory of the lines already taken, once it is worth a copy of the rest.

        Deleting the lines in place would not do: a bytearray keeps up to twice the memory of its content.
        """
        if self._taken >= MIN_FREED_BYTES or 0 < self._taken == len(self._data):
            self._data = self._data[self._taken :]
            self._searched -= self._taken
            self._taken = 0
