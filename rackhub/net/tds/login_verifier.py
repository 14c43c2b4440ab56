"""Verifies the passwords of TDS logins on a thread of its own, with a bounded queue.

The key derivation takes some milliseconds of processor time for each password. On the event loop, clients that log in
with wrong passwords at full speed would hold up the requests of all others. A password that was verified before is
recognised by a keyed digest, so that usual clients don't wait in the queue.
"""

import hashlib
import hmac
import os
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from rackhub.operatorfile import TdsFrontSettings, TdsLogin

MAX_PENDING_LOGINS = 32  # logins whose passwords wait for the thread, some tenths of a second of its time
DIGEST_KEY_BYTES = 32

LoginCallback = Callable[[TdsLogin | None], None]
# Makes a call on another thread, then passes its result to the callback on the event loop's thread.
Worker = Callable[[Callable[[], TdsLogin | None], LoginCallback], None]


def thread_worker(call_on_event_loop: Callable[..., object]) -> Worker:
    """Return a worker with one thread, which is started with the first call.

    `call_on_event_loop` calls a function with its arguments on the event loop's thread, from any thread.
    """
    executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="tds-login")

    def work(call: Callable[[], TdsLogin | None], done: LoginCallback) -> None:
        def completed(future: Future[TdsLogin | None]) -> None:
            call_on_event_loop(done, None if future.exception() else future.result())

        executor.submit(call).add_done_callback(completed)

    return work


def immediate_worker(call: Callable[[], TdsLogin | None], done: LoginCallback) -> None:
    """Make the call at once on this thread."""
    done(call())


class LoginVerifier:
    """Finds the login of a user and a password, with at most `max_pending` passwords being verified or waiting."""

    def __init__(
        self, settings: TdsFrontSettings, worker: Worker = immediate_worker, max_pending: int = MAX_PENDING_LOGINS
    ) -> None:
        self._settings = settings
        self._worker = worker
        self._max_pending = max_pending
        self._pending = 0
        self._key = os.urandom(DIGEST_KEY_BYTES)
        self._verified: dict[bytes, TdsLogin] = {}  # by digest; at most one password of each login is correct

    def verify(self, user: str, password: str, done: LoginCallback) -> bool:
        """Call `done` with the login, or with None if there is none; return False without that if the queue is full."""
        digest = self._digest(user, password)
        known = self._verified.get(digest)
        if known is not None:
            done(known)
            return True
        if self._pending >= self._max_pending:
            return False
        self._pending += 1

        def completed(login: TdsLogin | None) -> None:
            self._pending -= 1
            if login is not None:
                self._verified[digest] = login
            done(login)

        self._worker(lambda: self._settings.authenticate(user, password), completed)
        return True

    def _digest(self, user: str, password: str) -> bytes:
        text = f"{len(user)}:{user}{password}"
        return hmac.digest(self._key, text.encode("utf-8", "surrogatepass"), hashlib.sha256)
