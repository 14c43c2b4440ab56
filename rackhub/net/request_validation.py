"""Validation of what clients send as a request, the same for every front."""

from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Query, Reply
from rackhub.statement import table_group

KEY_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+")
HEX_DIGITS = frozenset("0123456789abcdef")
REQUEST_ID_LENGTH = 16
MAX_KEY_LENGTH = 256
MAX_BUDGET_MS = 3_600_000  # no class has a longer deadline
MAX_ESTIMATE = 1e9  # of milliseconds, and of MB


class InvalidRequestError(ValueError):
    """A request with an invalid value; the text names the value at fault, and the client receives it."""


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
    """Return the validated request of a client; raises `InvalidRequestError`."""
    _check_request_id(core, id)
    _check_numbers(budget_ms, est_ms, ram_mb)
    key = _checked_key(core.classes[cls].idempotency, idempotency_key)
    if tenant not in core.tenants:
        raise InvalidRequestError("the tenant is not known")
    if not is_text(statement):  # engines answer 'error' to what they can't use, or close on it
        raise InvalidRequestError("the statement is not text")
    return Query(
        id,
        cls,
        statement,
        deadline(core.clock.now(), reply, int(budget_ms * 1_000)),
        reply,
        tag=tag,
        tenant=tenant,
        idempotency_key=key,
        estimate=int(est_ms * 1_000),
        memory_mb=ram_mb,
        tables=table_group(statement),
    )


def _check_request_id(core: Coordinator, id: str) -> None:
    """Ids are written into the engines' protocol as they are, so their characters are restricted."""
    if len(id) != REQUEST_ID_LENGTH or not HEX_DIGITS.issuperset(id):
        raise InvalidRequestError("the request id is not 16 hex digits")
    if core.is_known_id(id):  # also one that was answered: engines may still know it, with another statement
        raise InvalidRequestError("the request id is not new")


def _check_numbers(budget_ms: float, est_ms: float, ram_mb: float) -> None:
    """NaN fails every comparison, and with it this check."""
    if not 0 < budget_ms <= MAX_BUDGET_MS:
        raise InvalidRequestError("the budget is out of range")
    if not (0 <= est_ms <= MAX_ESTIMATE and 0 <= ram_mb <= MAX_ESTIMATE):
        raise InvalidRequestError("an estimate is out of range")


def _checked_key(idempotency: str, key: str) -> str:
    """Return the idempotency key that engines get: none for a class without keys."""
    if idempotency != "dedup":
        return ""
    if not key:  # without it an engine could not recognise a retry, and retries are what the class allows
        raise InvalidRequestError("the key is missing: this class has one")
    if len(key) > MAX_KEY_LENGTH or not KEY_CHARACTERS.issuperset(key):
        raise InvalidRequestError("the key holds what a key can't")
    return key


def deadline(now: int, reply: Reply, budget: int) -> int:
    """Return when a client's time of `budget` microseconds is over.

    What was not read for a while may have been sent at any time of that, and engines must not be given more time than
    the client has left.
    """
    sent_at = reply.unread_input_since if reply.may_have_unread_input else now
    return max(sent_at + budget, now + 1)


def is_text(statement: bytes) -> bool:
    """Whether a statement is UTF-8 text without NUL that is not blank."""
    if not statement.strip() or b"\0" in statement:
        return False
    try:
        statement.decode()
    except UnicodeDecodeError:
        return False
    return True
