"""Relay of a streamed answer: forwards each token to the caller once, over several attempts."""

from dataclasses import dataclass

from skylarkmoor_core.ids import AttemptId

__all__ = ["Complete", "Drop", "Emit", "Resume", "StartNewAttempt", "StreamRelay"]

# Resume requests without progress after which the attempt is abandoned, so that the answer can be
# redone by another attempt before its deadline.
_MAX_CONSECUTIVE_RESUMES = 2


@dataclass(frozen=True, slots=True)
class Emit:
    """Send the text of the token at `position` to the caller."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class Drop:
    """Discard the chunk or event."""

    reason: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask the attempt's upstream to continue at `position`, and read only the new response."""

    attempt: AttemptId
    position: int


@dataclass(frozen=True, slots=True)
class StartNewAttempt:
    """Cancel the attempt and start another one that continues the answer after `text`."""

    position: int
    text: str


@dataclass(frozen=True, slots=True)
class Complete:
    """End the stream: the whole answer of `total` tokens was sent."""

    total: int


class StreamRelay:
    """Decides which tokens of a request's attempts are sent to its caller.

    Notes
    -----
    Positions count the tokens of the answer from 0 over all attempts. `total` in an end marker
    is the number of tokens of the whole answer; the answer is complete only if exactly this many
    tokens were sent.
    """

    def __init__(self) -> None:
        self._sent_texts: list[str] = []
        self._current_attempt: AttemptId | None = None
        self._started_attempts: set[AttemptId] = set()
        self._resume_count = 0
        self._completed = False

    @property
    def position(self) -> int:
        """Number of tokens sent to the caller."""
        return len(self._sent_texts)

    @property
    def text(self) -> str:
        """Text sent to the caller."""
        return "".join(self._sent_texts)

    @property
    def completed(self) -> bool:
        """Whether the whole answer was sent."""
        return self._completed

    def start(self, attempt: AttemptId, start_position: int) -> None:
        """Make `attempt` the current one; chunks of earlier attempts are dropped.

        Raises
        ------
        ValueError
            If the attempt does not start where the sent text ends, if its id was used before,
            or if the answer is complete.
        """
        if start_position != self.position:
            raise ValueError(
                f"attempt {attempt!r} must start at position {self.position}, got {start_position}"
            )
        if attempt in self._started_attempts:
            raise ValueError(f"attempt {attempt!r} was already started")
        if self._completed:
            raise ValueError(f"attempt {attempt!r} cannot start: the answer is complete")
        self._started_attempts.add(attempt)
        self._current_attempt = attempt
        self._resume_count = 0

    def handle_token(
        self, attempt: AttemptId, position: int, text: str
    ) -> Emit | Drop | Resume | StartNewAttempt:
        """Handle the token at `position` from an upstream."""
        if attempt != self._current_attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        if position < self.position:
            return Drop(f"token at position {position} was already sent")
        if position > self.position:
            return self._resume_or_redo(attempt)
        self._sent_texts.append(text)
        self._resume_count = 0
        return Emit(position, text)

    def handle_end(
        self, attempt: AttemptId, total: int
    ) -> Complete | Drop | Resume | StartNewAttempt:
        """Handle the end marker of an attempt."""
        if attempt != self._current_attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        if total > self.position:
            return self._resume_or_redo(attempt)
        if total < self.position:
            return self._redo()
        self._current_attempt = None
        self._completed = True
        return Complete(total)

    def connection_lost(self, attempt: AttemptId) -> Drop | Resume | StartNewAttempt:
        """Handle a connection of `attempt` that was lost before its end marker."""
        if attempt != self._current_attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        return self._resume_or_redo(attempt)

    def resume_unavailable(self, attempt: AttemptId) -> Drop | StartNewAttempt:
        """Handle an upstream that cannot resume `attempt`, for instance after a restart."""
        if attempt != self._current_attempt:
            return Drop(f"attempt {attempt!r} is not the current one")
        return self._redo()

    def _resume_or_redo(self, attempt: AttemptId) -> Resume | StartNewAttempt:
        if self._resume_count >= _MAX_CONSECUTIVE_RESUMES:
            return self._redo()
        self._resume_count += 1
        return Resume(attempt, self.position)

    def _redo(self) -> StartNewAttempt:
        self._current_attempt = None
        return StartNewAttempt(self.position, self.text)
