"""Mail that goes out: pages in a window, acked, and sent again a few times.

Pure: the time is handed in, pages come out. A piece that is not wholly acked when its life ends or its tries are used
up is dropped, and nobody is told but the counter.
"""

from collections.abc import Callable, Iterator

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits


class Piece:
    """One piece of mail to one process."""

    __slots__ = ("id", "to", "boot", "kind", "pages", "waiting", "out", "until")

    def __init__(self, id: int, to: str, boot: int, kind: str, pages: list[bytes], until: int):
        self.id, self.to, self.boot, self.kind, self.pages, self.until = id, to, boot, kind, pages, until
        self.waiting = list(range(len(pages) - 1, -1, -1))  # never sent, the first at the end
        self.out: dict[int, tuple[int, int]] = {}  # page: when to send it again, times sent

    def page(self, index: int) -> f.Page:
        return f.Page(self.id, self.boot, index, len(self.pages), self.kind, self.pages[index])


class Outbox:
    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits, self._count, self._last = limits, count, 0
        self._soonest = 0  # no page is to go out again before, and no piece ends
        self._pieces: dict[int, Piece] = {}
        self._to: dict[str, int] = {}

    def send(self, now: int, to: str, boot: int, kind: str, body: bytes) -> Iterator[tuple[str, f.Page]]:
        if self._to.get(to, 0) >= self._limits.outbox:
            self._count("mail_over")
            return
        size = self._limits.chunk
        pages = [body[at : at + size] for at in range(0, len(body), size)] or [b""]
        self._last += 1
        piece = Piece(self._last, to, boot, kind, pages, now + self._limits.mail_life)
        self._soonest = min(self._soonest, now + self._limits.resend) if self._pieces else now + self._limits.resend
        self._pieces[piece.id] = piece
        self._to[to] = self._to.get(to, 0) + 1
        self._count("mail_out")
        yield from self._fill(now, piece)

    def _fill(self, now: int, piece: Piece) -> Iterator[tuple[str, f.Page]]:
        while piece.waiting and len(piece.out) < self._limits.window:
            index = piece.waiting.pop()
            piece.out[index] = (now + self._limits.resend, 1)
            yield piece.to, piece.page(index)

    def drop_all(self) -> None:
        """This process goes by another boot number: whoever took pages of the one before would take them anew."""
        for piece in list(self._pieces.values()):
            self._lose(piece)

    def drop_to(self, to: str) -> None:
        """The receiver's process is another one or gone: what is under way to it can't arrive."""
        for piece in [piece for piece in self._pieces.values() if piece.to == to]:
            self._lose(piece)

    def got(self, now: int, sender: str, ack: f.Got) -> Iterator[tuple[str, f.Page]]:
        piece = self._pieces.get(ack.id)
        if piece is None or piece.to != sender:
            return
        for index in [i for i in piece.out if i < 8 * len(ack.seen) and ack.seen[i >> 3] >> (i & 7) & 1]:
            del piece.out[index]
        if ack.whole or not piece.out and not piece.waiting:
            self._drop(piece)
        else:
            yield from self._fill(now, piece)

    def tick(self, now: int) -> Iterator[tuple[str, f.Page]]:
        if now < self._soonest:
            return
        for piece in list(self._pieces.values()):
            if now >= piece.until:
                self._lose(piece)
                continue
            for index, (again, tries) in list(piece.out.items()):
                if again > now:
                    continue
                if tries >= self._limits.tries:
                    self._lose(piece)
                    break
                wait = min(self._limits.resend << tries, self._limits.resend_most)
                piece.out[index] = (now + wait, tries + 1)
                self._count("pages_again")
                yield piece.to, piece.page(index)
        self._soonest = min(
            (min((again for again, _ in piece.out.values()), default=piece.until) for piece in self._pieces.values()),
            default=0,
        )

    def due(self) -> int | None:
        """When `tick` is next of use; sooner where what was waited for has been acked."""
        return self._soonest if self._pieces else None

    def _lose(self, piece: Piece) -> None:
        self._count("mail_lost")
        self._drop(piece)

    def _drop(self, piece: Piece) -> None:
        del self._pieces[piece.id]
        self._to[piece.to] -= 1
        if not self._to[piece.to]:
            del self._to[piece.to]
