"""The list of known failures: what it passes over, and what it does not."""

import subprocess
import sys
from pathlib import Path

import known_red
import pytest

HERE = Path(__file__).parent
TESTS = """
def test_red():
    assert False

def test_other_red():
    assert False

def test_green():
    assert True
"""


def run(place, listed, *words):
    """Pytest in a project of its own, with this suite's conftest and that list."""
    tests = place / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((HERE / name).read_text())
    (tests / "test_some.py").write_text(TESTS)
    (place / "KNOWN-RED.txt").write_text(listed)
    (place / "pytest.ini").write_text("[pytest]\n")
    command = [sys.executable, "-m", "pytest", "-q", "-rx", "-p", "no:cacheprovider", *words]
    return subprocess.run(command, cwd=place, capture_output=True, text=True, timeout=60)


def line(name):
    return f"tests/test_some.py::{name} ; a cause ; an issue\n"


def test_just_the_listed_tests_are_passed_over_and_they_are_printed(tmp_path):
    done = run(tmp_path, line("test_red") + line("test_other_red"))
    assert done.returncode == 0 and "1 passed, 2 xfailed" in done.stdout
    assert "test_some.py::test_red - a cause (an issue)" in done.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path):
    done = run(tmp_path, line("test_red"))
    assert done.returncode == 1 and "1 failed, 1 passed, 1 xfailed" in done.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    done = run(tmp_path, line("test_red") + line("test_other_red") + line("test_green"))
    assert done.returncode == 1 and "[XPASS(strict)] a cause (an issue)" in done.stdout


@pytest.mark.parametrize(
    "listed, said",
    [
        (line("test_gone"), "there is no test tests/test_some.py::test_gone"),
        (line("test_red").replace("some", "none"), "there is no test tests/test_none.py::test_red"),
        (line("test_red") * 4, "4 tests are listed, 3 at most"),
        ("# why\n\ntests/test_some.py::test_red, a cause\n", "line 3: not"),
    ],
)
def test_a_list_that_can_t_be_used_fails_the_run(tmp_path, listed, said):
    done = run(tmp_path, listed)
    assert done.returncode != 0 and said in done.stdout + done.stderr


def test_the_list_of_this_project_can_be_read():
    if known_red.LIST.exists():
        known_red.read(known_red.LIST.read_text())
