"""Structured logging: one line an event, with its fields as `name=value`.

Every logger writes through the standard library's logger of the same name, so that handlers, tests and the libraries'
own lines share one stream. `RACKHUB_LOG_LEVEL` chooses what is written: `info` (the default) holds changes of state of
the process, the list of engines and the resolver; `debug` adds an event for each request, attempt and connection, with
the reason for each refusal, retry and close. A level that is off costs a call of an empty function.

Lines bear a monotonic time in seconds beside the wall clock, because the wall clock may be stepped.
"""

import logging
import os
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

LEVEL_VARIABLE = "RACKHUB_LOG_LEVEL"
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
LINE = "%(asctime)s %(levelname)s %(name)s: %(message)s"


def level() -> int:
    """The level that the environment asks for; `info` where it asks for none or one that is not known."""
    return LEVELS.get(os.environ.get(LEVEL_VARIABLE, "").lower(), logging.INFO)


def _add_monotonic_time(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    event["at"] = round(time.monotonic(), 4)
    return event


def _render(_: Any, __: str, event: MutableMapping[str, Any]) -> str:
    """The event's name, then its fields in the order of the call."""
    name = event.pop("event")
    trace = event.pop("exception", "")
    line = " ".join([str(name), *(f"{field}={value}" for field, value in event.items())])
    return f"{line}\n{trace}" if trace else line


def logger(name: str) -> Any:
    """The logger of a module. Its level is the environment's when this is called, at import as a rule."""
    return structlog.wrap_logger(
        logging.getLogger(name),
        wrapper_class=structlog.make_filtering_bound_logger(level()),
        processors=[structlog.processors.format_exc_info, _add_monotonic_time, _render],
    ).bind()


def configure() -> None:
    """Send the process's log to standard error, at the environment's level; of the libraries only their warnings."""
    logging.basicConfig(stream=sys.stderr, level=level(), format=LINE)
    logging.getLogger("twisted").setLevel(logging.WARNING)
