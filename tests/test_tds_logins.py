"""The passwords of TDS logins are verified outside of the event loop, in a bounded queue.

TDS clients that failed to log in at full speed held up the requests of all others: each password took some 10 ms of the
event loop.
"""

import threading

from harness import TDS
from test_wire_models import TdsModel

from rackhub.net.tds import codec
from rackhub.net.tds.login_verifier import MAX_PENDING_LOGINS, LoginVerifier, thread_worker


class HeldWorker:
    """Keeps the calls until the test makes them."""

    def __init__(self):
        self.calls = []

    def __call__(self, call, done):
        self.calls.append((call, done))

    def work(self):
        calls, self.calls = self.calls, []
        for call, done in calls:
            done(call())


def login_bodies(user, password):
    yield codec.PRELOGIN, codec.encode_prelogin()
    yield codec.LOGIN7, codec.encode_login7(user, password, "rides", 4096)


class LoginModel(TdsModel):
    """A TDS client whose password is verified when the test says so."""

    def __init__(self, worker):
        self.worker = worker
        super().__init__()

    def connect(self):
        if not hasattr(self, "verifier"):
            self.verifier = LoginVerifier(TDS, self.worker)
        make = self.front._make
        self.front._make = lambda front: self._with_verifier(make(front))
        super().connect()
        self.front._make = make

    def _with_verifier(self, connection):
        connection._verifier = self.verifier
        return connection

    def log_in(self, user="desk", password="open sesame"):
        self.connect()
        return [self.send(kind, body) for kind, body in login_bodies(user, password)][1]


# Guards against failed logins that hold the event loop for some 10 ms each.
def test_no_password_is_verified_on_the_event_loop():
    worker = HeldWorker()
    client = LoginModel(worker)
    assert client.log_in() == [] and len(worker.calls) == 1
    assert client.connection.reading_stopped  # what the client sends meanwhile waits
    worker.work()
    (answer,) = client.receive()
    assert codec.LOGINACK in [kind for kind, _ in answer] and not client.connection.reading_stopped
    assert [kind for kind, _ in client.log_in()[0]].count(codec.LOGINACK) == 1  # verified before: no wait
    assert client.log_in(password="wrong") == []
    worker.work()
    (answer,) = client.receive()
    assert answer[0][1].number == 18456 and client.wire.disconnecting


# Guards against a queue of passwords that grows without end, and against logins that are not answered.
def test_the_queue_of_passwords_is_bounded_and_a_login_that_finds_it_full_is_told_so():
    worker = HeldWorker()
    client = LoginModel(worker)
    for _ in range(MAX_PENDING_LOGINS):
        assert client.log_in(user="nobody", password="x") == []
    (answer,) = client.log_in(user="nobody", password="x")
    assert answer[0][1].number == 50001 and "retry after" in answer[0][1].text and client.wire.disconnecting
    assert len(worker.calls) == MAX_PENDING_LOGINS and client.counters["tds_logins_refused"] == 1
    worker.work()
    assert client.log_in() == [] and len(worker.calls) == 1


def test_a_client_that_leaves_while_its_password_is_verified_is_not_answered():
    worker = HeldWorker()
    client = LoginModel(worker)
    assert client.log_in() == []
    client.connection.connectionLost()
    worker.work()
    assert client.receive() == [] and client.counters["tds_logins"] == 0


def test_a_thread_verifies_and_the_event_loop_gets_the_result():
    results, done = [], threading.Event()

    def on_event_loop(call, *arguments):
        results.append((threading.current_thread().name, call, arguments))
        done.set()

    thread_worker(on_event_loop)(lambda: threading.current_thread().name, "callback")
    assert done.wait(60)
    ((_, call, arguments),) = results
    assert call == "callback" and arguments[0].startswith("tds-login")
