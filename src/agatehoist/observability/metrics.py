"""Metrics that the processes export."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge, Histogram

# 0.79 s is the default objective for the time to first token.
LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.79, 1.5, 3.0, 6.0, 12.0]

TTFT_SECONDS = Histogram(
    "agatehoist_ttft_seconds", "Time to first token.", buckets=LATENCY_BUCKETS_S
)
# Gap objectives are some hundred milliseconds.
GAP_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0]
# `stage` says whether the gap is that of the events as received or as passed on.
LONGEST_GAP_SECONDS = Histogram(
    "agatehoist_longest_gap_seconds",
    "Longest time between events of a stream, by route and stage.",
    buckets=GAP_BUCKETS_S,
)
REQUEST_SECONDS = Histogram(
    "agatehoist_request_seconds",
    "Time from a request's head to the end of its answer, by route and outcome.",
    buckets=LATENCY_BUCKETS_S,
)
HIT_TOKENS = Counter("agatehoist_hit_tokens_total", "Prompt tokens found cached.")
# Prompt tokens not found cached, whether or not they were computed before.
RECOMPUTED_TOKENS = Counter(
    "agatehoist_recomputed_tokens_total", "Prompt tokens computed."
)
# `run` says whether the refused request ran.
REFUSALS_TOTAL = Counter("agatehoist_refusals_total", "Refusals by code and run.")
OUTCOMES_TOTAL = Counter("agatehoist_outcomes_total", "Requests by outcome.")
# Requests read whole whose connection ended without a complete reply.
UNANSWERED_REQUESTS_TOTAL = Counter(
    "agatehoist_unanswered_requests_total", "Requests that got no reply, by cause."
)
# Connections of callers beyond what the machine allows: idle ones, ones whose request
# was slow to arrive, and new ones that were refused.
CLOSED_CONNECTIONS_TOTAL = Counter(
    "agatehoist_closed_connections_total", "Connections closed for lack of room."
)
# Replies that were cut off as too much was held for callers that read slowly.
CUT_SLOW_READERS_TOTAL = Counter(
    "agatehoist_cut_slow_readers_total", "Replies cut as their callers read slowly."
)
# Requests that were refused before they were read whole.
UNREAD_REQUESTS_TOTAL = Counter(
    "agatehoist_unread_requests_total", "Requests refused unread, by status."
)
PLATFORM_CALLS_TOTAL = Counter(
    "agatehoist_platform_calls_total", "Calls of the platform by purpose and outcome."
)
# Frames of an answer that are late, repeated, malformed or follow a gap.
DROPPED_FRAMES_TOTAL = Counter(
    "agatehoist_dropped_frames_total", "Frames left out of an answer, by fault."
)
# Attempts of a request after its first one.
RETRIES_TOTAL = Counter("agatehoist_retries_total", "Dispatches after the first.")
# Answers read again from a token on.
RESUMES_TOTAL = Counter("agatehoist_resumes_total", "Answers read again, by cause.")
# `outcome` is how the software version was found, or the code of the refusal.
RESUMED_STREAMS_TOTAL = Counter(
    "agatehoist_resumed_streams_total", "Streams that callers resume, by outcome."
)
# `need` is soon or at once, see software.origins.
JOURNALED_STREAMS_TOTAL = Counter(
    "agatehoist_journaled_streams_total",
    "Streams whose software version was journaled, by need.",
)
# Calls with an idempotency key, by the state of the key's claim.
CLAIMS_TOTAL = Counter("agatehoist_claims_total", "Keyed calls by what they found.")
# Answers in which an endpoint names a limit, says that it leaves or asks for time.
ENDPOINT_STATEMENTS_TOTAL = Counter(
    "agatehoist_endpoint_statements_total", "Statements of endpoints, by service."
)
# Permits asked for requests to endpoints with a limit.
PERMITS_TOTAL = Counter("agatehoist_permits_total", "Permits asked for, by outcome.")
# `by` says what decided: a lease, a home or the local share, or the end of a request
# that hasn't run.
ALLOTMENT_DECISIONS_TOTAL = Counter(
    "agatehoist_allotment_decisions_total", "Requests charged, refused and returned."
)
# Requests that had no answer yet when their endpoint crashed.
ENDPOINT_CRASHES_TOTAL = Counter(
    "agatehoist_endpoint_crashes_total", "Requests lost in a crash before an answer."
)
# Rejections and waits that don't count against an endpoint, as it is full.
EXPLAINED_FAILURES_TOTAL = Counter(
    "agatehoist_explained_failures_total", "Failures that full endpoints explain."
)
QUARANTINES_TOTAL = Counter(
    "agatehoist_quarantines_total", "Changes to the quarantined prompt parts."
)
# Replies dropped as the process held too many bytes of replies.
EVICTED_REPLIES_TOTAL = Counter(
    "agatehoist_evicted_replies_total", "Replies dropped for lack of room."
)
# Replies that state other weights than the request expected.
UNEXPECTED_WEIGHTS_TOTAL = Counter(
    "agatehoist_unexpected_weights_total", "Replies made on other weights."
)
# Runs taken back as they might have begun on overdue weights.
WITHDRAWN_FOR_WEIGHTS_TOTAL = Counter(
    "agatehoist_withdrawn_for_weights_total", "Runs taken back from old weights."
)
# Records of shares that came into force, written here or by another gateway.
SHARE_CHANGES_TOTAL = Counter(
    "agatehoist_share_changes_total", "Changes of the shares of software versions."
)
# `source` is memory, fetch or read (computed), as far as this process knows.
SHARED_TOKENS_TOTAL = Counter(
    "agatehoist_shared_tokens_total", "Shared prompt tokens sent, by expected source."
)
# `kind` is requests for their bodies and answers, kv for fetched KV cache.
DATA_CENTRE_BYTES_TOTAL = Counter(
    "agatehoist_data_centre_bytes_total", "Bytes between data centres, by kind."
)
SPILL_SHARE = Gauge(
    "agatehoist_spill_share", "Share of requests that leave the data centre."
)
CONFIGURATION_REVISION = Gauge(
    "agatehoist_configuration_revision", "Revision in force."
)
# Gossip exchanges.
EXCHANGES_TOTAL = Counter(
    "agatehoist_exchanges_total", "Exchanges with peers by outcome."
)
# A job is an attempt in the scheduler of a sidecar.
QUEUED_JOBS = Gauge("agatehoist_queued_jobs", "Work that waits for its turn.")
RUNNING_JOBS = Gauge("agatehoist_running_jobs", "Work that holds a slot.")
IN_FLIGHT = Gauge("agatehoist_in_flight", "Requests in flight.")

__all__ = [
    "ALLOTMENT_DECISIONS_TOTAL",
    "CLAIMS_TOTAL",
    "CLOSED_CONNECTIONS_TOTAL",
    "CONFIGURATION_REVISION",
    "CUT_SLOW_READERS_TOTAL",
    "DATA_CENTRE_BYTES_TOTAL",
    "DROPPED_FRAMES_TOTAL",
    "ENDPOINT_CRASHES_TOTAL",
    "ENDPOINT_STATEMENTS_TOTAL",
    "EVICTED_REPLIES_TOTAL",
    "EXCHANGES_TOTAL",
    "EXPLAINED_FAILURES_TOTAL",
    "HIT_TOKENS",
    "IN_FLIGHT",
    "JOURNALED_STREAMS_TOTAL",
    "LONGEST_GAP_SECONDS",
    "OUTCOMES_TOTAL",
    "QUARANTINES_TOTAL",
    "RECOMPUTED_TOKENS",
    "REFUSALS_TOTAL",
    "PERMITS_TOTAL",
    "PLATFORM_CALLS_TOTAL",
    "RESUMED_STREAMS_TOTAL",
    "RESUMES_TOTAL",
    "REQUEST_SECONDS",
    "RETRIES_TOTAL",
    "REGISTRY",
    "SHARED_TOKENS_TOTAL",
    "SHARE_CHANGES_TOTAL",
    "SPILL_SHARE",
    "TTFT_SECONDS",
    "UNANSWERED_REQUESTS_TOTAL",
    "UNEXPECTED_WEIGHTS_TOTAL",
    "UNREAD_REQUESTS_TOTAL",
    "WITHDRAWN_FOR_WEIGHTS_TOTAL",
]
