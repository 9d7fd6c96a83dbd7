"""Simulate the admission scheduler and measure the processor time of its decisions."""

from __future__ import annotations

import random
import statistics
import time
from dataclasses import dataclass, replace

from agatehoist.admission.scheduler import Scheduler
from agatehoist.admission.types import Job, SchedulerLimits
from agatehoist.core.identity import AttemptId
from agatehoist.core.work import PrefixLevel, Priority
from agatehoist.limits.bounds import PartitionFaults, admitted_bound
from agatehoist.limits.lease_issuer import LeaseIssuer
from agatehoist.limits.router_leases import LeaseNeeded, RouterLeases
from agatehoist.limits.types import Admit, Amount, Ceiling, LeaseRequestBody
from bench.virtual_engine import Arrival, EngineModel, Outcome, VirtualEngine

SEEDS = (1, 2, 3)
DURATION_S = 1200.0
ORGANISATION_COUNT = 8
DEADLINE_S = 60.0
LONG_SHARE = 0.2
BASE_LOAD = 0.8
# The first organisation sends so many times its share of the requests.
FLOOD_FACTOR = 20
SHORT_PROMPT_TOKENS = (100, 800)
LONG_PROMPT_TOKENS = (4_000, 40_000)
ANSWER_TOKENS = (16, 200)
FAIR_LIMITS = SchedulerLimits()
# Computes each prefill as one chunk; the tables list it as "whole".
UNCHUNKED_ENGINE = EngineModel(chunk_tokens=float("inf"))


@dataclass(frozen=True)
class Traffic:
    """Describe the arrivals of all organisations.

    load is the share of the engine's prefill capacity that they ask for, and
    first_organisation_factor multiplies the request rate of organisation-0 only.
    """

    load: float = BASE_LOAD
    first_organisation_factor: float = 1.0
    long_share: float = LONG_SHARE


def main() -> None:
    """Print every table."""
    _report_fairness()
    _report_priority_classes()
    _report_estimates()
    _report_single_flight()
    _report_decision_time()
    _report_overshoot()


def make_arrivals(traffic: Traffic, seed: int) -> list[Arrival]:
    """Return Poisson arrivals; each organisation has its own random stream."""
    mean_tokens = sum(SHORT_PROMPT_TOKENS) / 2 * (1 - traffic.long_share)
    mean_tokens += sum(LONG_PROMPT_TOKENS) / 2 * traffic.long_share
    arrivals_per_s = traffic.load * EngineModel().prefill_tokens_per_s / mean_tokens
    arrivals: list[Arrival] = []
    for index in range(ORGANISATION_COUNT):
        factor = traffic.first_organisation_factor if index == 0 else 1.0
        rng = random.Random(f"{seed}-{index}")
        arrives_at = rng.expovariate(factor * arrivals_per_s / ORGANISATION_COUNT)
        while arrives_at < DURATION_S:
            arrivals.append(
                _make_arrival(index, len(arrivals), arrives_at, rng, traffic)
            )
            arrives_at += rng.expovariate(factor * arrivals_per_s / ORGANISATION_COUNT)
    return sorted(arrivals, key=lambda each: each.arrives_at)


def _make_arrival(
    index: int, number: int, arrives_at: float, rng: random.Random, traffic: Traffic
) -> Arrival:
    is_long = rng.random() < traffic.long_share
    priority = Priority.LONG if is_long else Priority.SHORT
    tokens = rng.randint(*(LONG_PROMPT_TOKENS if is_long else SHORT_PROMPT_TOKENS))
    levels = (PrefixLevel(f"{index}-{number}".encode(), tokens),)
    answer_tokens = rng.randint(*ANSWER_TOKENS)
    job = Job(
        AttemptId("bench", number),
        f"organisation-{index}",
        priority,
        arrives_at + DEADLINE_S,
        prompt_tokens=tokens,
        max_tokens=ANSWER_TOKENS[1],
        levels=levels,
    )
    return Arrival(arrives_at, job, answer_tokens)


def p95(outcomes: list[Outcome]) -> float:
    """Return the 95th percentile of the time to first token in seconds."""
    ttfts = [each.ttft for each in outcomes if each.ttft is not None]
    return statistics.quantiles(ttfts, n=20)[-1] if len(ttfts) > 1 else float("nan")


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index, which is 1 for equal values."""
    return sum(values) ** 2 / (len(values) * sum(value**2 for value in values))


def _simulate(
    traffic: Traffic, seed: int, limits: SchedulerLimits, model: EngineModel
) -> list[Outcome]:
    return VirtualEngine(limits, model).run(make_arrivals(traffic, seed))


def _is_short(outcome: Outcome) -> bool:
    return outcome.arrival.job.priority is Priority.SHORT


def _other_organisations(outcomes: list[Outcome]) -> list[Outcome]:
    first = "organisation-0"
    return [each for each in outcomes if each.arrival.job.organisation != first]


def _report_fairness() -> None:
    print(
        f"one organisation of {ORGANISATION_COUNT} at {FLOOD_FACTOR} times its share,"
    )
    print(f"load {BASE_LOAD} without it, TTFT p95 of the others in seconds")
    print("| order | engine | seed | without | with | ratio | short | long | refused |")
    for seed in SEEDS:
        _report_flood_row(FAIR_LIMITS, "chunks", EngineModel(), (seed,))
    _report_flood_row(FAIR_LIMITS, "chunks", EngineModel(), SEEDS)
    _report_flood_row(FAIR_LIMITS, "whole", UNCHUNKED_ENGINE, SEEDS)
    _report_flood_row(
        replace(FAIR_LIMITS, idle_credit_tokens=0.0), "chunks", EngineModel(), SEEDS
    )
    _report_flood_row(
        replace(FAIR_LIMITS, order="arrival"), "chunks", EngineModel(), (1,)
    )
    _report_jain()


def _report_flood_row(
    limits: SchedulerLimits, name: str, model: EngineModel, seeds: tuple[int, ...]
) -> None:
    baseline: list[Outcome] = []
    flooded: list[Outcome] = []
    for seed in seeds:
        baseline += _other_organisations(_simulate(Traffic(), seed, limits, model))
        flooded += _other_organisations(
            _simulate(
                Traffic(first_organisation_factor=FLOOD_FACTOR), seed, limits, model
            )
        )
    ratios = [
        p95([e for e in flooded if selected(e)])
        / p95([e for e in baseline if selected(e)])
        for selected in (lambda _: True, _is_short, lambda each: not _is_short(each))
    ]
    refused = sum(each.refusal is not None for each in flooded)
    baseline_p95_s, flooded_p95_s = p95(baseline), p95(flooded)
    seed_list = ", ".join(str(seed) for seed in seeds)
    print(
        f"| {limits.order} | {name} | {seed_list} "
        f"| {baseline_p95_s:.2f} | {flooded_p95_s:.2f} "
        f"| {ratios[0]:.2f} | {ratios[1]:.2f} | {ratios[2]:.2f} "
        f"| {refused}/{len(flooded)} |"
    )


def _report_jain() -> None:
    print("Jain index of served tokens at load 2, the first asks 20 times its share")
    for order in ("fair", "arrival"):
        limits = replace(FAIR_LIMITS, order=order)
        traffic = Traffic(load=2.0, first_organisation_factor=FLOOD_FACTOR)
        outcomes = _simulate(traffic, SEEDS[0], limits, EngineModel())
        served: dict[str, float] = {}
        for each in outcomes:
            if each.first_token_at is not None:
                name = each.arrival.job.organisation
                tokens = each.computed_tokens + each.arrival.answer_tokens
                served[name] = served.get(name, 0.0) + tokens
        print(f"| {order} | {jain_index(list(served.values())):.3f} |")


def _report_priority_classes() -> None:
    print("TTFT p95 of short and long work and the longest, in seconds")
    print("| order | engine | load | ageing | short p95 | long p95 | longest |")
    for load in (0.6, 0.8, 0.95):
        _report_class_row(FAIR_LIMITS, "chunks", EngineModel(), load)
    _report_class_row(FAIR_LIMITS, "whole", UNCHUNKED_ENGINE, 0.8)
    _report_class_row(
        replace(FAIR_LIMITS, order="arrival"), "chunks", EngineModel(), 0.8
    )
    for ageing_s in (2.0, 10.0, float("inf")):
        limits = replace(FAIR_LIMITS, ageing_s=ageing_s)
        _report_class_row(limits, "chunks", EngineModel(), 0.95)


def _report_class_row(
    limits: SchedulerLimits, name: str, model: EngineModel, load: float
) -> None:
    runs = [_simulate(Traffic(load=load), seed, limits, model) for seed in SEEDS]
    short_p95s_s = [p95([e for e in outcomes if _is_short(e)]) for outcomes in runs]
    long_p95s_s = [p95([e for e in outcomes if not _is_short(e)]) for outcomes in runs]
    longest_ttft_s = max(each.ttft or 0.0 for outcomes in runs for each in outcomes)
    print(
        f"| {limits.order} | {name} | {load} | {limits.ageing_s} "
        f"| {_format_range(short_p95s_s)} | {_format_range(long_p95s_s)} "
        f"| {longest_ttft_s:.1f} |"
    )


def _format_range(values: list[float]) -> str:
    return f"{min(values):.2f} to {max(values):.2f}"


def _report_estimates() -> None:
    print("TTFT less its estimate on arrival, in seconds, by load and class")
    print("| load | class | p5 | p50 | p95 |")
    for load in (0.6, 0.8, 0.95):
        outcomes = _simulate(Traffic(load=load), SEEDS[0], FAIR_LIMITS, EngineModel())
        for name, short in (("short", True), ("long", False)):
            errors_s = [
                each.ttft - each.ttft_estimate
                for each in outcomes
                if each.ttft is not None and _is_short(each) is short
            ]
            quantiles_s = statistics.quantiles(errors_s, n=20)
            print(
                f"| {load} | {name} | {quantiles_s[0]:.2f} "
                f"| {quantiles_s[9]:.2f} | {quantiles_s[-1]:.2f} |"
            )


def _report_single_flight() -> None:
    print("30 requests for each new 20,000-token songbook within 0.5 s, 20 songbooks")
    print("| single flight | long prefills | computed | needed | TTFT p95 |")
    for single_flight, slots in ((True, 4), (False, 4), (True, 1), (False, 1)):
        limits = replace(
            FAIR_LIMITS, single_flight=single_flight, long_prefill_slots=slots
        )
        arrivals = [
            _make_songbook_arrival(book, n) for book in range(20) for n in range(30)
        ]
        needed = 20 * 20_000 + len(arrivals) * 200
        outcomes = VirtualEngine(limits, EngineModel()).run(arrivals)
        computed = sum(each.computed_tokens for each in outcomes)
        print(
            f"| {single_flight} | {slots} | {computed} | {needed} "
            f"| {p95(outcomes):.2f} |"
        )


def _make_songbook_arrival(book: int, number: int) -> Arrival:
    arrives_at = book * 10 + number / 60
    levels = (
        PrefixLevel(f"book-{book}".encode(), 20_000),
        PrefixLevel(f"question-{book}-{number}".encode(), 20_200),
    )
    attempt_id = AttemptId("bench", book * 100 + number)
    job = Job(
        attempt_id,
        "archive",
        Priority.LONG,
        arrives_at + DEADLINE_S,
        prompt_tokens=20_200,
        max_tokens=100,
        levels=levels,
    )
    return Arrival(arrives_at, job, 50)


def _report_decision_time() -> None:
    print("processor time of one decision, microseconds")
    print("| queued | organisations | submit | finish and start | estimate |")
    for organisations in (8, 100):
        for queued in (10, 100, 1_000, 10_000):
            times = _time_decisions(queued, organisations)
            print(f"| {queued} | {organisations} | {times} |")


def _time_decisions(queued: int, organisations: int) -> str:
    limits = SchedulerLimits(max_queued=20_000, slots=1, single_flight=False)
    scheduler = Scheduler(limits)
    for number in range(queued + 1):
        scheduler.submit(_make_job(number, organisations), 0.0)
    started_at = time.process_time()
    for number in range(200):
        scheduler.submit(_make_job(queued + 1 + number, organisations), 0.0)
    submit = time.process_time() - started_at
    running = AttemptId("bench", 0)
    started_at = time.process_time()
    for _ in range(200):
        decisions = scheduler.finish(running, 0.0)
        running = decisions[0].attempt_id if decisions else running
    finish_and_start = time.process_time() - started_at
    started_at = time.process_time()
    for _ in range(200):
        scheduler.ttft_estimate(100, "organisation-1")
    estimate = time.process_time() - started_at
    return " | ".join(
        f"{each / 200 * 1e6:.1f}" for each in (submit, finish_and_start, estimate)
    )


def _make_job(number: int, organisations: int) -> Job:
    return Job(
        AttemptId("bench", number),
        f"organisation-{number % organisations}",
        Priority(number % 2),
        1e9,
        prompt_tokens=100,
        missing_tokens=100,
    )


def _report_overshoot() -> None:
    print("requests passed in 60 s under a ceiling of 10/s, flood on 8 routers")
    print("| cut off | homes | passed | bound |")
    for cut_off, homes in ((0, 1), (4, 1), (8, 1), (0, 2), (4, 2)):
        admitted, bound = _simulate_ceiling_flood(cut_off, homes)
        print(f"| {cut_off} | {homes} | {admitted} | {bound:.0f} |")


def _simulate_ceiling_flood(cut_off: int, issuer_count: int) -> tuple[int, float]:
    # A home is a host that issues the leases of an organisation. The run takes 60 s in
    # steps of 10 ms; after 3 s some routers can't reach their home.
    ceiling = Ceiling(requests_per_s=10.0)
    cost = Amount(1.0)
    issuers = [LeaseIssuer() for _ in range(issuer_count)]
    routers = [RouterLeases() for _ in range(8)]
    rng = random.Random(1)
    admitted = 0
    for tick in range(6_000):
        now = tick / 100
        index = rng.randrange(len(routers))
        verdict = routers[index].admit("o", ceiling, cost, now)
        if isinstance(verdict, LeaseNeeded):
            issuer = issuers[index % issuer_count]
            lease_request = LeaseRequestBody(
                str(index),
                "o",
                1,
                ceiling,
                verdict.need,
                verdict.wish,
                verdict.returned,
            )
            if index < cut_off and now > 3:
                verdict = routers[index].admit_without_home("o", ceiling, cost, now)
            else:
                grant = issuer.lease(lease_request, now)
                verdict = routers[index].grant("o", cost, verdict, grant, now)
        admitted += isinstance(verdict, Admit)
    faults = PartitionFaults(
        homes=issuer_count, cut_off=cut_off, sharers=8 // issuer_count
    )
    return admitted, admitted_bound(10.0, 60.0, 1.0, faults)


if __name__ == "__main__":
    main()
