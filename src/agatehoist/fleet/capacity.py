"""Measured rates of the endpoints, from the answers to this process and to its peers.

It answers fleets whose engines differ in speed, or whose speed changes: one process
sees too few answers of each engine, so the processes add up what they have measured.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.admission.rates import DecayingRatio
from agatehoist.protocol.endpoint_rates import EndpointSamples, Samples
from agatehoist.protocol.node_reports import endpoint_key

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prefill rate assumed for every engine until it has been measured.
DEFAULT_PREFILL_TOKENS_PER_S = 40_000.0
# Time of a step that reads no prompt, assumed likewise.
DEFAULT_STEP_S = 0.006
# Measured times correct the assumed ones within these bounds.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
# Weight of the assumed rate, in seconds of assumed work. Where peers report rates, a
# smaller weight lets them tell a slow engine after a second or two.
INITIAL_SLOWNESS_WEIGHT_S = 0.5
SHARED_SLOWNESS_WEIGHT_S = 0.2
# Shared samples lose half of their weight in this time, so that an engine without news
# returns to the assumed rate.
HALF_LIFE_S = 8.0
# Adding up the samples of all peers for each request would be slow in a large fleet.
RATES_MAX_AGE_S = 0.1
# A longer step has read a prompt that this process doesn't know of, or its run was
# preempted. An engine that has got slower is followed in several samples.
MAX_STEP_RATIO = 3.0
# Share of the answers that may take longer than the noise states.
NOISE_QUANTILE = 0.9
MAX_NOISE_SAMPLES = 128
MIN_NOISE_SAMPLES = 10
MAX_NOISE = 3.0
# In shorter times, the step that is under way when a prompt arrives weighs too much.
MIN_NOISE_SAMPLE_S = 0.05
# The wait for less work consists mostly of other delays.
MIN_SAMPLE_S = 0.02
# Samples of less weight don't change a rate noticeably and aren't reported.
MIN_REPORTED_S = 0.02
# Of one process for one endpoint; a report from a faulty peer must not outweigh all.
MAX_PEER_WEIGHT_S = 20.0
# Older samples have lost nearly all of their weight.
PEER_RETENTION_S = 60.0
# Beyond this number, the endpoint without a report for the longest time is forgotten.
MAX_REPORTED_ENDPOINTS = 4096


@dataclass(frozen=True, slots=True)
class Rates:
    """Hold the rates of an endpoint.

    `noise` is the factor by which one answer in ten takes longer than expected.
    """

    prefill_tokens_per_s: float
    step_s: float
    noise: float


class _Measured:
    """Hold what this process has measured of an endpoint."""

    def __init__(self, is_shared: bool, now: float) -> None:
        weight_s = SHARED_SLOWNESS_WEIGHT_S if is_shared else INITIAL_SLOWNESS_WEIGHT_S
        self.is_shared = is_shared
        self.prefill = DecayingRatio(1.0, weight_s)
        self.step = DecayingRatio(1.0, weight_s)
        self._faded_at = now

    def fade(self, now: float) -> None:
        """Reduce the weight of shared samples to that at an epoch time."""
        if self.is_shared and now > self._faded_at:
            keep = _kept_share(now - self._faded_at)
            self.prefill.fade(keep)
            self.step.fade(keep)
            self._faded_at = now

    @property
    def samples(self) -> EndpointSamples:
        return EndpointSamples(Samples(*self.prefill.added), Samples(*self.step.added))


@dataclass(frozen=True, slots=True)
class _PeerSamples:
    samples: EndpointSamples
    at: float


class Capacity:
    """Track the rates of the endpoints; times are in epoch seconds.

    Of endpoints whose configuration states no figures, samples neither age nor come
    from peers.
    """

    def __init__(self) -> None:
        self._measured_by_lifetime: dict[str, _Measured] = {}
        self._peers_by_key: dict[bytes, dict[str, _PeerSamples]] = {}
        self._rates_by_lifetime: dict[str, tuple[float, Rates]] = {}
        self._noise_samples: deque[float] = deque(maxlen=MAX_NOISE_SAMPLES)
        self._slowest = 1.0
        self._slowest_at = -math.inf

    def learn_first_event(
        self,
        lifetime: str,
        assumed_s: float,
        measured_s: float,
        now: float = 0.0,
        is_shared: bool = False,
    ) -> None:
        """Compare a time to read prompts with the one by the assumed rate."""
        if is_shared and assumed_s < MIN_SAMPLE_S:
            return
        measured_s = max(0.0, measured_s)
        if is_shared and assumed_s >= MIN_NOISE_SAMPLE_S:
            expected_s = assumed_s * self.slowness(lifetime, now)
            self._noise_samples.append(measured_s / expected_s)
        measured = self._measured(lifetime, now, is_shared)
        measured.prefill.add(measured_s, assumed_s)

    def learn_steps(
        self, lifetime: str, count: int, measured_s: float, now: float
    ) -> None:
        """Add the time of steps in which the endpoint read no prompt."""
        longest_s = MAX_STEP_RATIO * count * self.rates(lifetime, now).step_s
        measured = self._measured(lifetime, now, is_shared=True)
        measured.step.add(min(measured_s, longest_s), count * DEFAULT_STEP_S)

    def slowness(self, lifetime: str, now: float) -> float:
        """Return how many times as long as assumed an endpoint takes for prompts."""
        measured = self._measured_by_lifetime.get(lifetime)
        if measured is not None and not measured.is_shared:
            return _bounded(measured.prefill.value)
        rates = self.rates(lifetime, now)
        return DEFAULT_PREFILL_TOKENS_PER_S / rates.prefill_tokens_per_s

    def rates(self, lifetime: str, now: float) -> Rates:
        """Return the rates of an endpoint, as of a moment ago."""
        known = self._rates_by_lifetime.get(lifetime)
        if known is not None and known[0] <= now < known[0] + RATES_MAX_AGE_S:
            return known[1]
        rates = self._compute(lifetime, now)
        self._rates_by_lifetime[lifetime] = (now, rates)
        return rates

    def is_measured(self, lifetime: str) -> bool:
        """Return whether this process or a peer has told samples that are shared."""
        measured = self._measured_by_lifetime.get(lifetime)
        is_own = measured is not None and measured.is_shared
        return is_own or endpoint_key(lifetime) in self._peers_by_key

    def slowest(self, now: float) -> float:
        """Return the slowness of the slowest endpoint, as of a moment ago."""
        if not self._slowest_at <= now < self._slowest_at + RATES_MAX_AGE_S:
            lifetimes = tuple(self._measured_by_lifetime)
            slowness = (self.slowness(each, now) for each in lifetimes)
            self._slowest = max(slowness, default=1.0)
            self._slowest_at = now
        return self._slowest

    def to_report(self, now: float) -> dict[bytes, EndpointSamples]:
        """Return the samples of this process that peers may use."""
        found: dict[bytes, EndpointSamples] = {}
        for lifetime, measured in self._measured_by_lifetime.items():
            measured.fade(now)
            samples = measured.samples
            if measured.is_shared and samples.weight_s >= MIN_REPORTED_S:
                found[endpoint_key(lifetime)] = samples
        return found

    def accept_report(
        self, node: str, samples_by_key: dict[bytes, EndpointSamples], now: float
    ) -> None:
        """Replace what a peer has measured."""
        for key, samples in samples_by_key.items():
            by_node = self._peers_by_key.pop(key, {})
            by_node[node] = _PeerSamples(samples, now)
            self._peers_by_key[key] = {
                peer: each
                for peer, each in by_node.items()
                if now <= each.at + PEER_RETENTION_S
            }
        while len(self._peers_by_key) > MAX_REPORTED_ENDPOINTS:
            del self._peers_by_key[next(iter(self._peers_by_key))]

    def forget(self, lifetime: str) -> None:
        """Drop what is known of an endpoint that has ended."""
        self._measured_by_lifetime.pop(lifetime, None)
        self._rates_by_lifetime.pop(lifetime, None)
        self._peers_by_key.pop(endpoint_key(lifetime), None)

    def _measured(self, lifetime: str, now: float, is_shared: bool) -> _Measured:
        measured = self._measured_by_lifetime.get(lifetime)
        if measured is None or measured.is_shared != is_shared:
            measured = _Measured(is_shared, now)
            self._measured_by_lifetime[lifetime] = measured
        measured.fade(now)
        self._rates_by_lifetime.pop(lifetime, None)
        return measured

    def _compute(self, lifetime: str, now: float) -> Rates:
        measured = self._measured_by_lifetime.get(lifetime) or _Measured(True, now)
        measured.fade(now)
        own = measured.samples
        peers = tuple(self._peer_samples(lifetime, now))
        prefill = [own.prefill, *(each.prefill for each in peers)]
        step = [own.step, *(each.step for each in peers)]
        step_slowness = _combined(step, 1.0)
        # Steps are measured far more often, and a slow engine is mostly slow in both.
        prefill_slowness = _combined(prefill, step_slowness)
        return Rates(
            DEFAULT_PREFILL_TOKENS_PER_S / prefill_slowness,
            DEFAULT_STEP_S * step_slowness,
            self._noise(),
        )

    def _peer_samples(self, lifetime: str, now: float) -> Iterable[EndpointSamples]:
        for each in self._peers_by_key.get(endpoint_key(lifetime), {}).values():
            keep = _kept_share(now - each.at)
            yield EndpointSamples(
                _scaled(each.samples.prefill, keep), _scaled(each.samples.step, keep)
            )

    def _noise(self) -> float:
        count = len(self._noise_samples)
        if count < MIN_NOISE_SAMPLES:
            return 1.0
        index = min(count - 1, int(NOISE_QUANTILE * count))
        return min(MAX_NOISE, max(1.0, sorted(self._noise_samples)[index]))


def _combined(samples: Iterable[Samples], assumed: float) -> float:
    """Return the mean slowness by weight, of the samples and the assumed one."""
    assumed_s = SHARED_SLOWNESS_WEIGHT_S
    measured_s = assumed * assumed_s
    for each in samples:
        measured_s += each.measured_s
        assumed_s += each.assumed_s
    return _bounded(measured_s / assumed_s)


def _bounded(slowness: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def _scaled(samples: Samples, keep: float) -> Samples:
    factor = keep
    if samples.assumed_s > MAX_PEER_WEIGHT_S:
        factor *= MAX_PEER_WEIGHT_S / samples.assumed_s
    return Samples(samples.measured_s * factor, samples.assumed_s * factor)


def _kept_share(age_s: float) -> float:
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
