"""Conversion of the engines' start times when the wall clock is stepped while the process runs."""

import pytest

from rackhub.core.engine_start_times import MAX_REPORTED_START_AGE, EngineStartTimes
from rackhub.interface import EngineEntry

S, HOUR, NOW = 1_000_000, 3_600_000_000, 1_700_000_000_000_000


def convert_start(start_times, reported, now=NOW):
    return [entry.started_at for entry in start_times.convert([EngineEntry("a", started_at=reported)], now)][0]


def after_first_list():
    """Start times of a process whose first endpoint list did not contain the engine."""
    start_times = EngineStartTimes()
    start_times.convert([], NOW - 100 * S)
    return start_times


@pytest.mark.parametrize(
    "reported, converted",
    [
        (0, 0),
        (NOW - 2 * S, NOW - 2 * S),
        (NOW - MAX_REPORTED_START_AGE, NOW - MAX_REPORTED_START_AGE),
        (NOW - MAX_REPORTED_START_AGE - 1, NOW),
        (NOW + HOUR - 2 * S, NOW),  # the host's wall clock was stepped forward: slow start would last for an hour
        (NOW - HOUR - 2 * S, NOW),  # stepped back: slow start would end at once and overload the engine
    ],
)
def test_implausible_start_is_replaced_by_the_time_of_its_report(reported, converted):
    assert convert_start(after_first_list(), reported) == converted


def test_start_is_converted_once():
    start_times = after_first_list()
    assert convert_start(start_times, NOW + HOUR) == convert_start(start_times, NOW + HOUR, NOW + 9 * S) == NOW
    assert convert_start(start_times, NOW + HOUR + S, NOW + 9 * S) == NOW + 9 * S  # a different start


def test_first_list_may_report_older_starts():
    assert convert_start(EngineStartTimes(), NOW - 90 * S) == NOW - 90 * S
    assert convert_start(EngineStartTimes(), NOW + HOUR) == NOW
