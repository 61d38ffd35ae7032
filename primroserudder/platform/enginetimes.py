"""Decoding of the times that operators state for engines.

Explanation
===========
The fields only improve the choice of targets. One of another form, or out of
range, counts as missing, so that it never makes a configuration unreadable.
"""

import math
from collections.abc import Mapping
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from ..fleet.model import EngineTimes

MS_PER_S = 1000
TOKENS_PER_K = 1000
PAIRS_PER_M = 1_000_000
# Larger figures are no times or sizes of engines.
MAX_FIGURE = 1e9
MAX_STEPS_PER_PASS = 1000


def _figure(stated: object) -> float:
    """Return a stated figure, zero if it is malformed or out of range.

    Examples
    ========
    >>> _figure(6.07), _figure('fast'), _figure(-1), _figure(float('nan'))
    (6.07, 0, 0, 0)
    """
    if isinstance(stated, bool) or not isinstance(stated, int | float):
        return 0
    if not math.isfinite(stated) or not 0 <= stated <= MAX_FIGURE:
        return 0
    return stated


def _usual(stated: object) -> Mapping[str, float]:
    if not isinstance(stated, Mapping):
        return {}
    return {str(name): _figure(figure) for name, figure in stated.items()}


_Figure = Annotated[float, BeforeValidator(_figure)]


class EngineTimesFields(BaseModel):
    """The fields of a service's engine that state its times."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    step_ms: _Figure = 0
    per_seq_ms: _Figure = 0
    context_per_k: _Figure = 0
    read_per_s: _Figure = 0
    pairs_per_m: _Figure = 0
    chunk: _Figure = 0
    stride: _Figure = Field(alias='Stride', default=1)
    usual: Annotated[Mapping[str, float], BeforeValidator(_usual)] = {}

    def engine_times(self) -> EngineTimes | None:
        """Return the times, ``None`` without those of a step and of reading."""
        if not self.step_ms or not self.read_per_s:
            return None
        return EngineTimes(
            step_s=self.step_ms / MS_PER_S,
            read_tokens_per_s=self.read_per_s,
            request_s=self.per_seq_ms / MS_PER_S,
            context_token_s=self.context_per_k / MS_PER_S / TOKENS_PER_K,
            pair_s=self.pairs_per_m / MS_PER_S / PAIRS_PER_M,
            chunk_tokens=int(self.chunk),
            steps_per_pass=_steps(self.stride),
            usual_prompt_tokens=int(self.usual.get('prompt', 0)),
            usual_answer_tokens=int(self.usual.get('answer', 0)),
        )


def _steps(stride: float) -> int:
    return max(1, min(MAX_STEPS_PER_PASS, int(stride)))
