"""The capacity page: its tables are those of the data, and an edited figure is found by the table's name."""

import shutil
import tomllib

import msgspec
import pytest

from rackhub.trials.scale import page, page_data, run_files, target
from rackhub.trials.scale.after_relays import after_table, pairs
from rackhub.trials.scale.crossing import Basis, crossing
from rackhub.trials.scale.markdown import number, table
from rackhub.trials.scale.measurement import measured
from rackhub.trials.scale.page_data import FOLDER, PAGE, Status
from rackhub.trials.scale.ranking import ranked
from rackhub.trials.scale.roles import ROLES
from rackhub.trials.scale.tables import TABLES, runs_table

RUN = {
    "case": "pace",
    "time": "real",
    "seed": 1,
    "coordinators": 475,
    "relays": 44,
    "real": 3,
    "rate": 1.0,
    "passed": True,
    "keeps_up": True,
    "verdict": {
        "changes": 20,
        "lost": 0,
        "revisions_back": 0,
        "out_of_scope": 0,
        "content_differs": 0,
        "everywhere": {"count": 20, "p50": 0.4, "p99": 0.9, "worst": 1.1},
        "something_new": 7,
    },
    "cost": {"bytes_in": 300.0, "bytes_out": 100.0, "cpu_percent": 0.5, "memory_megabytes": 0.25},
    "relay_cpu_percent": 3.5,
}


@pytest.fixture
def place(tmp_path):
    """A copy of the page and its data."""
    shutil.copytree(FOLDER, tmp_path / "capacity")
    (tmp_path / "capacity" / "runs").mkdir(exist_ok=True)
    shutil.copy(PAGE, tmp_path / "CAPACITY.md")
    return tmp_path


def checked(place):
    return page.main(check=True, path=place / "CAPACITY.md", folder=place / "capacity")


def filled(place):
    return page.main(check=False, path=place / "CAPACITY.md", folder=place / "capacity")


# ---- the page as it stands


def test_the_page_and_its_data_agree():
    assert page.disagreeing(PAGE.read_text(), page_data.read()) == []


def test_every_table_has_its_place_and_every_role_has_a_table():
    text = PAGE.read_text()
    page.check_markers(text, TABLES)
    assert {f"role-{name}" for name in ROLES} <= set(TABLES)
    assert set(ROLES) == {"coordinator", "relay", "voter", "engine-list", "engine", "operator-edit"}


def test_the_slopes_are_of_a_full_run():
    """At least four sizes each, and not those of a quick trial."""
    slopes = page_data.read().slopes
    assert all(len(each.sizes) >= 4 for each in slopes.measurements)
    assert max(slopes.find("engines.request_cpu").sizes) == 30_000
    assert max(slopes.find("members.memory").sizes) == 400
    assert slopes.find("rules.in_force").sizes == (25, 50, 100, 200)


def test_the_target_is_the_operators():
    found = target.read(FOLDER / "target.toml")
    assert (found["coordinators"], found["engines"], found["configuration_time"]) == (3_800, 30_000, 16)
    assert found["voters"] + found.relays == found["control_machines"]
    assert found.changes_a_second == pytest.approx(0.162, abs=0.001)
    with pytest.raises(KeyError, match="speed"):
        found["speed"]


# ---- planted


def test_an_edited_figure_in_the_page_is_found_by_its_table(place, capsys):
    path = place / "CAPACITY.md"
    text = path.read_text()
    row = next(line for line in text.splitlines() if line.startswith("| coordinators |"))
    path.write_text(text.replace(row, row.replace("3,800", "3,801")))
    assert checked(place) == 1 and "table target:" in capsys.readouterr().out
    assert filled(place) == 0 and path.read_text() == text and checked(place) == 0


@pytest.mark.parametrize("name", TABLES)
def test_any_table_that_is_emptied_is_named(name):
    text = PAGE.read_text()
    begin = text.index(page.marker(name)) + len(page.marker(name)) + 1
    emptied = text[:begin] + text[text.index(page.END, begin) :]
    assert page.disagreeing(emptied, page_data.read()) == [name]


@pytest.mark.parametrize(
    "name, field, tables",
    [
        ("messages.update_bytes", "slope", {"role-coordinator", "role-relay", "role-voter", "failures", "slopes"}),
        ("engines.memory", "values", {"role-coordinator", "slopes"}),
        ("rules.editor_bytes", "values", {"before", "ranking", "slopes"}),
    ],
)
def test_an_edited_measurement_is_found_in_all_tables_that_stand_on_it(place, capsys, name, field, tables):
    path = place / "capacity" / "slopes.json"
    slopes = msgspec.json.decode(path.read_bytes())
    edited = next(each for each in slopes["measurements"] if each["name"] == name)
    was = edited[field]
    edited[field] = [value * 2 for value in was] if isinstance(was, list) else was * 2
    path.write_bytes(msgspec.json.encode(slopes))
    assert checked(place) == 1
    named = {line.split()[1].rstrip(":") for line in capsys.readouterr().out.splitlines()}
    assert tables <= named and "target" not in named and "machines" not in named


def test_an_edited_target_is_found(place, capsys):
    path = place / "capacity" / "target.toml"
    path.write_text(path.read_text().replace("value = 3800", "value = 4800"))
    assert checked(place) == 1 and "ranking" in capsys.readouterr().out


def test_what_is_written_by_hand_is_left_alone(place):
    path = place / "CAPACITY.md"
    path.write_text(path.read_text() + "\nA sentence more.\n")
    assert checked(place) == 0 and filled(place) == 0
    assert path.read_text().endswith("\nA sentence more.\n")


@pytest.mark.parametrize(
    "change, named",
    [
        (lambda text: text.replace("<!-- table: runs -->", ""), "runs: is missing"),
        (lambda text: text + "\n<!-- table: speed -->\n<!-- end of table -->\n", "speed: there is no such table"),
        (lambda text: text + "\n<!-- table: runs -->\n<!-- end of table -->\n", "runs: stands in the page twice"),
        (lambda text: text[: text.rindex(page.END)], "methods: its end is missing"),
    ],
)
def test_markers_that_cant_be_used_are_named(place, capsys, change, named):
    path = place / "CAPACITY.md"
    path.write_text(change(path.read_text()))
    assert checked(place) == 2 and named in capsys.readouterr().err


@pytest.mark.parametrize(
    "name, text", [("slopes.json", "{"), ("target.toml", "[[figure]]\nname = 1"), ("runs/x.json", "[")]
)
def test_data_that_cant_be_read_is_named(place, capsys, name, text):
    (place / "capacity" / name).write_text(text)
    assert checked(place) == 2 and capsys.readouterr().err.startswith("page: ")


def test_a_figure_named_twice_is_refused():
    text = (FOLDER / "target.toml").read_text()
    doubled = tomllib.loads(text + '\n[[figure]]\nname = "zones"\nvalue = 3\nunit = "zones"\n')
    with pytest.raises((ValueError, msgspec.ValidationError), match="zones: named twice"):
        msgspec.convert(doubled, target.Target)


# ---- runs


def test_a_run_is_shown_and_changes_what_is_said_of_the_relays(place):
    for each in (place / "capacity" / "runs").glob("*.json"):
        each.unlink()
    without = page_data.read(place / "capacity")
    assert without.distribution is Status.MISSING and "No scale run" in runs_table(without)
    (place / "capacity" / "runs" / "pace-475.json").write_bytes(msgspec.json.encode(RUN))
    data = page_data.read(place / "capacity")
    assert data.distribution is Status.PARTLY and data.largest_real_run.name == "pace-475"
    shown = runs_table(data)
    assert "pace-475" in shown and "0 / 0 / 0 / 0" in shown and "0.4 / 0.9 / 1.1" in shown and "| 400 |" in shown


def test_a_run_that_tells_less_is_shown_with_what_it_tells(place):
    path = place / "capacity" / "runs" / "short.json"
    path.write_text('{"case": "quiet"}')
    data = page_data.read(place / "capacity")
    assert "| short | quiet | not told |" in runs_table(data)
    path.write_bytes(msgspec.json.encode({**RUN, "passed": False}))
    data = page_data.read(place / "capacity")
    assert "FAILED" in runs_table(data)
    assert data.largest_real_run is None or data.largest_real_run.name != "short"


def test_a_run_that_is_none_is_refused_by_its_file(place):
    (place / "capacity" / "runs" / "odd.json").write_text('{"coordinators": 3}')
    with pytest.raises(run_files.BadRunFile, match="odd.json"):
        page_data.read(place / "capacity")


# ---- the ranking


def test_where_a_measurement_reaches_its_limit():
    points = measured("a", "ms", "engines", (10, 20, 40, 80), (1.0, 2.0, 8.0, 9.0), "by hand")
    assert crossing(points, 0.5).size == pytest.approx(5) and crossing(points, 0.5).basis is Basis.PROPORTION
    assert crossing(points, 5.0).size == pytest.approx(30) and crossing(points, 5.0).basis is Basis.MEASURED
    assert crossing(points, 90.0).size > 80 and crossing(points, 90.0).basis is Basis.LINE
    falling = measured("a", "ms", "engines", (1, 2, 3, 4), (4.0, 3.0, 2.0, 1.0), "by hand")
    assert crossing(falling, 9.0).size == float("inf")


def test_the_ranking_names_first_what_falls_short_most():
    items = ranked(page_data.read())
    factors = [item.factor for item in items]
    assert factors == sorted(factors, reverse=True) and factors[0] > 1
    assert {"members.records_bytes", "rules.receiver_bytes", "engines.list_bytes"} <= {item.source for item in items}


# ---- figures


@pytest.mark.parametrize(
    "value, shown",
    [
        (None, "-"),
        (0, "0"),
        (3_800, "3,800"),
        (0.16204, "0.162"),
        (99.96, "100"),
        (-12.3456, "-12.3"),
        (1e6, "1,000,000"),
    ],
)
def test_figures_are_shown_to_three_digits(value, shown):
    assert number(value) == shown


def test_a_cell_cant_break_its_row():
    assert table(("a",), (("x|y",),)).splitlines()[-1] == "| x\\|y |"


# ---- one change through relays


def pair_of_runs(size):
    """Ten changes in 20 s: a quiet coordinator has 30 bytes a second, a busy one 80."""
    quiet = {"case": "quiet", "time": "virtual", "coordinators": size, "relays": 2, "seconds": 20.0}
    quiet |= {"verdict": {"changes": 0}, "cost": {"bytes_in": 20.0, "bytes_out": 10.0}, "relay_bytes_out": 100.0}
    quiet |= {"counters": {"relay_sent_Heartbeat": 40, "coordinator_sent_Acknowledge": 40}}
    busy = quiet | {"case": "tenfold", "verdict": {"changes": 10}, "cost": {"bytes_in": 50.0, "bytes_out": 30.0}}
    busy |= {"relay_bytes_out": 600.0}
    busy |= {"counters": {"relay_sent_Update": 10 * size, "coordinator_sent_Acknowledge": 40 + 10 * size}}
    return [
        run_files.NamedRun(str(at), msgspec.convert(run, run_files.RunFile)) for at, run in enumerate((quiet, busy))
    ]


def test_one_change_through_relays_is_what_a_busy_run_has_beyond_a_quiet_one():
    data = msgspec.structs.replace(page_data.read(), runs=(*pair_of_runs(50), *pair_of_runs(25)))
    small, large = pairs(data)
    assert (small.size, large.size) == (25, 50)
    assert small.receiver_bytes == pytest.approx(100) and small.relay_bytes_out == pytest.approx(1_000)
    assert small.messages("relay_sent_Update") == 25 and small.messages() == 25 + 25 - 4
    assert "| receiver bytes | bytes a change | 100 | 100 |" in after_table(data)


def test_a_busy_run_without_a_quiet_one_of_its_size_is_left_out():
    quiet, busy = pair_of_runs(25)
    assert pairs(msgspec.structs.replace(page_data.read(), runs=(busy,))) == []
    assert pairs(msgspec.structs.replace(page_data.read(), runs=(quiet, *pair_of_runs(50)[1:]))) == []
