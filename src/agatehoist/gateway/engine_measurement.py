"""What one attempt measures of its endpoint: the first event and the gaps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agatehoist.admission.room import CHUNK_TOKENS, chunk_count
from agatehoist.fleet.capacity import DEFAULT_PREFILL_TOKENS_PER_S
from agatehoist.fleet.load import FIRST_TOKEN_S, NO_SIZES, TrackedRequest
from agatehoist.fleet.silence import TOLERATED_SILENCE_S, is_wait_explained
from agatehoist.fleet.stream_gaps import Gap, StreamGaps
from agatehoist.gateway.room import measured_engines, run_sizes

if TYPE_CHECKING:
    from agatehoist.admission.room import EngineState
    from agatehoist.gateway.state import GatewayState
    from agatehoist.gateway.types import Dispatch
    from agatehoist.routing.types import Engines, RoutedRequest

# Shorter prompts may overtake those ahead of them, so that the time to their first
# event shows the rate of an engine only if there are few.
MIN_QUEUED_SAMPLE_TOKENS = 2048


class EngineMeasurement:
    """Count a request in the load of its endpoint, and learn the rates from its answer.

    The rates of engines without stated figures are learned from first events alone.
    """

    def __init__(
        self,
        state: GatewayState,
        request: RoutedRequest,
        dispatch: Dispatch,
        began_at: float,
    ) -> None:
        self._state = state
        self._lifetime = dispatch.endpoint.lifetime
        self._endpoint = dispatch.endpoint
        self._missing_tokens = dispatch.missing_tokens
        # The prompt of a continued run isn't read again.
        self._is_continued = bool(dispatch.continued_run)
        self._began_at = began_at
        self._engines = measured_engines(state, request)
        self._gaps = StreamGaps(dispatch.endpoint.name)
        self._has_begun = False
        load, prompt = state.load, request.envelope.prompt
        self._tokens_ahead = load.work(self._lifetime, began_at).unprocessed_tokens
        self._assumed_first_s = load.assumed_first_s(
            self._lifetime, dispatch.missing_tokens, began_at
        )
        slowness = load.capacity.slowness(self._lifetime, began_at)
        # The endpoint processes earlier prompts first.
        self.expected_first_s = slowness * self._assumed_first_s
        is_measured = prompt is not None and self._engines is not None
        if is_measured:
            rates = load.capacity.rates(self._lifetime, began_at)
            self.expected_first_s *= rates.noise
        sizes = run_sizes(prompt) if prompt and is_measured else NO_SIZES
        self.tracked: TrackedRequest = load.track(
            self._lifetime, dispatch.missing_tokens, sizes
        )

    @property
    def longest_gap(self) -> Gap:
        """Return the longest gap between events so far, as they were received."""
        return self._gaps.longest

    def note_first_event(self, now: float) -> None:
        """Learn from the time to the first event, as the prompt has been read."""
        self.tracked.note_prefill_done()
        self._has_begun = True
        measured_s = now - self._began_at
        capacity = self._state.load.capacity
        if self._engines is None:
            measured_s -= FIRST_TOKEN_S
            capacity.learn_first_event(
                self._lifetime, self._assumed_first_s, measured_s
            )
            return
        if not self._shows_rate:
            return
        tokens = self._tokens_ahead + self._missing_tokens
        # The engine computes the tokens of the first event after it has read the
        # prompt, and meanwhile reads those behind.
        stride = self._engines.stride
        rates = capacity.rates(self._lifetime, now)
        work = self._state.load.work(self._lifetime, now)
        read_tokens = min(work.unprocessed_tokens, (stride - 1) * CHUNK_TOKENS)
        measured_s -= (stride + chunk_count(tokens)) * rates.step_s
        measured_s -= read_tokens / rates.prefill_tokens_per_s
        capacity.learn_first_event(
            self._lifetime,
            tokens / DEFAULT_PREFILL_TOKENS_PER_S,
            measured_s,
            now,
            is_shared=True,
        )

    @property
    def _shows_rate(self) -> bool:
        """Return whether the time to the first event is that to read known tokens."""
        if self._is_continued:
            return False
        is_long = self._missing_tokens >= MIN_QUEUED_SAMPLE_TOKENS
        return is_long or self._tokens_ahead <= self._missing_tokens

    def note_events(self, count: int, now: float) -> None:
        """Record that events have arrived, and learn from the gap before them."""
        load = self._state.load
        gap = self._gaps.note(now, load.work(self._lifetime, now))
        if gap is None or self._engines is None or gap.work.unprocessed_tokens:
            return
        steps = count * self._engines.stride
        load.capacity.learn_steps(self._lifetime, steps, gap.gap_s, now)

    def is_rejection_explained(self, now: float) -> bool:
        """Return whether the endpoint is known to be full, so that it may reject."""
        if self._engines is None:
            return False
        return self._engine_state(self._engines, now).is_full

    def is_wait_explained(self, now: float) -> bool:
        """Return whether work explains that the answer hasn't begun.

        It doesn't if the endpoint has sent nothing to any request either.
        """
        if self._engines is None or self._has_begun:
            return False
        if self._state.silence_s(self._endpoint) > TOLERATED_SILENCE_S:
            return False
        engine = self._engine_state(self._engines, now)
        work_s = engine.noise * engine.unprocessed_tokens / engine.prefill_tokens_per_s
        expected_s = max(self.expected_first_s, work_s)
        return engine.is_full or is_wait_explained(now - self._began_at, expected_s)

    def _engine_state(self, engines: Engines, now: float) -> EngineState:
        states = self._state.engine_states
        return states.get(self._state, engines, self._lifetime, now)
