"""Mail that comes in: pages put together, each piece handed on at most once.

A sender's numbers only grow. Those taken lately are remembered one by one; whatever is older than all of them counts as
taken, so a late double can't come through when its number has been forgotten.
"""

from collections import OrderedDict
from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.ports import MAX_MESSAGE_BYTES


class Part:
    __slots__ = ("kind", "count", "pages", "size")

    def __init__(self, kind: str, count: int):
        self.kind, self.count, self.size = kind, count, 0
        self.pages: dict[int, bytes] = {}


class Inbox:
    """What one process of one sender has sent here."""

    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits, self._count = limits, count
        self._parts: OrderedDict[int, Part] = OrderedDict()
        self._done: OrderedDict[int, None] = OrderedDict()
        self._floor = self._size = 0

    def page(self, page: f.Page) -> tuple[f.Got | None, bytes | None]:
        """The ack, and the whole body with the last page that was missing."""
        if page.id <= self._floor or page.id in self._done:
            self._count("pages_double")
            return f.Got(page.id, b"", True), None
        most = -(-MAX_MESSAGE_BYTES // self._limits.chunk)
        part = self._parts.get(page.id)
        if (
            not 0 < page.count <= most
            or page.index >= page.count
            or len(page.body) > self._limits.chunk
            or (part is not None and (part.count, part.kind) != (page.count, page.kind))
        ):
            self._count("bad_pages")
            return None, None
        if part is None:
            part = self._parts[page.id] = Part(page.kind, page.count)
        if page.index in part.pages:
            self._count("pages_double")
        else:
            part.pages[page.index] = page.body
            part.size += len(page.body)
            self._size += len(page.body)
        if len(part.pages) == part.count:
            self._finish(page.id)
            return f.Got(page.id, b"", True), b"".join(part.pages[i] for i in range(part.count))
        while len(self._parts) > self._limits.partial or self._size > self._limits.partial_bytes:
            oldest = next(iter(self._parts))
            self._count("mail_dropped")
            self._finish(oldest)
        seen = bytearray((part.count + 7) // 8)
        for index in part.pages:
            seen[index >> 3] |= 1 << (index & 7)
        return f.Got(page.id, bytes(seen)), None

    def _finish(self, id: int) -> None:
        """Taken or dropped: nothing more of it is."""
        self._size -= self._parts.pop(id).size
        self._done[id] = None
        if len(self._done) > self._limits.done:
            self._floor = max(self._floor, self._done.popitem(last=False)[0])
