"""Mail that goes out: pages in a window, acked, and sent again a few times.

Pure: the time is handed in, pages come out. A piece that is not wholly acked when its life ends or its tries are used
up is dropped, and nobody is told but the counter.
"""

from collections.abc import Callable, Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits


class OutgoingMessage:
    """One piece of mail to one process."""

    __slots__ = ("id", "recipient", "generation", "kind", "pages", "unsent", "unacked", "expires_at")

    def __init__(self, id: int, recipient: str, generation: int, kind: str, pages: list[bytes], expires_at: int):
        self.id, self.recipient, self.generation, self.kind, self.pages, self.expires_at = (
            id,
            recipient,
            generation,
            kind,
            pages,
            expires_at,
        )
        self.unsent = list(range(len(pages) - 1, -1, -1))  # never sent, the first at the end
        self.unacked: dict[int, tuple[int, int]] = {}  # page: when to send it again, times sent

    def page(self, index: int) -> f.Page:
        return f.Page(self.id, self.generation, index, len(self.pages), self.kind, self.pages[index])


class Outbox:
    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits, self._count, self._last_id = limits, count, 0
        self._next_due = 0  # no page is to go out again before, and no piece ends
        self._messages: dict[int, OutgoingMessage] = {}
        self._count_by_recipient: dict[str, int] = {}

    def send(self, now: int, recipient: str, generation: int, kind: str, body: bytes) -> Iterator[tuple[str, f.Page]]:
        if self._count_by_recipient.get(recipient, 0) >= self._limits.max_outgoing_messages:
            self._count("mail_over")
            return
        size = self._limits.page_bytes
        pages = [body[at : at + size] for at in range(0, len(body), size)] or [b""]
        self._last_id += 1
        message = OutgoingMessage(
            self._last_id, recipient, generation, kind, pages, now + self._limits.message_lifetime
        )
        self._next_due = (
            min(self._next_due, now + self._limits.resend_delay) if self._messages else now + self._limits.resend_delay
        )
        self._messages[message.id] = message
        self._count_by_recipient[recipient] = self._count_by_recipient.get(recipient, 0) + 1
        self._count("mail_out")
        yield from self._fill_window(now, message)

    def _fill_window(self, now: int, message: OutgoingMessage) -> Iterator[tuple[str, f.Page]]:
        while message.unsent and len(message.unacked) < self._limits.page_window:
            index = message.unsent.pop()
            message.unacked[index] = (now + self._limits.resend_delay, 1)
            yield message.recipient, message.page(index)

    def drop_all(self) -> None:
        """This process goes by another boot number: whoever took pages of the one before would take them anew."""
        for message in list(self._messages.values()):
            self._drop_lost(message)

    def drop_recipient(self, recipient: str) -> None:
        """The receiver's process is another one or gone: what is under way to it can't arrive."""
        for message in [message for message in self._messages.values() if message.recipient == recipient]:
            self._drop_lost(message)

    def handle_page_ack(self, now: int, sender: str, ack: f.PageAck) -> Iterator[tuple[str, f.Page]]:
        message = self._messages.get(ack.id)
        if message is None or message.recipient != sender:
            return
        for index in [i for i in message.unacked if i < 8 * len(ack.received) and ack.received[i >> 3] >> (i & 7) & 1]:
            del message.unacked[index]
        if ack.complete or not message.unacked and not message.unsent:
            self._remove(message)
        else:
            yield from self._fill_window(now, message)

    def tick(self, now: int) -> Iterator[tuple[str, f.Page]]:
        if now < self._next_due:
            return
        for message in list(self._messages.values()):
            if now >= message.expires_at:
                self._drop_lost(message)
                continue
            for index, (resend_at, attempts) in list(message.unacked.items()):
                if resend_at > now:
                    continue
                if attempts >= self._limits.max_page_attempts:
                    self._drop_lost(message)
                    break
                wait = min(self._limits.resend_delay << attempts, self._limits.max_resend_delay)
                message.unacked[index] = (now + wait, attempts + 1)
                self._count("pages_again")
                yield message.recipient, message.page(index)
        self._next_due = min(
            (
                min((resend_at for resend_at, _ in message.unacked.values()), default=message.expires_at)
                for message in self._messages.values()
            ),
            default=0,
        )

    def due(self) -> int | None:
        """When `tick` is next of use; sooner where what was waited for has been acked."""
        return self._next_due if self._messages else None

    def _drop_lost(self, message: OutgoingMessage) -> None:
        self._count("mail_lost")
        self._remove(message)

    def _remove(self, message: OutgoingMessage) -> None:
        del self._messages[message.id]
        self._count_by_recipient[message.recipient] -= 1
        if not self._count_by_recipient[message.recipient]:
            del self._count_by_recipient[message.recipient]
