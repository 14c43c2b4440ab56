"""Structured logging: one line for each event, with its fields as `name=value`.

Every logger writes to the standard library's logger of the same name, so that handlers, tests and libraries share one
stream. `RACKHUB_LOG_LEVEL` sets the level: `info` (the default) logs state changes of the process, the endpoint list
and the resolver; `debug` adds an event for each request, attempt and connection, with the reason for each rejection,
retry and close. A call below the level costs a call of an empty function.

Each line has a monotonic time in seconds in addition to the wall clock, because the wall clock may be stepped.
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
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"


def level() -> int:
    """Return the level from `RACKHUB_LOG_LEVEL`; `info` if the variable is not set or its value is not a level."""
    return LEVELS.get(os.environ.get(LEVEL_VARIABLE, "").lower(), logging.INFO)


def _add_monotonic_time(_: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    event["at"] = round(time.monotonic(), 4)
    return event


def _render(_: Any, __: str, event: MutableMapping[str, Any]) -> str:
    """Return the event's name, its fields in the order of the call, and the traceback, if any."""
    name = event.pop("event")
    trace = event.pop("exception", "")
    line = " ".join([str(name), *(f"{field}={value}" for field, value in event.items())])
    return f"{line}\n{trace}" if trace else line


def logger(name: str) -> Any:
    """Return the logger of a module. The level is read from the environment now, usually at import."""
    return structlog.wrap_logger(
        logging.getLogger(name),
        wrapper_class=structlog.make_filtering_bound_logger(level()),
        processors=[structlog.processors.format_exc_info, _add_monotonic_time, _render],
    ).bind()


def configure() -> None:
    """Write the log to standard error at the configured level; Twisted logs warnings and errors only."""
    logging.basicConfig(stream=sys.stderr, level=level(), format=LOG_FORMAT)
    logging.getLogger("twisted").setLevel(logging.WARNING)
