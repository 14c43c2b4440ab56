"""The calls of the second address, decided: what each line asks for and what is answered. No I/O of its own; the
daemon hands it the ports it acts through."""

from collections.abc import Callable

from rackhub.ops.bans import Bans

VERBS = ("HEALTH", "DUMP", "OFFLINE", "ONLINE")


class OpsDesk:
    """`ready()`: whether the process serves; `changed()`: the bans have changed, show the list anew and keep them;
    `figures()`: the text of the figures; `now()`: microseconds; `fresh()`: take up what another process was told."""

    def __init__(
        self,
        bans: Bans,
        ready: Callable[[], bool],
        changed: Callable[[], None],
        figures: Callable[[], bytes],
        now: Callable[[], int],
        fresh: Callable[[], None] = lambda: None,
    ):
        self.bans, self._ready, self._changed, self._figures, self._now = bans, ready, changed, figures, now
        self._fresh = fresh

    def answer(self, line: bytes) -> bytes:
        """The whole answer to one line (without its end of line), ending in a newline."""
        try:
            text = line.decode("ascii")
        except UnicodeDecodeError:
            return b"NO the call is not text\n"
        if not text.isprintable():
            return b"NO the call is not text\n"
        words = text.split()
        if not words:
            return b"NO an empty call\n"
        verb, rest = words[0].upper(), words[1:]
        if verb not in VERBS:
            return f"NO unknown call {words[0][:40]!r}\n".encode()
        if verb in ("HEALTH", "DUMP") and rest:
            return f"NO {verb} takes nothing after it\n".encode()
        if verb in ("OFFLINE", "ONLINE") and len(rest) != 1:
            return f"NO {verb} takes one engine id\n".encode()
        if verb == "HEALTH":
            return b"YES ready\n" if self._ready() else b"NO not ready\n"
        if verb == "DUMP":
            return b"YES figures follow\n" + self._figures() + b"END\n"
        engine = rest[0]
        self._fresh()
        done = self.bans.offline(engine) if verb == "OFFLINE" else self.bans.online(engine, self._now())
        if not done:
            return f"NO {engine[:80]} was never listed\n".encode()
        self._changed()
        return f"YES {engine} {'out' if verb == 'OFFLINE' else 'back'}\n".encode()
