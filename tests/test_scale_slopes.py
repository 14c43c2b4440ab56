"""Slopes: the fit, its residual, and that each group measures what it says, at tiny sizes."""

import json
import math
import os
import subprocess
import sys

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rackhub.trials.scale import data_path, distribution_messages, engines, fit, members, rule_changes, slopes
from rackhub.trials.scale.__main__ import main
from rackhub.trials.scale.fit import fit_line, growth_exponent, residual
from rackhub.trials.scale.measurement import GroupRun, SlopesFile, measured, median_ratios, rounded

SIZES = (8, 60, 300, 1_000)


# ---- the fit


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.floats(-1e6, 1e6),
    st.floats(-1e3, 1e3),
    st.lists(st.integers(1, 30_000), min_size=4, max_size=9, unique=True),
)
def test_a_known_line_is_found_whole_and_nothing_is_left_over(intercept, slope, sizes):
    found = fit_line(sizes, [intercept + slope * size for size in sizes])
    largest = abs(intercept) + abs(slope) * max(sizes) + 1e-9
    assert found.slope == pytest.approx(slope, abs=1e-8 * largest)
    assert found.intercept == pytest.approx(intercept, abs=1e-6 * largest)
    assert found.residual < 1e-3 or largest < 1e-3


def test_the_residual_is_what_the_line_misses_against_the_size_of_the_values():
    found = fit_line((0, 1, 2, 3), (1.0, 3.0, 1.0, 3.0))  # the best line: 1.4 + 0.4 x
    assert (found.intercept, found.slope) == (pytest.approx(1.4), pytest.approx(0.4))
    assert found.residual == pytest.approx(math.sqrt(3.2 / 20))
    assert fit_line(SIZES, (5.0, 5.0, 5.0, 5.0)).residual == pytest.approx(0.0, abs=1e-12)
    assert fit_line(SIZES, (0.0, 0.0, 0.0, 0.0)).residual == 0.0


def test_no_other_line_misses_less():
    values = (0.09, 0.17, 0.24, 1.2)
    found = fit_line(SIZES, values)
    for change in (-0.01, 0.01):
        for intercept, slope in (
            (found.intercept + change, found.slope),
            (found.intercept, found.slope * (1 + change)),
        ):
            assert residual([intercept + slope * size for size in SIZES], values) > found.residual


def test_a_fit_that_drops_the_intercept_shows_in_its_residual():
    """Planted: a line through the origin, on values that begin well above it."""
    values = [100.0 + 0.5 * size for size in SIZES]
    through_origin = sum(size * value for size, value in zip(SIZES, values, strict=True)) / sum(
        size * size for size in SIZES
    )
    assert residual([through_origin * size for size in SIZES], values) > 0.1
    assert fit_line(SIZES, values).residual < 1e-9
    assert fit_line(SIZES, values).at(0) == pytest.approx(100.0)


@pytest.mark.parametrize("sizes, values", [((1, 2), (1.0,)), ((3, 3, 3), (1.0, 2.0, 3.0)), ((), ())])
def test_points_that_make_no_line_are_refused(sizes, values):
    with pytest.raises(ValueError):
        fit_line(sizes, values)


@pytest.mark.parametrize("exponent", [0.0, 0.5, 1.0, 2.0])
def test_the_growth_says_whether_a_line_is_the_right_shape(exponent):
    assert growth_exponent(SIZES, [3 * size**exponent for size in SIZES]) == pytest.approx(exponent)
    assert growth_exponent(SIZES, (1.0, 0.0, 1.0, 1.0)) is None


def test_a_measurement_keeps_the_line_of_the_values_that_it_writes():
    found = measured("a.b", "ms", "engines", SIZES, [1.23456789, 2.0, 3.0, 40_000.04], "by hand")
    assert found.values == (1.2346, 2.0, 3.0, 40_000.0)
    line = fit.fit_line(found.sizes, found.values)
    assert found.slope == rounded(line.slope) and found.residual == round(line.residual, 4)
    assert found.at(0) == pytest.approx(found.intercept)
    assert msgspec.json.decode(msgspec.json.encode(found), type=type(found)) == found


def test_ratios_are_of_one_round_each_so_that_a_slow_spell_cancels():
    slow_second_round = [[1.0, 3.0, 1.0], [2.0, 6.0, 2.0]]
    assert median_ratios(slow_second_round) == [1.0, 2.0]


# ---- the groups


def check(found, names):
    assert [each.name for each in found] == names
    for each in found:
        assert len(each.sizes) == len(each.values) >= 4 and list(each.sizes) == sorted(set(each.sizes))
        assert all(math.isfinite(value) and value >= 0 for value in each.values), each
        assert each.unit and each.size_unit and each.method
        assert not each.ratios or len(each.ratios) == len(each.sizes) and each.ratios[0] == 1.0


def test_engines():
    found = engines.measure(quick=True)
    check(found, [f"engines.{name}" for name in ("request_cpu", "memory", "change_cpu", "list_bytes", "list_cpu")])
    by_name = {each.name: each for each in found}
    assert by_name["engines.list_bytes"].residual < 0.01 and by_name["engines.list_bytes"].values[-1] <= 8_000
    assert by_name["engines.memory"].slope > 0.1 and by_name["engines.request_cpu"].ratios


def test_the_largest_list_fits_and_one_engine_more_does_not():
    most = engines.largest_list()
    assert len(engines.answer_packet(most)) <= 8_000 and engines.answer_packet(most + 1) is None


def test_members():
    found = members.measure(quick=True)
    names = "memory idle_cpu idle_bytes death_known records_cpu records_bytes record_age_median record_age_p99".split()
    check(found, [f"members.{name}" for name in names])
    by_name = {each.name: each for each in found}
    idle, busy = by_name["members.idle_bytes"], by_name["members.records_bytes"]
    assert all(more > less > 0 for more, less in zip(busy.values, idle.values, strict=True))
    assert busy.slope > 0 and all(0 < age < 5_000 for age in by_name["members.record_age_median"].values)


def test_a_change_of_rules_costs_the_editor_more_as_the_fleet_grows():
    found = {each.name: each for each in rule_changes.measure(quick=True)}
    check(list(found.values()), list(found))
    assert found["rules.editor_messages"].slope >= 4  # it asks each one and tells each one, and has their answers
    assert found["rules.total_bytes"].values[-1] > found["rules.editor_bytes"].values[-1]
    assert found["rules.receiver_bytes_by_content"].slope > 1  # every version carries its whole content


def test_a_change_that_does_not_come_into_force_is_no_measurement():
    fleet = rule_changes.CountedFleet(5)
    fleet.stand.net.cut({"g00"}, set(fleet.stand.names))
    with pytest.raises(AssertionError, match="not in force"):
        fleet.change(1_000)


def test_traffic_is_counted_where_it_goes_out_and_where_it_comes_in():
    fleet = rule_changes.CountedFleet(5)
    cost = fleet.change(1_000)
    ends = sum(each.messages for each in fleet.traffic.values())
    assert ends == 2 * fleet.total.messages and cost.total.messages < fleet.total.messages
    assert cost.editor.bytes > 4 * 1_000  # at least the content to each of the others


def test_messages_of_the_watch_grow_with_their_value_alone():
    update, heartbeat, report = distribution_messages.measure(quick=True)
    assert update.slope == pytest.approx(1.0, abs=0.05) and heartbeat.slope == 0 and report.slope > 0


def test_data_path_of_a_real_process():
    found = data_path.measure(quick=True)
    by_name = {each.name.removeprefix("data_path."): each for each in found}
    check(found, [each.name for each in found])
    assert by_name["idle_connection_descriptors"].slope == pytest.approx(1.0)
    assert by_name["idle_connection_memory"].values[0] > 10_000 and by_name["statement_cpu"].values[0] > 0
    assert set(by_name) >= {"busy_connection_cpu", "busy_connection_memory", "statement_memory"}


# ---- the command


def test_the_command_writes_a_file_that_can_be_read_again(tmp_path):
    out = tmp_path / "slopes.json"
    ran = subprocess.run(
        [sys.executable, "-m", "rackhub.trials.scale", "slopes", "--quick", "--group", "messages", "--json"]
        + ["--out", str(out)],
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ,
    )
    assert ran.returncode == 0, ran.stderr
    file = slopes.read(out)
    assert json.loads(ran.stdout)["measurements"][0]["name"] == file.measurements[0].name
    assert [run.group for run in file.runs] == ["messages"] and file.runs[0].cores >= 1 and file.runs[0].commit
    assert file.find("messages.update_bytes").unit == "bytes"


def test_a_group_measured_anew_leaves_the_others_as_they_are(tmp_path):
    def file(group, date, value):
        run = GroupRun(group=group, date=date, commit="c", cores=8, python="3", seconds=1.0, load=0.0)
        return SlopesFile(runs=(run,), measurements=(measured(f"{group}.a", "ms", "x", SIZES, [value] * 4, "by hand"),))

    out = tmp_path / "slopes.json"
    for group, date, value in (("rules", "1", 1.0), ("engines", "1", 2.0), ("rules", "2", 3.0)):
        slopes.write(file(group, date, value), out)
    kept = slopes.read(out)
    assert [(run.group, run.date) for run in kept.runs] == [("engines", "1"), ("rules", "2")]
    assert [each.values[0] for each in kept.measurements] == [2.0, 3.0]


def test_a_group_that_is_none_is_refused_by_name(capsys):
    assert main(["slopes", "--group", "speed", "--quick"]) == 2 and "'speed'" in capsys.readouterr().err
