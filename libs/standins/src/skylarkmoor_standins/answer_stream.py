"""Encodes an attempt's answer as NDJSON lines and injects connection faults into the stream."""

import random
from dataclasses import dataclass

import msgspec

from skylarkmoor_standins.engine_model import Attempt
from skylarkmoor_standins.engine_types import AttemptOutcome, EngineFaults

__all__ = ["LineWriter", "LineBatch"]


class _Chunk(msgspec.Struct, frozen=True):
    attempt: str
    position: int
    text: str


class _EndMarker(msgspec.Struct, frozen=True):
    attempt: str
    end: bool
    total: int
    prefill_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class LineBatch:
    """Encoded lines to send, and whether to close or break the connection after them."""

    data: bytes
    finished: bool = False
    broken: bool = False


class LineWriter:
    """Encodes the answer of one attempt for one connection.

    Parameters
    ----------
    attempt : Attempt
        Attempt whose answer is encoded.
    position : int
        Token position of the first chunk.
    rng : random.Random
        Selects the chunks that are duplicated or crossed.
    """

    def __init__(self, attempt: Attempt, position: int, rng: random.Random) -> None:
        self.attempt = attempt
        self._position = position
        self._rng = rng
        self._chunks_sent = 0

    def next_lines(self, faults: EngineFaults, other_attempt: str) -> LineBatch:
        """Return the lines produced since the previous call.

        Parameters
        ----------
        faults : EngineFaults
            Faults to inject into the stream.
        other_attempt : str
            Attempt id that crossed chunks carry instead of this attempt's id.
        """
        lines: list[bytes] = []
        served = self.attempt.served
        while self._position < served.position:
            lines.extend(self._encode_chunk(faults, other_attempt))
            self._position += 1
            self._chunks_sent += 1
            if faults.cut_streams and self._chunks_sent >= faults.cut_streams:
                return LineBatch(b"".join(lines), broken=True)
        if not self.attempt.ended:
            return LineBatch(b"".join(lines))
        if served.end is AttemptOutcome.DONE and not faults.truncate:
            lines.append(self._encode_end_marker())
        return LineBatch(b"".join(lines), finished=True)

    def _encode_chunk(self, faults: EngineFaults, other_attempt: str) -> list[bytes]:
        text = self.attempt.word_at(self._position) + " "
        line = _encode_line(_Chunk(self.attempt.id, self._position, text))
        lines = [line]
        if self._rng.random() < faults.crossed_chunks:
            lines.insert(0, _encode_line(_Chunk(other_attempt, self._position, "crossed ")))
        if self._rng.random() < faults.duplicate_chunks:
            lines.append(line)
        return lines

    def _encode_end_marker(self) -> bytes:
        served = self.attempt.served
        return _encode_line(
            _EndMarker(
                self.attempt.id, True, served.total, served.prefill_tokens, served.cached_tokens
            )
        )


def _encode_line(value: msgspec.Struct) -> bytes:
    return msgspec.json.encode(value) + b"\n"
