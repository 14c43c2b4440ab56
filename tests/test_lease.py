"""The lease on the list of engines: when it holds, when an answer is to be waited for, when it is over."""

import random

import pytest
from msgspec.structs import replace

from rackhub.core.lease import EndpointLease, LeaseStatus
from rackhub.limits import Limits

MS, S = 1_000, 1_000_000
LIMITS = replace(Limits(), lease_margin=100 * MS)
GRACE = S
PROMPT = LIMITS.notification_time + GRACE - LIMITS.lease_margin
LONGEST = LIMITS.max_notification_time + GRACE - LIMITS.lease_margin


def lease(asked_from=None, until=0):
    """One that was granted at 0, and has been asked for again every 400 ms without an answer."""
    made = EndpointLease(LIMITS, GRACE, 0)
    for at in range(asked_from, until + 1, 400 * MS) if asked_from is not None else ():
        made.poll_started(at)
    return made


@pytest.mark.parametrize(
    "asked_from, asked_until, now, status",
    [
        (None, 0, PROMPT, LeaseStatus.CONFIRMED),
        (None, 0, PROMPT + 1, LeaseStatus.UNCONFIRMED),  # it stood still, and has yet to ask
        (PROMPT, S * 9, PROMPT + LIMITS.poll_answer_timeout - 1, LeaseStatus.UNCONFIRMED),  # an answer is on its way
        (PROMPT, S * 9, PROMPT + LIMITS.poll_answer_timeout, LeaseStatus.CONFIRMED),  # nothing answers
        (250 * MS, PROMPT, PROMPT + 1, LeaseStatus.CONFIRMED),  # it has asked all the time
        (250 * MS, 300 * MS, PROMPT + 1, LeaseStatus.UNCONFIRMED),  # it stood still after a question
        (250 * MS, LONGEST, LONGEST, LeaseStatus.CONFIRMED),
        (250 * MS, LONGEST, LONGEST + 1, LeaseStatus.EXPIRED),
        (None, 0, LONGEST + 1, LeaseStatus.UNCONFIRMED),
    ],
)
def test_it_holds_from_the_question_that_was_answered_last(asked_from, asked_until, now, status):
    assert lease(asked_from, min(asked_until, now)).status(now) is status


def test_an_answer_renews_it_from_when_it_was_asked_for():
    here = lease(250 * MS, S)
    here.poll_confirmed(2 * S)
    assert here.status(2 * S + PROMPT) is LeaseStatus.CONFIRMED
    assert here.status(2 * S + PROMPT + 1) is LeaseStatus.UNCONFIRMED


def test_an_older_answer_takes_nothing_back():
    here = lease()
    here.poll_confirmed(2 * S)
    here.poll_confirmed(S)
    assert here.status(2 * S + PROMPT) is LeaseStatus.CONFIRMED


def test_without_a_grace_it_is_over_when_the_drain_counts_as_told():
    here = EndpointLease(LIMITS, 0, 0)
    for at in range(250 * MS, LIMITS.max_notification_time, 400 * MS):
        here.poll_started(at)
    assert here.status(LIMITS.max_notification_time) is LeaseStatus.EXPIRED


@pytest.mark.parametrize(
    "taken, turned_away, now, allowed",
    [
        (None, None, PROMPT, True),
        (None, None, PROMPT + 1, False),  # nothing tells that it does not drain
        (2 * S, None, 2 * S + GRACE - LIMITS.lease_margin, True),
        (2 * S, None, 2 * S + GRACE, False),
        (None, S, LIMITS.poll_answer_timeout, True),  # the list is fresh: it was full
        (None, S, LIMITS.poll_answer_timeout + 300 * MS, False),
        (S, S + MS, PROMPT, False),
        (S + MS, S, PROMPT, True),  # it has taken one since
    ],
)
def test_in_a_silence_an_engine_is_believed_by_what_it_takes(taken, turned_away, now, allowed):
    here = lease(250 * MS, now)
    if taken is not None:
        here.engine_accepted("a", taken)
    if turned_away is not None:
        here.engine_rejected("a", turned_away)
    assert here.allows("a", now) is allowed
    assert here.ineligible(["a"], now) == (frozenset() if allowed else {"a"})


def test_a_confirmed_list_forgets_what_was_turned_away():
    here = lease()
    here.engine_rejected("a", S)
    here.poll_confirmed(2 * S)
    assert here.allows("a", 2 * S + PROMPT)


# Guards against evidence that is kept of every engine ever listed, and so grows with their number.
def test_evidence_of_engines_is_forgotten_once_the_list_is_newer_and_changes_no_answer():
    draw = random.Random(1)
    for _ in range(200):
        kept, forgotten = lease(), lease()
        forget = forgotten.poll_confirmed
        kept.poll_confirmed = lambda at, kept=kept: confirm_only(kept, at)
        now = 0
        for _ in range(60):
            now += draw.randrange(400 * MS)
            engine, step = f"e{draw.randrange(4)}", draw.randrange(4)
            for one in (kept, forgotten):
                if step == 0:
                    one.engine_accepted(engine, max(now - 100 * MS, 0))
                elif step == 1:
                    one.engine_rejected(engine, now)
                elif step == 2:
                    one.poll_started(now)
                else:
                    one.poll_confirmed(max(now - 50 * MS, 0))
            engines = [f"e{number}" for number in range(4)]
            assert kept.status(now) is forgotten.status(now)
            assert [kept.allows(each, now) for each in engines] == [forgotten.allows(each, now) for each in engines]
        forget(now)
        assert not forgotten._accepted_at and not forgotten._rejected_at


def confirm_only(kept, at):
    """As `poll_confirmed`, with all evidence kept."""
    kept._confirmed_at = max(kept._confirmed_at, at)
    kept._waiting_since = None
