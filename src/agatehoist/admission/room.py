"""Room that an endpoint has for a prompt, from its measured rates and its work.

It answers loads that an endpoint accepts at the cost of the streams that it runs: a
prompt that is read between their tokens delays them, and one that doesn't fit into the
memory preempts them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Engines with chunked prefill read up to so many prompt tokens in one step.
CHUNK_TOKENS = 2048
# An engine counts as full from this share of its slots or memory, since reports lag.
FULL_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Need:
    """Describe what a prompt needs at an endpoint.

    `missing_tokens` have to be read; `held_tokens` are held in memory until the end of
    the run, in addition to what is cached already. The gap objective is that of the
    route, 0 for none.
    """

    missing_tokens: int
    held_tokens: int
    gap_objective_s: float


@dataclass(frozen=True, slots=True)
class EngineState:
    """Hold the measured rates of an engine and the work that all gateways have there.

    A step computes one token for each run and takes `step_s`, longer while it reads
    up to CHUNK_TOKENS of a prompt as well. An event of a stream has `stride` tokens. A
    memory of 0 tokens is unknown, and so are 0 slots. One answer in ten takes `noise`
    times as long as expected, or longer.
    """

    prefill_tokens_per_s: float
    step_s: float
    stride: int
    memory_tokens: int
    runs: int
    unprocessed_tokens: int
    held_tokens: int
    slots: int = 0
    noise: float = 1.0

    @property
    def is_full(self) -> bool:
        """Return whether the known runs explain that it starts or accepts no others."""
        if self.slots and self.runs >= FULL_SHARE * self.slots:
            return True
        memory_tokens = FULL_SHARE * self.memory_tokens
        return self.memory_tokens > 0 and self.held_tokens >= memory_tokens


@dataclass(frozen=True, slots=True)
class Room:
    """Tell what a prompt would meet, and cause, at an endpoint.

    The first event is expected after `wait_s` for earlier prompts and `read_s` for its
    own. `pause_s` is the longest pause that the streams of the endpoint then have, 0 if
    none runs there, and `short_tokens` how many tokens its memory lacks.
    One answer in ten takes `noise` times the expected time or longer.
    """

    wait_s: float
    read_s: float
    pause_s: float = 0.0
    short_tokens: int = 0
    noise: float = 1.0


def room_for(need: Need, engine: EngineState) -> Room:
    """Return what a prompt meets and causes at an engine."""
    rate = engine.prefill_tokens_per_s
    wait_s = engine.unprocessed_tokens / rate
    wait_s += chunk_count(engine.unprocessed_tokens) * engine.step_s
    read_s = need.missing_tokens / rate
    read_s += chunk_count(need.missing_tokens) * engine.step_s
    return Room(
        wait_s,
        read_s,
        _pause_s(need, engine),
        _short_tokens(need, engine),
        engine.noise,
    )


def chunk_count(tokens: int) -> int:
    """Return the number of steps in which an engine reads a prompt."""
    return math.ceil(tokens / CHUNK_TOKENS)


def held_tokens(own_tokens: int, shared_tokens: int, cached_tokens: int) -> int:
    """Return the tokens that the runs of an engine hold, shared parts only once.

    Of the runs of peers only the sizes are known, so the parts that are in use are
    estimated: runs that use `shared_tokens` at random out of `cached_tokens` leave a
    share of exp(-shared/cached) unused. Unused parts are evicted in favour of runs.
    """
    if not cached_tokens:
        return own_tokens + shared_tokens
    used_share = 1 - math.exp(-shared_tokens / cached_tokens)
    return own_tokens + round(used_share * cached_tokens)


def _pause_s(need: Need, engine: EngineState) -> float:
    """Return the time of the event whose steps all read chunks of prompts."""
    if not engine.runs:
        return 0.0
    unread_tokens = engine.unprocessed_tokens + need.missing_tokens
    read_tokens = min(unread_tokens, engine.stride * CHUNK_TOKENS)
    return engine.stride * engine.step_s + read_tokens / engine.prefill_tokens_per_s


def _short_tokens(need: Need, engine: EngineState) -> int:
    if not engine.memory_tokens:
        return 0
    held_tokens = engine.held_tokens + need.held_tokens
    return max(0, held_tokens - engine.memory_tokens)
