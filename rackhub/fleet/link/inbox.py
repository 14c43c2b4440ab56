"""Mail that comes in: pages put together, each piece handed on at most once.

A sender's numbers only grow. Those taken lately are remembered one by one; whatever is older than all of them counts as
taken, so a late double can't come through when its number has been forgotten.
"""

from collections import OrderedDict
from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.ports import MAX_MESSAGE_BYTES


class PartialMessage:
    __slots__ = ("kind", "count", "pages", "size")

    def __init__(self, kind: str, count: int):
        self.kind, self.count, self.size = kind, count, 0
        self.pages: dict[int, bytes] = {}


class Inbox:
    """What one process of one sender has sent here."""

    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits, self._count = limits, count
        self._partial: OrderedDict[int, PartialMessage] = OrderedDict()
        self._completed_ids: OrderedDict[int, None] = OrderedDict()
        self._completed_floor = self._size = 0

    def handle_page(self, page: f.Page) -> tuple[f.PageAck | None, bytes | None]:
        """The ack, and the whole body with the last page that was missing."""
        if page.id <= self._completed_floor or page.id in self._completed_ids:
            self._count("pages_double")
            return f.PageAck(page.id, b"", True), None
        max_pages = -(-MAX_MESSAGE_BYTES // self._limits.page_bytes)
        message = self._partial.get(page.id)
        if (
            not 0 < page.count <= max_pages
            or page.index >= page.count
            or len(page.body) > self._limits.page_bytes
            or (message is not None and (message.count, message.kind) != (page.count, page.kind))
        ):
            self._count("bad_pages")
            return None, None
        if message is None:
            message = self._partial[page.id] = PartialMessage(page.kind, page.count)
        if page.index in message.pages:
            self._count("pages_double")
        else:
            message.pages[page.index] = page.body
            message.size += len(page.body)
            self._size += len(page.body)
        if len(message.pages) == message.count:
            self._finish(page.id)
            return f.PageAck(page.id, b"", True), b"".join(message.pages[i] for i in range(message.count))
        while len(self._partial) > self._limits.max_partial_messages or self._size > self._limits.max_partial_bytes:
            oldest = next(iter(self._partial))
            self._count("mail_dropped")
            self._finish(oldest)
        received = bytearray((message.count + 7) // 8)
        for index in message.pages:
            received[index >> 3] |= 1 << (index & 7)
        return f.PageAck(page.id, bytes(received)), None

    def _finish(self, id: int) -> None:
        """Taken or dropped: nothing more of it is."""
        self._size -= self._partial.pop(id).size
        self._completed_ids[id] = None
        if len(self._completed_ids) > self._limits.completed_ids_kept:
            self._completed_floor = max(self._completed_floor, self._completed_ids.popitem(last=False)[0])
