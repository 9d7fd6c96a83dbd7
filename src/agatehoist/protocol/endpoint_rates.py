"""Datagrams in which gateways tell each other the measured rates of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

from agatehoist.core.document_reader import describe
from agatehoist.core.numbers import checked_integer
from agatehoist.protocol.datagrams import ENDPOINT_RATES
from agatehoist.protocol.decoding import bad_frames
from agatehoist.protocol.node_reports import checked_key, checked_name

# With more endpoints, a datagram would take much of the bytes that a gateway may send
# to its peers; those with the most samples are reported.
MAX_ENDPOINTS = 32
# Times are sent in hundredths of a second, ratios in hundredths.
UNITS_PER_S = 100
UNITS_PER_RATIO = 100
MAX_WEIGHT_S = 600.0
MAX_RATIO = 100.0
MAX_RUN_TOKENS = 1 << 24


@dataclass(frozen=True, slots=True)
class Samples:
    """Add up measured times, and the times of the same work at assumed rates."""

    measured_s: float = 0.0
    assumed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointSamples:
    """Hold the samples of reading prompts and of steps that read none."""

    prefill: Samples = Samples()
    step: Samples = Samples()

    @property
    def weight_s(self) -> float:
        """Return how much assumed work was measured."""
        return self.prefill.assumed_s + self.step.assumed_s


@dataclass(frozen=True, slots=True)
class RunSizes:
    """Hold the mean tokens of a run: its own ones with its output, and shared ones."""

    own_tokens: int = 0
    shared_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RatesReport:
    """Hold what a node has measured of the endpoints, and the mean size of its runs."""

    node: str
    run_sizes: RunSizes
    samples_by_key: dict[bytes, EndpointSamples]


def encode_rates(report: RatesReport) -> bytes:
    """Encode a report, with the most measured endpoints if there are too many."""
    most_measured = sorted(
        report.samples_by_key.items(), key=lambda item: item[1].weight_s, reverse=True
    )
    entries = [
        [key, *_encode_samples(each.prefill), *_encode_samples(each.step)]
        for key, each in most_measured[:MAX_ENDPOINTS]
    ]
    sizes = [report.run_sizes.own_tokens, report.run_sizes.shared_tokens]
    data: bytes = msgpack.packb([ENDPOINT_RATES, report.node, *sizes, entries])
    return data


def decode_rates(data: bytes) -> RatesReport:
    """Decode the report in a datagram.

    Raises BadFrameError.
    """
    with bad_frames("endpoint rates"):
        kind, node, own_tokens, shared_tokens, entries = msgpack.unpackb(data)
        if kind != ENDPOINT_RATES or len(entries) > MAX_ENDPOINTS:
            raise ValueError(f"unexpected kind or length: {describe(kind)}")
        return RatesReport(
            checked_name(node),
            RunSizes(
                _checked(own_tokens, MAX_RUN_TOKENS),
                _checked(shared_tokens, MAX_RUN_TOKENS),
            ),
            dict(_decode_entry(*each) for each in entries),
        )


def _encode_samples(samples: Samples) -> tuple[int, int]:
    weight = round(min(MAX_WEIGHT_S, samples.assumed_s) * UNITS_PER_S)
    if not weight:
        return 0, 0
    ratio = min(MAX_RATIO, samples.measured_s / samples.assumed_s)
    return weight, round(ratio * UNITS_PER_RATIO)


def _decode_entry(
    key: Any, weight: Any, ratio: Any, step_weight: Any, step_ratio: Any
) -> tuple[bytes, EndpointSamples]:
    samples = EndpointSamples(
        _decode_samples(weight, ratio), _decode_samples(step_weight, step_ratio)
    )
    return checked_key(key), samples


def _decode_samples(weight: Any, ratio: Any) -> Samples:
    assumed_s = _checked(weight, round(MAX_WEIGHT_S * UNITS_PER_S)) / UNITS_PER_S
    slowness = _checked(ratio, round(MAX_RATIO * UNITS_PER_RATIO)) / UNITS_PER_RATIO
    return Samples(assumed_s * slowness, assumed_s)


def _checked(value: object, maximum: int) -> int:
    number = checked_integer(value, maximum)
    if number is None:
        raise ValueError(f"number is out of range: {describe(value)}")
    return number
