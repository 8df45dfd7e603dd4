"""Deterministic answer tokens and prefix block hashes of the simulated engine."""

import re
from collections.abc import Sequence

from skylarkmoor_core.hashing import hash64

__all__ = ["BLOCK_TOKENS", "answer_tokens", "answer_word", "block_hashes", "original_prompt"]

BLOCK_TOKENS = 16
_CONSONANTS = "bdfghklmnprstvwz"
_VOWELS = "aeiou"
_SYLLABLES_PER_WORD = 3
# Answers have 8 to 64 tokens unless the prompt sets the length.
_MIN_DEFAULT_TOKENS = 8
_DEFAULT_LENGTH_COUNT = 57
_LENGTH_PATTERN = re.compile(r"answer_tokens=(\d+)")


def block_hashes(words: Sequence[str]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of `words`, the shortest prefix first.

    Notes
    -----
    A block's hash is ``hash64(previous hash as text, words joined by a space)``; the hash
    before the first block is 0.
    """
    hashes: list[int] = []
    previous = 0
    for i in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        previous = hash64(str(previous), " ".join(words[i : i + BLOCK_TOKENS]))
        hashes.append(previous)
    return tuple(hashes)


def original_prompt(words: Sequence[str], start_position: int) -> Sequence[str]:
    """Return the prompt without the answer tokens that a retry appends to it.

    Parameters
    ----------
    words : sequence of str
        Prompt followed by the first `start_position` words of the answer.
    start_position : int
        Number of answer words at the end of `words`.
    """
    return words[: len(words) - start_position]


def answer_word(prompt_hash: int, position: int) -> str:
    """Return the answer token at `position`, a pseudo-random function of the prompt hash."""
    number = hash64(str(prompt_hash), str(position))
    word = ""
    for _ in range(_SYLLABLES_PER_WORD):
        number, consonant = divmod(number, len(_CONSONANTS))
        number, vowel = divmod(number, len(_VOWELS))
        word += _CONSONANTS[consonant] + _VOWELS[vowel]
    return word


def answer_tokens(prompt: Sequence[str], prompt_hash: int, max_tokens: int) -> int:
    """Return the number of tokens in the answer to `prompt`, at most `max_tokens`.

    The last word ``answer_tokens=N`` in the prompt sets the length; without one, the prompt hash
    determines it.

    Examples
    --------
    >>> answer_tokens(["please", "answer_tokens=5"], 1, max_tokens=100)
    5
    >>> answer_tokens(["please", "answer_tokens=5"], 1, max_tokens=3)
    3
    """
    tokens = _MIN_DEFAULT_TOKENS + prompt_hash % _DEFAULT_LENGTH_COUNT
    for word in prompt:
        found = _LENGTH_PATTERN.fullmatch(word)
        if found:
            tokens = int(found[1])
    return min(tokens, max_tokens)
