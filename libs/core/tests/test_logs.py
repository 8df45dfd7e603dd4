"""Guards log lines against losing their JSON form, their part's prefix or their fields."""

import io
import json
import logging

import pytest

from skylarkmoor_core.logs import configure_logs, part_logger


@pytest.fixture
def lines():
    """Configure logs at level info and return a function that reads the lines written."""
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


def test_text_with_line_breaks_stays_one_line(lines):
    part_logger("peers").info("received %s", 'a\n{"level": "ERROR"}')
    assert [line["level"] for line in lines()] == ["INFO"]


def test_lines_below_the_level_are_dropped(lines):
    part_logger("log").debug("read")
    assert lines() == []


def test_configuring_again_does_not_double_lines(lines):
    stream = io.StringIO()
    configure_logs("info", stream)
    part_logger("log").info("up")
    assert (len(stream.getvalue().splitlines()), lines()) == (1, [])


@pytest.mark.usefixtures("lines")
def test_unknown_level_is_refused():
    with pytest.raises(ValueError, match="LOUD"):
        configure_logs("loud", io.StringIO())
