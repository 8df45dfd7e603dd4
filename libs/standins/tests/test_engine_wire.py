"""Guards the answer lines and the faults by which I5 is tested."""

import random

import msgspec

from skylarkmoor_standins.engine_model import EngineModel
from skylarkmoor_standins.engine_types import EngineFaults, EngineSettings, Generate
from skylarkmoor_standins.engine_wire import LineWriter


def finished_attempt(tokens=3):
    engine = EngineModel(EngineSettings(), ("v1",), "mixed", random.Random(1), 0)
    attempt = engine.generate(Generate("a", "v1", f"x answer_tokens={tokens}", 100), 0)
    engine.advance(10_000)
    return attempt


def take(faults, position=0, tokens=3):
    writer = LineWriter(finished_attempt(tokens), position, random.Random(1))
    lines = writer.take(faults, "other")
    return [msgspec.json.decode(line) for line in lines.data.splitlines()], lines


def positions(lines):
    return [(line["attempt"], line["position"]) for line in lines if "position" in line]


def test_a_whole_answer_ends_with_the_marker():
    lines, taken = take(EngineFaults())
    assert positions(lines) == [("a", 0), ("a", 1), ("a", 2)]
    assert lines[-1] == {
        "attempt": "a",
        "end": True,
        "total": 3,
        "prefill_tokens": 2,
        "cached_tokens": 0,
    }
    assert (taken.finished, taken.broken) == (True, False)


def test_a_resumed_answer_starts_at_its_position():
    lines, _ = take(EngineFaults(), position=2)
    assert positions(lines) == [("a", 2)]
    assert lines[-1]["total"] == 3


def test_cut_streams_break_after_the_given_chunks():
    lines, taken = take(EngineFaults(cut_streams=2))
    assert positions(lines) == [("a", 0), ("a", 1)]
    assert taken.broken


def test_truncated_answers_have_no_marker():
    lines, taken = take(EngineFaults(truncate=True))
    assert positions(lines) == [("a", 0), ("a", 1), ("a", 2)]
    assert (len(lines), taken.finished) == (3, True)


def test_duplicate_and_crossed_chunks_are_mixed_in():
    lines, _ = take(EngineFaults(duplicate_chunks=1.0, crossed_chunks=1.0), tokens=1)
    assert positions(lines) == [("other", 0), ("a", 0), ("a", 0)]
