"""Room that an endpoint has for a prompt, from its measured rates and its work.

It answers loads that an endpoint accepts at the cost of the streams that it runs: a
prompt that is read between their tokens delays them, and one that doesn't fit into the
memory preempts them.
"""

from __future__ import annotations

from dataclasses import dataclass

# Engines with chunked prefill read up to so many prompt tokens in one step.
CHUNK_TOKENS = 2048


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
    memory of 0 tokens is unknown.
    """

    prefill_tokens_per_s: float
    step_s: float
    stride: int
    memory_tokens: int
    runs: int
    unprocessed_tokens: int
    held_tokens: int


@dataclass(frozen=True, slots=True)
class Room:
    """Tell what a prompt would meet, and cause, at an endpoint.

    The first event is expected after `wait_s` for earlier prompts and `read_s` for its
    own. `pause_s` is the longest pause that the streams of the endpoint then have, 0 if
    none runs there, and `short_tokens` how many tokens its memory lacks.
    """

    wait_s: float
    read_s: float
    pause_s: float = 0.0
    short_tokens: int = 0


def room_for(need: Need, engine: EngineState) -> Room:
    """Return what a prompt meets and causes at an engine."""
    rate = engine.prefill_tokens_per_s
    wait_s = engine.unprocessed_tokens / rate
    if engine.runs:
        # A new prompt waits for the step that is under way.
        wait_s += engine.step_s
    return Room(
        wait_s,
        need.missing_tokens / rate,
        _pause_s(need, engine),
        _short_tokens(need, engine),
    )


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
