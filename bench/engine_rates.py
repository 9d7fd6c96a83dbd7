"""Simulate how gateways learn the rates of engines, and compare rooms with outcomes."""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from agatehoist.admission.room import CHUNK_TOKENS, Need, room_for
from agatehoist.cache.endpoint_parts import EndpointParts
from agatehoist.fleet.load import Load
from agatehoist.gateway.endpoint_rates import RATES_PEERS
from agatehoist.gateway.engine_measurement import EngineMeasurement
from agatehoist.gateway.room import EngineStates, run_sizes
from agatehoist.protocol.datagrams import DATAGRAM_HEADER_BYTES
from agatehoist.protocol.endpoint_rates import RatesReport, decode_rates, encode_rates
from agatehoist.protocol.node_reports import NodeReport
from agatehoist.routing.types import Engines, Prompt, PromptPart, Service

if TYPE_CHECKING:
    from collections.abc import Callable

SEEDS = (1, 2, 3)
DURATION_S = 25.0
REPORTED_AT_S = (1.0, 3.5, 6.0, 18.5)
# Pauses are compared once the rates are known.
LEARNED_AFTER_S = 6.0
GATEWAYS, ENGINES, REQUESTS_PER_S = 23, 22, 108.0
SPEEDS = (0.6, 1.0, 1.6)
TOKENS_PER_S, STEP_S, STRIDE = 32_400.0, 0.00612, 4
MEMORY_TOKENS, SLOTS = 71_780, 64
# Load reports are sent so often, and arrive without delay.
REPORT_INTERVAL_S = 0.8
# Steps take so many times as long during a share of the time, in periods.
SLOW_FACTOR, SLOW_SHARE, SLOW_PERIOD_S = 2.5, 0.15, (0.5, 2.0)
CHOICES = 4
CACHED_SHARE, LONG_SHARE = 0.8, 29.7 / 108.3
LONG = Prompt("m", (PromptPart("p", 6300), PromptPart("o", 2890)), 9190, 13)
SHORT = Prompt("m", (PromptPart("p", 198), PromptPart("o", 628)), 826, 73)
FIGURES = Engines(("m",), memory_tokens=MEMORY_TOKENS, slots=SLOTS, stride=STRIDE)


@dataclass(eq=False)
class Run:
    """Hold a run at an engine, and the streams that ran there when it arrived."""

    prompt: Prompt
    left_tokens: int
    born_at: float
    measurement: EngineMeasurement
    pause_s: float
    victims: tuple[Run, ...]
    done_tokens: int = 0
    last_at: float | None = None
    gaps: list[tuple[float, float]] = field(default_factory=list)


@dataclass(eq=False)
class Engine:
    """Hold an engine that reads short prompts first, in chunks between its steps."""

    name: str
    speed: float
    unread: list[Run] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    is_busy: bool = False
    slow_until: float = 0.0


class Gateway:
    """Hold what the measured code asks of the state of a gateway."""

    def __init__(self, number: int) -> None:
        self.node = f"n{number}"
        self.sequence = itertools.count(1)
        self.load = Load()
        self.parts = EndpointParts()
        self.engine_states = EngineStates()
        self.table = SimpleNamespace(services_by_name={"s": Service("s", FIGURES)})


class Simulation:
    """Run all gateways and engines in virtual time."""

    def __init__(self, seed: int, has_slow_periods: bool) -> None:
        self.now = 0.0
        self.sent_bytes = 0
        self.estimates: list[str] = []
        # By speed: the predicted pause of a long prompt and the longest gap then.
        self.pauses: dict[float, list[tuple[float, float]]] = defaultdict(list)
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._gateways = [Gateway(number) for number in range(GATEWAYS)]
        self._engines = [
            Engine(f"e{number}@1", SPEEDS[number % len(SPEEDS)])
            for number in range(ENGINES)
        ]
        self._at(0.0, self._arrive)
        for gateway in self._gateways:
            self._at(self._rng.random() * REPORT_INTERVAL_S, self._report, gateway)
        for engine in self._engines if has_slow_periods else ():
            self._at(self._rng.random() * 8.0, self._begin_slow_period, engine)
        for at in REPORTED_AT_S:
            self._at(at, self._estimate)

    def run(self) -> None:
        """Process the events of the whole duration."""
        while self._events[0][0] < DURATION_S:
            self.now, _, handle, arguments = heapq.heappop(self._events)
            handle(*arguments)

    def _at(self, at: float, handle: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._order), handle, arguments))

    def _arrive(self) -> None:
        rng = self._rng
        self._at(self.now + rng.expovariate(REQUESTS_PER_S), self._arrive)
        gateway: Any = rng.choice(self._gateways)
        prompt = LONG if rng.random() < LONG_SHARE else SHORT
        sizes = run_sizes(prompt)
        missing = prompt.prompt_tokens
        if rng.random() < CACHED_SHARE:
            missing -= sizes.shared_tokens
        need = Need(missing, sizes.own_tokens, 0.4)
        rooms = [
            (room_for(need, self._state(gateway, each)), each)
            for each in rng.sample(self._engines, CHOICES)
        ]
        room, engine = min(rooms, key=lambda each: each[0].wait_s + each[0].read_s)
        request: Any = SimpleNamespace(
            envelope=SimpleNamespace(prompt=prompt), service="s"
        )
        dispatch: Any = SimpleNamespace(
            endpoint=SimpleNamespace(lifetime=engine.name, name=engine.name),
            missing_tokens=missing,
            continued_run="",
        )
        measurement = EngineMeasurement(gateway, request, dispatch, self.now)
        victims = tuple(engine.running)
        run = Run(prompt, missing, self.now, measurement, room.pause_s, victims)
        engine.unread.append(run)
        if not engine.is_busy:
            engine.is_busy = True
            self._step(engine)

    def _state(self, gateway: Any, engine: Engine) -> Any:
        return gateway.engine_states.get(gateway, FIGURES, engine.name, self.now)

    def _step(self, engine: Engine) -> None:
        engine.is_busy = bool(engine.unread or engine.running)
        if not engine.is_busy:
            return
        engine.unread.sort(key=lambda run: (run.prompt is LONG, run.born_at))
        chunk_tokens = 0
        for run in engine.unread:
            tokens = min(CHUNK_TOKENS - chunk_tokens, run.left_tokens)
            run.left_tokens -= tokens
            chunk_tokens += tokens
        factor = SLOW_FACTOR if self.now < engine.slow_until else 1.0
        took_s = factor * (STEP_S + chunk_tokens / TOKENS_PER_S) / engine.speed
        self._at(self.now + took_s, self._end_step, engine, tuple(engine.running))

    def _end_step(self, engine: Engine, running: tuple[Run, ...]) -> None:
        read = tuple(run for run in engine.unread if not run.left_tokens)
        engine.unread = [run for run in engine.unread if run.left_tokens]
        engine.running += read
        for run in running + read:
            run.done_tokens += 1
            is_last = run.done_tokens >= run.prompt.max_output_tokens
            if is_last or run.done_tokens % STRIDE == 0:
                self._send_event(engine, run)
            if is_last:
                engine.running.remove(run)
                run.measurement.tracked.end()
        self._step(engine)

    def _send_event(self, engine: Engine, run: Run) -> None:
        if run.last_at is None:
            run.measurement.note_first_event(self.now)
            # The gap that the prompt has caused may end a moment later.
            self._at(self.now + 0.3, self._compare_pause, engine, run, self.now)
        else:
            run.gaps.append((self.now, self.now - run.last_at))
        run.last_at = self.now
        run.measurement.note_events(1, self.now)

    def _compare_pause(self, engine: Engine, run: Run, read_at: float) -> None:
        gaps_s = [
            gap_s
            for victim in run.victims
            for at, gap_s in victim.gaps
            if run.born_at < at and at - gap_s < read_at
        ]
        if gaps_s and run.prompt is LONG and read_at > LEARNED_AFTER_S:
            self.pauses[engine.speed].append((run.pause_s, max(gaps_s)))

    def _begin_slow_period(self, engine: Engine) -> None:
        length_s = self._rng.uniform(*SLOW_PERIOD_S)
        engine.slow_until = self.now + length_s
        mean_pause_s = statistics.mean(SLOW_PERIOD_S) * (1 / SLOW_SHARE - 1)
        pause_s = self._rng.expovariate(1 / mean_pause_s)
        self._at(engine.slow_until + pause_s, self._begin_slow_period, engine)

    def _report(self, gateway: Gateway) -> None:
        self._at(self.now + REPORT_INTERVAL_S, self._report, gateway)
        peers = [each for each in self._gateways if each is not gateway]
        loads = gateway.load.snapshot()
        report = NodeReport(gateway.node, 1, next(gateway.sequence), True, loads)
        for peer in peers:
            peer.load.accept_report(report, self.now)
        samples = gateway.load.capacity.to_report(self.now)
        data = encode_rates(RatesReport(gateway.node, gateway.load.run_sizes, samples))
        rates = decode_rates(data)
        for peer in self._rng.sample(peers, RATES_PEERS):
            self.sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
            capacity = peer.load.capacity
            capacity.accept_report(rates.node, rates.samples_by_key, self.now)
            peer.load.accept_run_sizes(rates.node, rates.run_sizes)

    def _estimate(self) -> None:
        for speed in SPEEDS:
            rates = [
                gateway.load.capacity.rates(engine.name, self.now)
                for gateway in self._gateways
                for engine in self._engines
                if engine.speed == speed
            ]
            prefill = statistics.mean(each.prefill_tokens_per_s for each in rates)
            step_s = statistics.mean(each.step_s for each in rates)
            self.estimates.append(
                f"{self.now:5.1f} s, speed {speed}: prefill "
                f"{prefill / TOKENS_PER_S:.2f}, steps {STEP_S / step_s:.2f}"
            )


def main() -> None:
    """Print the estimated rates, and the predicted and real pauses of streams."""
    for has_slow_periods, seed in itertools.product((False, True), SEEDS):
        simulation = Simulation(seed, has_slow_periods)
        simulation.run()
        print(f"seed {seed}, slow periods: {has_slow_periods}")
        print("\n".join(simulation.estimates))
        for speed, pauses in sorted(simulation.pauses.items()):
            predicted_ms = 1000 * statistics.mean(each for each, _ in pauses)
            longest_ms = 1000 * statistics.mean(each for _, each in pauses)
            late = [each for each in pauses if each[1] > 0.4]
            foreseen = sum(predicted_s > 0.4 for predicted_s, _ in late)
            print(
                f"speed {speed}: {len(pauses)} long prompts, predicted pause "
                f"{predicted_ms:.0f} ms, longest gap {longest_ms:.0f} ms, over 400 ms "
                f"{len(late)}, of these predicted {foreseen}"
            )
        rate = simulation.sent_bytes / GATEWAYS / DURATION_S
        print(f"bytes a second and gateway: {rate:.0f}")


if __name__ == "__main__":
    main()
