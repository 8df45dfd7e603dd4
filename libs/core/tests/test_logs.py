"""Guards against malformed log lines, lost prefixes or fields, and blocking log writes."""

import io
import json
import logging
import os

import pytest

from skylarkmoor_core.logs import BoundedStream, configure_logs, part_logger


@pytest.fixture
def lines():
    """Configure logs at level info and return a function that parses the written lines."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    stream = io.StringIO()
    configure_logs("info", stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    root.handlers[:] = handlers
    root.setLevel(level)


def test_line_is_json_with_level_time_and_prefix(lines):
    part_logger("rollout").info("step %d is late", 3)
    (line,) = lines()
    assert (line["level"], line["message"]) == ("INFO", "rollout: step 3 is late")
    assert line["time"]


def test_extra_fields_are_kept(lines):
    part_logger("http").warning("refused", extra={"code": "overloaded"})
    assert lines()[0]["code"] == "overloaded"


def test_message_with_line_breaks_is_written_as_one_line(lines):
    part_logger("peers").info("received %s", 'a\n{"level": "ERROR"}')
    assert [line["level"] for line in lines()] == ["INFO"]


def test_lines_below_the_level_are_dropped(lines):
    part_logger("log").debug("read")
    assert lines() == []


def test_configuring_again_does_not_duplicate_lines(lines):
    stream = io.StringIO()
    configure_logs("info", stream)
    part_logger("log").info("up")
    assert (len(stream.getvalue().splitlines()), lines()) == (1, [])


@pytest.mark.usefixtures("lines")
def test_unknown_level_is_rejected():
    with pytest.raises(ValueError, match="LOUD"):
        configure_logs("loud", io.StringIO())


def test_slow_reader_loses_whole_lines_and_does_not_block_the_writer():
    reader, writer = os.pipe()
    stream = BoundedStream(writer, max_bytes=100_000)
    for _ in range(1_000):
        stream.write("x" * 999 + "\n")
    assert stream.dropped > 0
    output = b""
    while len(output) < 100_000:
        output += os.read(reader, 65_536)
        stream.flush()
    assert set(output.split(b"\n")[:-1]) == {b"x" * 999}
    os.close(reader)
    os.close(writer)


def test_lines_without_a_reader_are_dropped():
    reader, writer = os.pipe()
    stream = BoundedStream(writer)
    os.close(reader)
    stream.write("lost\n")
    assert stream.dropped == 1
    os.close(writer)
