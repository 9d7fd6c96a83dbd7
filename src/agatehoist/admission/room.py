"""Room that an endpoint has for a prompt, from its measured rates and its work.

It answers loads that an endpoint accepts at the cost of the streams that it runs: a
prompt that is read between their tokens delays them, and one that doesn't fit into the
memory preempts them.
"""

from __future__ import annotations

from dataclasses import dataclass


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

    A step computes one token for each run, or reads up to `chunk_tokens` of a prompt as
    well; an event of a stream has `stride` tokens. A memory of 0 tokens is unknown.
    """

    prefill_tokens_per_s: float
    step_s: float
    chunk_tokens: int
    stride: int
    memory_tokens: int
    runs: int
    unprocessed_tokens: int
    held_tokens: int


@dataclass(frozen=True, slots=True)
class Room:
    """Tell what a prompt would meet, and cause, at an endpoint.

    The first event is expected after `wait_s` for earlier prompts and `read_s` for its
    own. `pause_s` is the longest pause that the streams of the endpoint then have, and
    `short_tokens` how many tokens its memory lacks.
    """

    wait_s: float
    read_s: float
    pause_s: float = 0.0
    short_tokens: int = 0


def room_for(need: Need, engine: EngineState) -> Room:
    """Return what a prompt meets and causes at an engine."""
    rate = engine.prefill_tokens_per_s
    wait_s = engine.unprocessed_tokens / rate + engine.runs * engine.step_s
    read_s = need.missing_tokens / rate
    unread_tokens = engine.unprocessed_tokens + need.missing_tokens
    # While it reads, an engine runs a chunk in each step of an event.
    steps_tokens = min(unread_tokens, engine.stride * engine.chunk_tokens)
    pause_s = engine.stride * engine.step_s + steps_tokens / rate
    short_tokens = 0
    if engine.memory_tokens:
        held_tokens = engine.held_tokens + need.held_tokens
        short_tokens = max(0, held_tokens - engine.memory_tokens)
    return Room(wait_s, read_s, pause_s, short_tokens)
