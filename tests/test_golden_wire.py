"""What an earlier version wrote to other processes and to its disk is read, and written again to the same bytes."""

import json

import golden_wire
import pytest

GOLDEN = json.loads(golden_wire.RECORDED.read_text())


@pytest.mark.parametrize("family", GOLDEN)
def test_recorded_bytes_are_read_and_written_again_unchanged(family):
    codec = golden_wire.CODECS[family]
    for text in GOLDEN[family]:
        value = codec.read(bytes.fromhex(text))
        assert value is not None, text
        assert codec.write(value).hex() == text, value


def test_every_family_is_recorded_with_every_type():
    assert GOLDEN.keys() == golden_wire.CODECS.keys()
    for family, texts in golden_wire.record().items():
        assert len(GOLDEN[family]) == len(texts), family
