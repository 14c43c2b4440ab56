"""Tells a complete response of a TDS engine from one that was cut off (MS-TDS 2.2.7.6 to 2.2.7.8).

The last packet of a message says only that no more packets follow. A response is complete if its last token is a DONE
or DONEPROC without the MORE bit, and if the number of rows that a DONE token gives is that of the rows received.
"""

from typing import Any

from rackhub.net.tds import codec


class ResponseState:
    """Follows the tokens of one response message, which has at most one result set."""

    def __init__(self) -> None:
        self.attention_acknowledged = False
        self.error = 0  # number of the first ERROR token; 0: none was received, -1: a DONE token reported an error
        self.login_acknowledged = False
        self._has_columns = False
        self._in_result_set = False
        self._rows = 0
        self._is_ended = False  # a DONE or DONEPROC token without the MORE bit was received

    def add(self, kind: int, value: Any) -> None:
        """Add the next token. Raises `TdsProtocolError` if it can't be at this place."""
        if kind in codec.DONE_TOKENS:
            self._add_done(kind, value)
            return
        if self._is_ended:
            raise codec.TdsProtocolError(f"token 0x{kind:02x} after the end of the response")
        if kind == codec.COLMETADATA:
            self._begin_result_set()
        elif kind == codec.ROW:
            if not self._in_result_set:
                raise codec.TdsProtocolError("row outside of a result set")
            self._rows += 1
        elif kind == codec.ERROR:
            self.error = self.error or value.number or -1
        elif kind == codec.LOGINACK:
            self.login_acknowledged = True

    def check_complete(self) -> None:
        """Check at the end of the message that the response is complete. Raises `TdsProtocolError`."""
        if not self._is_ended:
            raise codec.TdsProtocolError("response ends without a final DONE")

    def _begin_result_set(self) -> None:
        if self._has_columns:
            raise codec.TdsProtocolError("response has a second result set")
        self._has_columns = self._in_result_set = True

    def _add_done(self, kind: int, done: codec.Done) -> None:
        if done.status & codec.DONE_ATTN:  # may follow the end of a response that was complete before the Attention
            self.attention_acknowledged = True
            self._is_ended = True
            return
        if self._is_ended:
            raise codec.TdsProtocolError("DONE after the end of the response")
        if done.status & (codec.DONE_ERROR | codec.DONE_SERVER_ERROR):
            self.error = self.error or -1
        if self._in_result_set and done.status & codec.DONE_COUNT and done.rows != self._rows and not self.error:
            raise codec.TdsProtocolError(f"result of {done.rows} rows has {self._rows}")
        self._in_result_set = False
        self._is_ended = kind != codec.DONEINPROC and not done.status & codec.DONE_MORE
