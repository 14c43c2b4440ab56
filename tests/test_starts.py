"""Starts of engines in Unix time, where the wall clock is stepped while the process runs."""

import pytest

from rackhub.core.engine_start_times import MAX_REPORTED_START_AGE, EngineStartTimes
from rackhub.interface import EngineEntry

S, HOUR, NOW = 1_000_000, 3_600_000_000, 1_700_000_000_000_000


def told(starts, came_up, now=NOW):
    return [entry.started_at for entry in starts.convert([EngineEntry("a", started_at=came_up)], now)][0]


def serving():
    """Of a process that has read its first list, without the engine."""
    starts = EngineStartTimes()
    starts.convert([], NOW - 100 * S)
    return starts


@pytest.mark.parametrize(
    "came_up, read",
    [
        (0, 0),
        (NOW - 2 * S, NOW - 2 * S),
        (NOW - MAX_REPORTED_START_AGE, NOW - MAX_REPORTED_START_AGE),
        (NOW - MAX_REPORTED_START_AGE - 1, NOW),
        (NOW + HOUR - 2 * S, NOW),  # its wall clock was stepped on: it would be cold for an hour
        (NOW - HOUR - 2 * S, NOW),  # stepped back: it would be warm at once, and get more than it can bear
    ],
)
def test_a_start_that_can_t_have_been_by_this_clock_counts_from_when_it_is_told(came_up, read):
    assert told(serving(), came_up) == read


def test_it_is_read_once():
    starts = serving()
    assert told(starts, NOW + HOUR) == told(starts, NOW + HOUR, NOW + 9 * S) == NOW
    assert told(starts, NOW + HOUR + S, NOW + 9 * S) == NOW + 9 * S  # another start


def test_the_first_list_may_tell_of_older_starts():
    assert told(EngineStartTimes(), NOW - 90 * S) == NOW - 90 * S
    assert told(EngineStartTimes(), NOW + HOUR) == NOW
