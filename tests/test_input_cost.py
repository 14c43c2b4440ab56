"""The work on a peer's input grows at most in proportion to its length, whatever the input is.

A statement of 48,000 open brackets stopped a process: the pattern for quoted names read to the end of the statement at
each bracket and found no end of the name. No client got an answer for over 30 s, 136 of 200 lookups among them. Work is
measured as processor time of the thread at two lengths; quadratic work grows `GROWTH` times more than linear work.
"""

import random
import struct
import time

import pytest

from rackhub.net.line_buffer import LineBuffer
from rackhub.net.tds import codec
from rackhub.net.tds.token_reader import TokenReader
from rackhub.statement import MAX_GROUP_DIGITS, MAX_SCANNED_TOKENS, table_group

SMALL, GROWTH = 4_000, 8  # bytes of the shorter input; ratio of the two lengths
MAX_RATIO = 2 * GROWTH  # linear work has a ratio of `GROWTH`, quadratic work of its square


def processor_time(work):
    """Return the least processor time of several calls, in nanoseconds."""
    spent = []
    for _ in range(5):
        began = time.thread_time_ns()
        work()
        spent.append(time.thread_time_ns() - began)
    return min(spent)


def assert_linear(work_on, small=SMALL):
    """Fail unless `work_on(size)` takes processor time in proportion to the size."""
    work_on(small)
    short = processor_time(lambda: work_on(small))
    long = processor_time(lambda: work_on(small * GROWTH))
    assert long <= MAX_RATIO * short, f"{long / short:.0f} times the work for {GROWTH} times the input"


# Guards against a statement that holds the event loop: all clients of the process would get no answer.
@pytest.mark.parametrize("start", [b"", b'"x" ', b"a.", b"/* "], ids=["bare", "quoted", "dotted", "comment"])
@pytest.mark.parametrize(
    "piece",
    [b"[", b"[[a", b"a.[", b"`[", b'"["', b"'[", b"/*", b"/*[", b",", b"a . ", b"a  ", b"_1", b"FROM  .", b"FROM$"],
)
def test_the_work_on_a_statement_is_in_proportion_to_its_length(start, piece):
    assert_linear(lambda size: table_group(start + piece * (size // len(piece))))


# Guards against valid but dense statements of the largest size, which are linear and still hold the event loop.
@pytest.mark.parametrize("piece", [b"a,", b",", b"/**/", b'"" ', b"--\n"])
def test_only_a_limited_number_of_tokens_is_scanned(piece):
    scanned = piece * MAX_SCANNED_TOKENS
    assert table_group(b'"x" ' + piece + b" FROM a_3.b") == 3
    assert table_group(b'"x" ' + scanned + b" FROM a_3.b") is None


# Guards against a number that Python refuses to convert: the connection was closed without an answer.
@pytest.mark.parametrize("quote", [b"", b'"'])
def test_a_schema_with_a_number_of_thousands_of_digits_has_no_group(quote):
    for digits in (MAX_GROUP_DIGITS + 1, 5_000):
        assert table_group(b"SELECT 1 FROM " + quote + b"x_" + b"9" * digits + quote + b".t") is None


def test_a_quote_without_an_end_extends_to_the_end_of_the_statement():
    for quote in (b"[", b'"', b"`", b"'", b"/*"):
        assert table_group(b"SELECT 1 FROM a_3.b WHERE " + quote + b" FROM a_5.c") == 3
        assert table_group(b"SELECT " + quote + b" FROM a_3.b") is None


# ---- TDS, and lines in pieces


def result_with_small_chunks(size):
    """Return a response whose one row is sent in chunks of two bytes."""
    columns = codec.encode_columns(("a", "b", "c"))
    return columns + bytes([codec.ROW]) + struct.pack("<Q", codec.PLP_UNKNOWN_LENGTH) + b"\2\0\0\0xy" * (size // 6)


# Guards against parsing an incomplete token again with each packet: 16,000 bytes in single bytes took 37 s.
def test_the_work_on_an_engines_tokens_is_in_proportion_to_their_length_in_pieces_of_any_size():
    def read_in_bytes(size):
        reader, response = TokenReader(1 << 20), result_with_small_chunks(size)
        for position in range(len(response)):
            assert all(kind == codec.COLMETADATA for kind, _ in reader.feed(response[position : position + 1]))

    assert_linear(read_in_bytes, small=1_000)


def test_tokens_are_the_same_in_pieces_of_any_size():
    rows = [("a", "bb", "ccc"), ("", "\u20ac", "x" * 300)]
    notice = codec.encode_notice(codec.INFO, 51001, 1, 0, "0.5", "s")
    response = codec.encode_columns(("a", "b", "c")) + notice + b"".join(map(codec.encode_row, rows))
    response += bytes([codec.RETURNSTATUS, 0, 0, 0, 0]) + codec.encode_done(codec.DONE_COUNT, len(rows))
    whole = list(TokenReader(1_000).feed(response))
    assert [value for kind, value in whole if kind == codec.ROW] == [list(row) for row in rows]
    draw = random.Random(1)
    for _ in range(50):
        reader, tokens, position = TokenReader(1_000), [], 0
        while position < len(response):
            size = draw.randrange(1, 40)
            tokens += reader.feed(response[position : position + size])
            position += size
        assert tokens == whole and reader.at_token_boundary()


# Guards against options that each extend over the whole message: 260,000 bytes before the login took 0.66 s.
def test_the_work_on_the_options_of_a_prelogin_is_in_proportion_to_its_length():
    def read_options(size):
        count = size // codec.PRELOGIN_OPTION_BYTES
        option_table = b"".join(struct.pack(">BHH", number % 250, 0, min(size, 60_000)) for number in range(count))
        with pytest.raises(codec.TdsProtocolError, match="overlap"):
            codec.parse_prelogin(option_table + b"\xff")

    assert_linear(read_options, small=32_000)


# Guards against copying and searching an incomplete line again with each piece of it.
def test_the_work_on_a_line_in_single_bytes_is_in_proportion_to_its_length():
    def receive(size):
        buffer = LineBuffer()
        for _ in range(size):
            buffer.append(b"x")
            assert buffer.take_line() is None

    assert_linear(receive, small=8_000)


# Guards against a number that Python refuses to convert: the connection was closed without a reason in the log.
@pytest.mark.parametrize("size, scale", [(255, 0), (18, 2), (1, 0), (17, 39), (5, 255)])
def test_a_decimal_of_an_impossible_size_is_malformed(size, scale):
    value = bytes([codec.DECIMALN, size, 38, scale, size, 1]) + b"\xff" * (size - 1)
    call = codec.ALL_HEADERS + struct.pack("<H", 1) + "p".encode("utf-16-le") + b"\0\0" + b"\0\0" + value
    with pytest.raises(codec.TdsProtocolError, match="decimal"):
        codec.parse_rpc(call)


# ---- single messages whose work was not bounded by their number


# Guards against a PRELOGIN of 50,000 empty options, each of which was parsed: some 70 ms of processor time.
def test_the_options_of_a_prelogin_are_bounded_in_number():
    options = b"".join(struct.pack(">BHH", number % 250, 0, 0) for number in range(50_000))
    with pytest.raises(codec.TdsProtocolError, match="more than 32 options"):
        codec.parse_prelogin(options + b"\xff")
    assert len(codec.parse_prelogin(codec.encode_prelogin())) == 5


# Guards against a password of 65,535 characters, which is decoded byte by byte.
def test_the_texts_of_a_login_are_bounded():
    assert codec.parse_login7(codec.encode_login7("u" * 128, "p" * 128, "rides", 4096)).password == "p" * 128
    for user, password in (("u" * 129, "p"), ("u", "p" * 129)):
        with pytest.raises(codec.TdsProtocolError, match="129 code units"):
            codec.parse_login7(codec.encode_login7(user, password, "rides", 4096))


# Guards against a call of tens of thousands of short arguments, and a text in as many chunks.
def test_the_arguments_of_a_call_and_their_chunks_are_bounded():
    call = codec.encode_rpc("p", {f"@{number}": number for number in range(codec.MAX_RPC_ARGUMENTS)})
    assert len(codec.parse_rpc(call).arguments) == codec.MAX_RPC_ARGUMENTS
    with pytest.raises(codec.UnsupportedTdsError, match="arguments"):
        codec.parse_rpc(codec.encode_rpc("p", {f"@{number}": number for number in range(33)}))
    begin = codec.encode_rpc("p", {}) + b"\0\0" + bytes([codec.NVARCHAR]) + b"\xff\xff" + codec.COLLATION
    begin += struct.pack("<Q", codec.PLP_UNKNOWN_LENGTH)
    for chunks, is_valid in ((codec.MAX_PLP_CHUNKS, True), (codec.MAX_PLP_CHUNKS + 1, False)):
        body = begin + b"\2\0\0\0x\0" * chunks + b"\0\0\0\0"
        if is_valid:
            assert codec.parse_rpc(body).arguments == {"": "x" * chunks}
        else:
            with pytest.raises(codec.TdsProtocolError, match="chunks"):
                codec.parse_rpc(body)
