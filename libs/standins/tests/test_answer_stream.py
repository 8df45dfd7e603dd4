"""Guards against wrong answer lines and missing stream faults, on which the I5 tests rely."""

import random

import msgspec

from skylarkmoor_standins.answer_stream import LineWriter
from skylarkmoor_standins.engine_model import EngineModel
from skylarkmoor_standins.engine_types import EngineFaults, EngineSettings, GenerateRequest


def finished_attempt(tokens=3):
    engine = EngineModel(EngineSettings(), ("v1",), "mixed", random.Random(1), 0)
    attempt = engine.generate(GenerateRequest("a", "v1", f"x answer_tokens={tokens}", 100), 0)
    engine.advance(10_000)
    return attempt


def take(faults, position=0, tokens=3):
    writer = LineWriter(finished_attempt(tokens), position, random.Random(1))
    lines = writer.next_lines(faults, "other")
    return [msgspec.json.decode(line) for line in lines.data.splitlines()], lines


def positions(lines):
    return [(line["attempt"], line["position"]) for line in lines if "position" in line]


def test_complete_answer_ends_with_the_end_marker():
    lines, batch = take(EngineFaults())
    assert positions(lines) == [("a", 0), ("a", 1), ("a", 2)]
    assert lines[-1] == {
        "attempt": "a",
        "end": True,
        "total": 3,
        "prefill_tokens": 2,
        "cached_tokens": 0,
    }
    assert (batch.finished, batch.broken) == (True, False)


def test_resumed_answer_starts_at_the_requested_position():
    lines, _ = take(EngineFaults(), position=2)
    assert positions(lines) == [("a", 2)]
    assert lines[-1]["total"] == 3


def test_cut_streams_breaks_after_the_given_number_of_chunks():
    lines, batch = take(EngineFaults(cut_streams=2))
    assert positions(lines) == [("a", 0), ("a", 1)]
    assert batch.broken


def test_truncated_answer_has_no_end_marker():
    lines, batch = take(EngineFaults(truncate=True))
    assert positions(lines) == [("a", 0), ("a", 1), ("a", 2)]
    assert (len(lines), batch.finished) == (3, True)


def test_duplicate_and_crossed_chunks_are_inserted():
    lines, _ = take(EngineFaults(duplicate_chunks=1.0, crossed_chunks=1.0), tokens=1)
    assert positions(lines) == [("other", 0), ("a", 0), ("a", 0)]
