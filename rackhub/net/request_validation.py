"""Validation of the requests of clients, shared by all fronts."""

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query, Reply
from rackhub.statement import table_group

KEY_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
HEX_DIGITS = frozenset("0123456789abcdef")
REQUEST_ID_LENGTH = 16
MAX_KEY_LENGTH = 256
MAX_BUDGET_MS = 3_600_000  # longer than the deadline of any class
MAX_ESTIMATE = 1e9  # maximum of the estimated time in milliseconds and of the estimated memory in MB


class InvalidRequestError(ValueError):
    """A request with an invalid value. The client receives the text, which names the value."""


def build_query(
    core: Coordinator,
    reply: Reply,
    *,
    id: str,
    cls: str,
    statement: bytes,
    budget_ms: float,
    tenant: str,
    idempotency_key: str,
    est_ms: float,
    ram_mb: float,
    tag: object = None,
) -> Query:
    """Return the validated request of a client. Raises `InvalidRequestError`."""
    _check_request_id(core, id)
    _check_numbers(budget_ms, est_ms, ram_mb)
    key = _checked_key(core.classes[cls].idempotency, idempotency_key)
    if tenant not in core.tenants:
        raise InvalidRequestError("unknown tenant")
    if not is_text(statement):  # Engines answer other statements with an error, or close the connection.
        raise InvalidRequestError("the statement is not UTF-8 text without NUL, or is blank")
    return Query(
        id,
        cls,
        statement,
        compute_deadline(core.clock.now(), reply, int(budget_ms * 1_000)),
        reply,
        tag=tag,
        tenant=tenant,
        idempotency_key=key,
        estimate=int(est_ms * 1_000),
        memory_mb=ram_mb,
        tables=table_group(statement),
    )


def _check_request_id(core: Coordinator, id: str) -> None:
    """Check the characters of an id, which is sent to engines without escaping, and that it is new."""
    if len(id) != REQUEST_ID_LENGTH or not HEX_DIGITS.issuperset(id):
        raise InvalidRequestError(f"the request id is not {REQUEST_ID_LENGTH} lower-case hex digits")
    # The ids of answered requests are known too: engines may still associate them with another statement.
    if core.is_known_id(id):
        raise InvalidRequestError("the request id was used before")


def _check_numbers(budget_ms: float, est_ms: float, ram_mb: float) -> None:
    """Check the ranges. NaN is rejected, as it fails every comparison."""
    if not 0 < budget_ms <= MAX_BUDGET_MS:
        raise InvalidRequestError(f"the budget is not above 0 and at most {MAX_BUDGET_MS} ms")
    if not (0 <= est_ms <= MAX_ESTIMATE and 0 <= ram_mb <= MAX_ESTIMATE):
        raise InvalidRequestError(f"the estimated time in ms or memory in MB is not from 0 to {MAX_ESTIMATE:g}")


def _checked_key(idempotency: str, key: str) -> str:
    """Return the idempotency key for engines, empty for classes without keys."""
    if idempotency != "dedup":
        return ""
    if not key:  # The class allows retries, which an engine recognises by the key.
        raise InvalidRequestError("the idempotency key is missing, which this class requires")
    if len(key) > MAX_KEY_LENGTH or not KEY_CHARACTERS.issuperset(key):
        raise InvalidRequestError(f"the idempotency key has more than {MAX_KEY_LENGTH} characters, or invalid ones")
    return key


def compute_deadline(now: int, reply: Reply, budget: int) -> int:
    """Return the deadline of a request that arrived with `budget` microseconds left.

    If input may have waited unread in the socket, the budget counts from its earliest possible arrival: engines must
    not get more time than the client has left.
    """
    sent_at = reply.unread_input_since if reply.may_have_unread_input else now
    return max(sent_at + budget, now + 1)


def is_text(statement: bytes) -> bool:
    """Return whether a statement is UTF-8 text without NUL that is not blank."""
    if not statement.strip() or b"\0" in statement:
        return False
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return True
