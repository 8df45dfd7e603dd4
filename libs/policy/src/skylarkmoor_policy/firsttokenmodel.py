"""Predicts the time to first token from a fixed part and a part per prompt token.

With a single figure for both, the fixed part of a slow engine looks like a low prompt speed, so
that its long prompts are overestimated and the short ones of a fast engine as well.
"""

from dataclasses import dataclass

__all__ = ["PRIOR_FIRST_TOKEN_MODEL", "FirstTokenModel", "FirstTokenSums", "fit_first_token"]

# An engine of the usual speed, assumed until there are measurements.
_PRIOR_FIXED_MS = 53.0
_PRIOR_MS_PER_TOKEN = 1 / 40
# Weight of the prior of the fixed part, in requests.
_PRIOR_REQUESTS = 3.0
# Weight of the prior of the part per token: that of three requests whose prompts differ by 2,000
# tokens from the mean.
_PRIOR_SQUARED_TOKENS = 3 * 2_000.0**2
# A regression over few requests can yield a negative part. An engine without a fixed part would
# look idle whatever it does.
_MIN_FIXED_MS = 5.0
# Bounds of the prompt speed relative to the prior; that of the known engines is 1/7 to 10 of it.
_MAX_SPEED_FACTOR = 20.0


@dataclass(frozen=True, slots=True)
class FirstTokenModel:
    """The two parts of the time to first token of an engine."""

    fixed_ms: float
    ms_per_token: float

    def predict_ms(self, tokens: float) -> float:
        """Return the time to first token of a prompt and the prompts ahead of it."""
        return self.fixed_ms + tokens * self.ms_per_token


@dataclass(frozen=True, slots=True)
class FirstTokenSums:
    """Sums over requests, each weighted by its age.

    Attributes
    ----------
    requests : float
        Sum of the weights.
    tokens, elapsed_ms : float
        Sums of the tokens, own and ahead, and of the times to first token.
    squared_tokens, tokens_ms : float
        Sums of the squared tokens, and of the products of tokens and times.
    """

    requests: float = 0.0
    tokens: float = 0.0
    elapsed_ms: float = 0.0
    squared_tokens: float = 0.0
    tokens_ms: float = 0.0


PRIOR_FIRST_TOKEN_MODEL = FirstTokenModel(_PRIOR_FIXED_MS, _PRIOR_MS_PER_TOKEN)


def fit_first_token(
    sums: FirstTokenSums, prior: FirstTokenModel = PRIOR_FIRST_TOKEN_MODEL
) -> FirstTokenModel:
    """Return the model with the least squared error over the requests and the prior.

    Notes
    -----
    Prompts of one length don't determine the part per token, which then remains that of the prior.

    Examples
    --------
    >>> fit_first_token(FirstTokenSums()) == PRIOR_FIRST_TOKEN_MODEL
    True
    """
    if sums.requests <= 0 or sums.tokens < 0:
        return prior
    mean_tokens = sums.tokens / sums.requests
    mean_ms = sums.elapsed_ms / sums.requests
    spread = max(0.0, sums.squared_tokens - sums.tokens * mean_tokens)
    covariance = sums.tokens_ms - sums.tokens * mean_ms
    ms_per_token = _clamp_ms_per_token(
        (covariance + _PRIOR_SQUARED_TOKENS * prior.ms_per_token) / (spread + _PRIOR_SQUARED_TOKENS)
    )
    measured_ms = mean_ms - ms_per_token * mean_tokens
    if measured_ms < _MIN_FIXED_MS and mean_tokens > 0:
        # The part per token is too high; it is what the smallest fixed part leaves.
        ms_per_token = _clamp_ms_per_token((mean_ms - _MIN_FIXED_MS) / mean_tokens)
        measured_ms = _MIN_FIXED_MS
    weight = sums.requests + _PRIOR_REQUESTS
    fixed_ms = (sums.requests * measured_ms + _PRIOR_REQUESTS * prior.fixed_ms) / weight
    return FirstTokenModel(max(_MIN_FIXED_MS, fixed_ms), ms_per_token)


def _clamp_ms_per_token(value: float) -> float:
    return min(
        max(value, _PRIOR_MS_PER_TOKEN / _MAX_SPEED_FACTOR), _MAX_SPEED_FACTOR * _PRIOR_MS_PER_TOKEN
    )
