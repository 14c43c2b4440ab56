"""Incoming messages: pages are reassembled, and each message is delivered at most once.

A sender's message ids only grow. The ids completed most recently are remembered one by one. Any id below all of those
counts as completed, so a late duplicate is not delivered again after its id was forgotten.
"""

from collections import OrderedDict
from collections.abc import Callable

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.ports import MAX_MESSAGE_BYTES


class PartialMessage:
    """A message of which some pages are missing."""

    __slots__ = ("kind", "count", "pages", "size")

    def __init__(self, kind: str, count: int):
        self.kind, self.count, self.size = kind, count, 0
        self.pages: dict[int, bytes] = {}


class Inbox:
    """Messages from one process of one sender."""

    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits, self._count = limits, count
        self._partial: OrderedDict[int, PartialMessage] = OrderedDict()
        self._completed_ids: OrderedDict[int, None] = OrderedDict()
        self._completed_floor = self._size = 0

    def handle_page(self, page: f.Page) -> tuple[f.PageAck | None, bytes | None]:
        """Handle a page.

        Return the ack and, with the last missing page, the whole body. Both are None for an invalid page.
        """
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
        """Mark a message as delivered or dropped, so that no more of its pages are accepted."""
        self._size -= self._partial.pop(id).size
        self._completed_ids[id] = None
        if len(self._completed_ids) > self._limits.completed_ids_kept:
            self._completed_floor = max(self._completed_floor, self._completed_ids.popitem(last=False)[0])
