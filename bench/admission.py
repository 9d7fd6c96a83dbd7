"""Measure the scheduler in virtual time, and its decisions in processor time."""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import dataclass, replace

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job, SchedulerLimits
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel, Priority
from bench.virtual_engine import Arrival, EngineModel, Outcome, VirtualEngine

SEEDS = (1, 2, 3)
DURATION_S = 600.0
ORGANISATIONS = 8
DEADLINE_S = 60.0
LONG_SHARE = 0.2
LOAD = 0.8
FLOOD = 20
SHORT_TOKENS = (100, 800)
LONG_TOKENS = (4_000, 40_000)
ANSWER_TOKENS = (16, 200)
FAIR = SchedulerLimits()
WHOLE = EngineModel(chunk_tokens=float("inf"))


@dataclass(frozen=True)
class Traffic:
    """Describe arrivals: the load and how much more the first organisation asks."""

    load: float = LOAD
    first_factor: float = 1.0
    long_share: float = LONG_SHARE


def main() -> None:
    """Print every table."""
    _report_fairness()
    _report_short_behind_long()
    _report_single_flight()
    _report_decision_time()


def make_arrivals(traffic: Traffic, seed: int) -> list[Arrival]:
    """Return Poisson arrivals of all organisations, each with its own stream."""
    mean_tokens = sum(SHORT_TOKENS) / 2 * (1 - traffic.long_share)
    mean_tokens += sum(LONG_TOKENS) / 2 * traffic.long_share
    rate = traffic.load * EngineModel().prefill_tokens_per_s / mean_tokens
    arrivals: list[Arrival] = []
    for index in range(ORGANISATIONS):
        factor = traffic.first_factor if index == 0 else 1.0
        rng = random.Random(f"{seed}-{index}")
        at = rng.expovariate(factor * rate / ORGANISATIONS)
        while at < DURATION_S:
            arrivals.append(_arrival(index, len(arrivals), at, rng, traffic))
            at += rng.expovariate(factor * rate / ORGANISATIONS)
    return sorted(arrivals, key=lambda each: each.at)


def _arrival(
    index: int, number: int, at: float, rng: random.Random, traffic: Traffic
) -> Arrival:
    is_long = rng.random() < traffic.long_share
    priority = Priority.LONG if is_long else Priority.SHORT
    tokens = rng.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
    levels = (PrefixLevel(f"{index}-{number}".encode(), tokens),)
    answer_tokens = rng.randint(*ANSWER_TOKENS)
    job = Job(
        AttemptId("bench", number),
        f"organisation-{index}",
        priority,
        at + DEADLINE_S,
        prompt_tokens=tokens,
        max_tokens=ANSWER_TOKENS[1],
        levels=levels,
    )
    return Arrival(at, job, answer_tokens)


def p95(outcomes: list[Outcome]) -> float:
    """Return the 95th percentile of the time to first token in seconds."""
    times = [each.ttft for each in outcomes if each.ttft is not None]
    return statistics.quantiles(times, n=20)[-1] if len(times) > 1 else float("nan")


def jain(values: list[float]) -> float:
    """Return Jain's index of fairness."""
    return sum(values) ** 2 / (len(values) * sum(value**2 for value in values))


def _run(
    traffic: Traffic, seed: int, limits: SchedulerLimits, model: EngineModel
) -> list[Outcome]:
    return VirtualEngine(limits, model).run(make_arrivals(traffic, seed))


def _is_short(outcome: Outcome) -> bool:
    return outcome.arrival.job.priority is Priority.SHORT


def _others(outcomes: list[Outcome]) -> list[Outcome]:
    first = "organisation-0"
    return [each for each in outcomes if each.arrival.job.organisation != first]


def _report_fairness() -> None:
    print(f"one organisation of {ORGANISATIONS} at {FLOOD} times its share,")
    print(f"load {LOAD} without it, TTFT p95 of the others in seconds")
    print("| order | engine | seed | without | with | ratio | short | long | refused |")
    for order in ("fair", "arrival"):
        for name, model in (("chunks", EngineModel()), ("whole", WHOLE)):
            for seed in SEEDS:
                _report_flood(replace(FAIR, order=order), name, model, seed)
    _report_jain()


def _report_flood(
    limits: SchedulerLimits, name: str, model: EngineModel, seed: int
) -> None:
    calm = _others(_run(Traffic(), seed, limits, model))
    flooded = _others(_run(Traffic(first_factor=FLOOD), seed, limits, model))
    ratios = [
        p95([e for e in flooded if chosen(e)]) / p95([e for e in calm if chosen(e)])
        for chosen in (lambda _: True, _is_short, lambda each: not _is_short(each))
    ]
    refused = sum(each.refusal is not None for each in flooded)
    before, after = p95(calm), p95(flooded)
    print(
        f"| {limits.order} | {name} | {seed} | {before:.2f} | {after:.2f} "
        f"| {ratios[0]:.2f} | {ratios[1]:.2f} | {ratios[2]:.2f} "
        f"| {refused}/{len(flooded)} |"
    )


def _report_jain() -> None:
    print("Jain index of served tokens, every organisation above its share")
    print("(first asks 20 times, load 2), by order and seed")
    for order in ("fair", "arrival"):
        limits = replace(FAIR, order=order)
        for seed in SEEDS:
            traffic = Traffic(load=2.0, first_factor=FLOOD)
            outcomes = _run(traffic, seed, limits, EngineModel())
            served: dict[str, float] = {}
            for each in outcomes:
                if each.first_token_at is not None and each.arrival.at < DURATION_S:
                    name = each.arrival.job.organisation
                    tokens = each.computed_tokens + each.arrival.answer_tokens
                    served[name] = served.get(name, 0.0) + tokens
            print(f"| {order} | {seed} | {jain(list(served.values())):.3f} |")


def _report_short_behind_long() -> None:
    print("short and long TTFT p95, p99 and longest wait of long, seconds")
    print("| order | engine | load | ageing | short p95 | long p95 | long max |")
    for limits in (FAIR, replace(FAIR, order="arrival")):
        for name, model in (("chunks", EngineModel()), ("whole", WHOLE)):
            for load in (0.6, 0.8, 0.95):
                _report_classes(limits, name, model, load)
    for ageing_s in (0.5, 2.0, 5.0, 10.0, float("inf")):
        limits = replace(FAIR, ageing_s=ageing_s)
        _report_classes(limits, "chunks", EngineModel(), 0.95)


def _report_classes(
    limits: SchedulerLimits, name: str, model: EngineModel, load: float
) -> None:
    runs = [_run(Traffic(load=load), seed, limits, model) for seed in SEEDS]
    shorts = [p95([e for e in outcomes if _is_short(e)]) for outcomes in runs]
    longs = [p95([e for e in outcomes if not _is_short(e)]) for outcomes in runs]
    longest = max(each.ttft or 0.0 for outcomes in runs for each in outcomes)
    print(
        f"| {limits.order} | {name} | {load} | {limits.ageing_s} "
        f"| {_span(shorts)} | {_span(longs)} | {longest:.1f} |"
    )


def _span(values: list[float]) -> str:
    return f"{min(values):.2f} to {max(values):.2f}"


def _report_single_flight() -> None:
    print("30 requests for each new 20,000-token songbook within 0.5 s, 20 songbooks")
    print("| single flight | computed tokens | needed tokens | TTFT p95 |")
    for single_flight in (True, False):
        limits = replace(FAIR, single_flight=single_flight)
        arrivals = [_reader(book, n) for book in range(20) for n in range(30)]
        needed = 20 * 20_000 + len(arrivals) * 200
        outcomes = VirtualEngine(limits, EngineModel()).run(arrivals)
        computed = sum(each.computed_tokens for each in outcomes)
        print(f"| {single_flight} | {computed} | {needed} | {p95(outcomes):.2f} |")


def _reader(book: int, number: int) -> Arrival:
    at = book * 10 + number / 60
    levels = (
        PrefixLevel(f"book-{book}".encode(), 20_000),
        PrefixLevel(f"question-{book}-{number}".encode(), 20_200),
    )
    attempt_id = AttemptId("bench", book * 100 + number)
    job = Job(
        attempt_id,
        "archive",
        Priority.LONG,
        at + DEADLINE_S,
        prompt_tokens=20_200,
        max_tokens=100,
        levels=levels,
    )
    return Arrival(at, job, 50)


def _report_decision_time() -> None:
    print("processor time of one decision, microseconds, 100 organisations")
    print("| queued | submit | start and finish | estimate |")
    for queued in (10, 100, 1_000, 10_000):
        print(f"| {queued} | {_time_decisions(queued)} |")


def _time_decisions(queued: int) -> str:
    limits = SchedulerLimits(max_queued=20_000, slots=1, single_flight=False)
    scheduler = Scheduler(limits)
    for number in range(queued + 1):
        scheduler.submit(_plain_job(number), 0.0)
    began = time.process_time()
    for number in range(200):
        scheduler.submit(_plain_job(queued + 1 + number), 0.0)
    submit = time.process_time() - began
    running = AttemptId("bench", 0)
    began = time.process_time()
    for _ in range(200):
        decisions = scheduler.finish(running, 0.0)
        running = decisions[0].attempt_id if decisions else running
    turn = time.process_time() - began
    began = time.process_time()
    for _ in range(200):
        scheduler.ttft_estimate(100, "organisation-1")
    estimate = time.process_time() - began
    return " | ".join(f"{each / 200 * 1e6:.1f}" for each in (submit, turn, estimate))


def _plain_job(number: int) -> Job:
    return Job(
        AttemptId("bench", number),
        f"organisation-{number % 100}",
        Priority(number % 2),
        1e9,
        prompt_tokens=100,
        missing_tokens=100,
    )


if __name__ == "__main__":
    main()
