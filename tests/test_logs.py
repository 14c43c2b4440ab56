"""The structured log: the content of a line, and that events below the level are neither written nor rendered."""

import logging

import pytest
from harness import SETTINGS, CoordinatorTestBed, EngineServer, spin

from rackhub import logs
from rackhub.core import admission, attempts, request_completion
from rackhub.net import resp


class Unrendered:
    def __str__(self):
        raise AssertionError("a field of an event below the level was rendered")


@pytest.fixture
def level(monkeypatch):
    return lambda name: monkeypatch.setenv(logs.LEVEL_VARIABLE, name)


@pytest.mark.parametrize("name, number", [("", logging.INFO), ("debug", logging.DEBUG), ("DEBUG", 10), ("odd", 20)])
def test_environment_sets_the_level(level, name, number):
    level(name)
    assert logs.level() == number


def test_event_has_a_name_fields_and_a_monotonic_time(level, caplog):
    level("debug")
    with caplog.at_level("DEBUG", logger="rackhub.some"):
        logs.logger("rackhub.some").debug("request_refused", request="a1", reason="100% full")
    (record,) = caplog.records
    assert record.getMessage().startswith("request_refused request=a1 reason=100% full at=")
    assert record.name == "rackhub.some"


def test_event_below_the_level_is_not_rendered(level, caplog):
    level("info")
    with caplog.at_level("DEBUG", logger="rackhub.some"):
        logs.logger("rackhub.some").debug("request_refused", request=Unrendered())
    assert not caplog.records


def test_exception_is_logged_with_its_traceback(level, caplog):
    level("info")
    try:
        raise KeyError("gone")
    except KeyError:
        logs.logger("rackhub.some").exception("module_failed", on="an event")
    assert "module_failed on=an event at=" in caplog.text and "KeyError: 'gone'" in caplog.text


def test_events_of_a_request_contain_its_id(level, caplog, monkeypatch):
    """A request's events go from its admission over its attempt to its end, each with a reason."""
    level("debug")
    for module in (admission, attempts, request_completion, resp):
        monkeypatch.setattr(module, "log", logs.logger(module.__name__))
    full = EngineServer(
        on_command=lambda engine, word, id, *rest: engine.respond(id, b"503") if word == b"want" else None
    )
    site = CoordinatorTestBed(full, settings=SETTINGS)
    try:
        with caplog.at_level("DEBUG", logger="rackhub"):
            client = site.json_client()
            client.sendLine(
                b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":'
                b'{"rid":"00000000000000a1","budget":900,"acct":"acme","body":"c2VsZWN0IDE="}}'
            )
            spin(lambda: client.lines)
        messages = [record.getMessage().partition(" at=")[0] for record in caplog.records]
        events = [line.split()[0] for line in messages if "request=00000000000000a1" in line]
        assert events[:4] == ["request_admitted", "attempt_chosen", "attempt_written", "attempt_ended"]
        assert events[-2:] == ["request_rejected", "request_ended"]
        assert any("reason=FULL" in line for line in messages) and any(
            "no further attempt after FULL" in message for message in messages
        )
    finally:
        site.close()
