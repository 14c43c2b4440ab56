"""The commands of the control port: dispatches each request and sends exactly one response. No I/O."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from rackhub.fleet.control.limits import Limits
from rackhub.fleet.ports import Answer

log = logging.getLogger(__name__)
CommandHandler = Callable[[Mapping[str, Any], Answer], None]


class CommandDispatcher:
    """Implements `ports.Control`: passes each request to the handler of its command.

    `count` adds one to the counter of the given name.
    """

    def __init__(self, limits: Limits, count: Callable[[str], None]):
        self._limits = limits
        self._count = count
        self._handlers: dict[str, CommandHandler] = {}

    def on(self, command: str, handler: CommandHandler) -> None:
        """Register a command. Raises `ValueError` if it has a handler already, or there are too many commands."""
        if command in self._handlers:
            raise ValueError(f"command {command!r} is already registered")
        if len(self._handlers) >= self._limits.max_commands:
            raise ValueError(f"command {command!r}: at most {self._limits.max_commands} commands are allowed")
        self._handlers[command] = handler

    def dispatch(self, line: bytes, write: Callable[[bytes], None]) -> None:
        """Handle one request, and call `write` exactly once, now or later, with the response line without its end.

        An exception of the handler becomes an error response, and further responses are dropped.
        """
        response = _SingleResponse(self._count, lambda body: write(self._encode(body)))
        try:
            request = msgspec.json.decode(line, type=dict[str, Any])
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            self._count("control_bad")
            response.send({"error": f"not a JSON object: {error}"})
            return
        command = request.get("call")
        handler = self._handlers.get(command) if isinstance(command, str) else None
        if handler is None:
            self._count("control_unknown")
            known = ", ".join(sorted(self._handlers)) or "none"
            response.send({"error": f"call: unknown command {command!r}, it is none of {known}"})
            return
        self._count("control_calls")
        try:
            handler(request, response.send)
        except Exception as error:
            self._count("control_faults")
            log.exception("control: command %r failed", command)
            if not response.sent:
                response.send({"error": f"{command}: {type(error).__name__}: {error}"})

    def _encode(self, response: Mapping[str, Any]) -> bytes:
        try:
            body = msgspec.json.encode(response)
        except (TypeError, ValueError, OverflowError) as error:
            self._count("control_faults")
            return msgspec.json.encode({"error": f"the response can't be encoded as JSON: {error}"})
        max_bytes = self._limits.max_response_bytes
        if len(body) > max_bytes:
            self._count("control_long")
            return msgspec.json.encode({"error": f"the response has {len(body)} bytes, more than {max_bytes}"})
        return body


class _SingleResponse:
    """Forwards the first response to a request, and counts and drops any other."""

    def __init__(self, count: Callable[[str], None], write: Callable[[Mapping[str, Any]], None]):
        self.sent = False
        self._count = count
        self._write = write

    def send(self, response: Mapping[str, Any]) -> None:
        """Write the response, or count and drop it if one was written before."""
        if self.sent:
            self._count("control_twice")
            return
        self.sent = True
        self._write(response)
