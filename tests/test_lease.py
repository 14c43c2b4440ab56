"""The lease on the endpoint list: when it is confirmed, when it waits for a poll's answer, when it expires."""

import random

import pytest
from msgspec.structs import replace

from rackhub.core.lease import EndpointLease, LeaseStatus
from rackhub.limits import Limits

MS, S = 1_000, 1_000_000
LIMITS = replace(Limits(), lease_margin=100 * MS)
GRACE = S
MAX_AGE_WHILE_ANSWERED = LIMITS.notification_time + GRACE - LIMITS.lease_margin
MAX_AGE_WHILE_UNANSWERED = LIMITS.max_notification_time + GRACE - LIMITS.lease_margin


def create_lease(polled_from=None, until=0):
    """A lease granted at 0; polls were sent every 400 ms and not answered."""
    lease = EndpointLease(LIMITS, GRACE, 0)
    for at in range(polled_from, until + 1, 400 * MS) if polled_from is not None else ():
        lease.poll_started(at)
    return lease


@pytest.mark.parametrize(
    "polled_from, polled_until, now, status",
    [
        (None, 0, MAX_AGE_WHILE_ANSWERED, LeaseStatus.VALID),
        (
            None,
            0,
            MAX_AGE_WHILE_ANSWERED + 1,
            LeaseStatus.UNCONFIRMED,
        ),  # the process was suspended and has not polled yet
        (
            MAX_AGE_WHILE_ANSWERED,
            S * 9,
            MAX_AGE_WHILE_ANSWERED + LIMITS.poll_answer_timeout - 1,
            LeaseStatus.UNCONFIRMED,
        ),  # an answer is pending
        (MAX_AGE_WHILE_ANSWERED, S * 9, MAX_AGE_WHILE_ANSWERED + LIMITS.poll_answer_timeout, LeaseStatus.UNCONFIRMED),
        (250 * MS, S * 9, MAX_AGE_WHILE_ANSWERED, LeaseStatus.VALID),
        (250 * MS, S * 9, MAX_AGE_WHILE_ANSWERED + 1, LeaseStatus.UNCONFIRMED),  # polls were sent all the time
        (
            250 * MS,
            300 * MS,
            MAX_AGE_WHILE_ANSWERED + 1,
            LeaseStatus.UNCONFIRMED,
        ),  # the process was suspended after a poll
        (250 * MS, MAX_AGE_WHILE_UNANSWERED, MAX_AGE_WHILE_UNANSWERED, LeaseStatus.UNCONFIRMED),
        (250 * MS, MAX_AGE_WHILE_UNANSWERED, MAX_AGE_WHILE_UNANSWERED + 1, LeaseStatus.EXPIRED),
        (None, 0, MAX_AGE_WHILE_UNANSWERED + 1, LeaseStatus.UNCONFIRMED),
    ],
)
def test_status_depends_on_the_last_answered_poll(polled_from, polled_until, now, status):
    assert create_lease(polled_from, min(polled_until, now)).status(now) is status


def test_answer_renews_the_lease_as_of_the_start_of_its_poll():
    lease = create_lease(250 * MS, S)
    lease.poll_confirmed(2 * S)
    assert lease.status(2 * S + MAX_AGE_WHILE_ANSWERED) is LeaseStatus.VALID
    assert lease.status(2 * S + MAX_AGE_WHILE_ANSWERED + 1) is LeaseStatus.UNCONFIRMED


def test_older_answer_does_not_shorten_the_lease():
    lease = create_lease()
    lease.poll_confirmed(2 * S)
    lease.poll_confirmed(S)
    assert lease.status(2 * S + MAX_AGE_WHILE_ANSWERED) is LeaseStatus.VALID


def test_without_grace_the_lease_expires_at_the_maximum_notification_time():
    lease = EndpointLease(LIMITS, 0, 0)
    for at in range(250 * MS, LIMITS.max_notification_time, 400 * MS):
        lease.poll_started(at)
    assert lease.status(LIMITS.max_notification_time) is LeaseStatus.EXPIRED


@pytest.mark.parametrize(
    "accepted_at, rejected_at, now, allowed",
    [
        (None, None, MAX_AGE_WHILE_ANSWERED, True),
        (None, S, LIMITS.poll_answer_timeout, True),  # the list is fresh: the engine was overloaded
        (None, S, LIMITS.poll_answer_timeout + 300 * MS, False),
        (S, S + MS, MAX_AGE_WHILE_ANSWERED, False),
        (S + MS, S, MAX_AGE_WHILE_ANSWERED, True),  # the engine has accepted a request since
    ],
)
def test_unresponsive_resolver_leaves_the_engines_responses_as_evidence(accepted_at, rejected_at, now, allowed):
    lease = create_lease(250 * MS, now)
    if accepted_at is not None:
        lease.engine_accepted("a", accepted_at)
    if rejected_at is not None:
        lease.engine_rejected("a", rejected_at)
    assert lease.allows("a", now) is allowed
    assert lease.ineligible(["a"], now) == (frozenset() if allowed else {"a"})


# Guards against the word of a draining engine that still accepts requests: it would extend its own lease.
def test_no_response_of_an_engine_extends_the_lease():
    lease = create_lease(250 * MS, MAX_AGE_WHILE_ANSWERED)
    lease.engine_accepted("a", MAX_AGE_WHILE_ANSWERED)
    assert lease.status(MAX_AGE_WHILE_ANSWERED + 1) is LeaseStatus.UNCONFIRMED


def test_confirmed_list_clears_an_earlier_rejection():
    lease = create_lease()
    lease.engine_rejected("a", S)
    lease.poll_confirmed(2 * S)
    assert lease.allows("a", 2 * S + MAX_AGE_WHILE_ANSWERED)


# Guards against keeping evidence on every engine ever listed, which would grow without bound.
def test_discarding_evidence_older_than_the_list_changes_no_result():
    draw = random.Random(1)
    for _ in range(200):
        kept, forgotten = create_lease(), create_lease()
        forget = forgotten.poll_confirmed
        kept.poll_confirmed = lambda at, kept=kept: confirm_only(kept, at)
        now = 0
        for _ in range(60):
            now += draw.randrange(400 * MS)
            engine, step = f"e{draw.randrange(4)}", draw.randrange(4)
            for lease in (kept, forgotten):
                if step == 0:
                    lease.engine_accepted(engine, max(now - 100 * MS, 0))
                elif step == 1:
                    lease.engine_rejected(engine, now)
                elif step == 2:
                    lease.poll_started(now)
                else:
                    lease.poll_confirmed(max(now - 50 * MS, 0))
            engines = [f"e{number}" for number in range(4)]
            assert kept.status(now) is forgotten.status(now)
            assert [kept.allows(each, now) for each in engines] == [forgotten.allows(each, now) for each in engines]
        forget(now)
        assert not forgotten._accepted_at and not forgotten._rejected_at


def confirm_only(kept, at):
    """Confirm a poll like `poll_confirmed`, but keep all evidence."""
    kept._confirmed_at = max(kept._confirmed_at, at)
    kept._unanswered_since = None
