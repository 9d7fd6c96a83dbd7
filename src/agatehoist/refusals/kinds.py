"""Kinds of refusal, each with its HTTP status."""

from __future__ import annotations

from http import HTTPStatus as Status

from agatehoist.core.registry import Registry
from agatehoist.core.work import Run
from agatehoist.refusals.types import Refusal, RequestRefusedError

REFUSALS: Registry[type[RefusalKind]] = Registry("refusal")


class RefusalKind:
    """Describe one kind of refusal."""

    code: str
    status: Status
    run: Run = Run.NO
    error_type: str = "invalid_request_error"

    @classmethod
    def refuse(cls, detail: str, retry_at: float | None = None) -> RequestRefusedError:
        """Return the error that carries a refusal of this kind."""
        return RequestRefusedError(Refusal(cls.code, detail, cls.run, retry_at))


def refusal(kind: type[RefusalKind]) -> type[RefusalKind]:
    """Register a kind of refusal under its code."""
    return REFUSALS.register(kind.code)(kind)


@refusal
class MalformedBody(RefusalKind):
    """The body can't be read."""

    code = "malformed_body"
    status = Status.BAD_REQUEST


@refusal
class InvalidParameter(RefusalKind):
    """A parameter is missing, has a wrong type or isn't supported."""

    code = "invalid_parameter"
    status = Status.BAD_REQUEST


@refusal
class ContextLengthExceeded(RefusalKind):
    """The prompt and the answer don't fit the model."""

    code = "context_length_exceeded"
    status = Status.BAD_REQUEST


@refusal
class MissingKey(RefusalKind):
    """The request carries no bearer key."""

    code = "missing_key"
    status = Status.UNAUTHORIZED
    error_type = "authentication_error"


@refusal
class UnknownKey(RefusalKind):
    """The bearer key belongs to no organisation."""

    code = "invalid_api_key"
    status = Status.UNAUTHORIZED
    error_type = "authentication_error"


@refusal
class UnknownModel(RefusalKind):
    """No model has the name."""

    code = "model_not_found"
    status = Status.NOT_FOUND


@refusal
class UnknownService(RefusalKind):
    """No service has the name."""

    code = "service_not_found"
    status = Status.NOT_FOUND


@refusal
class UnknownRoute(RefusalKind):
    """No route has the host and a prefix of the path."""

    code = "unknown_route"
    status = Status.NOT_FOUND


@refusal
class NotConfigured(RefusalKind):
    """The process has no configuration yet."""

    code = "not_configured"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "server_error"


@refusal
class BodyTooLarge(RefusalKind):
    """The body is over the limit."""

    code = "body_too_large"
    status = Status.REQUEST_ENTITY_TOO_LARGE


@refusal
class BodyTimeout(RefusalKind):
    """The body didn't arrive in time."""

    code = "body_timeout"
    status = Status.REQUEST_TIMEOUT
    error_type = "timeout_error"


@refusal
class RouterBusy(RefusalKind):
    """The router holds as many requests as it can."""

    code = "router_busy"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class NoEndpoint(RefusalKind):
    """No endpoint took the work."""

    code = "no_endpoint"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class StalePlacement(RefusalKind):
    """The endpoint is no longer the one that the work was placed for."""

    code = "stale_placement"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class Leaving(RefusalKind):
    """The process is about to stop and takes no new work."""

    code = "leaving"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class Overloaded(RefusalKind):
    """The queue is too long for the deadline."""

    code = "overloaded"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class QueueFull(RefusalKind):
    """The endpoint queues as much as it can hold."""

    code = "queue_full"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class RateLimited(RefusalKind):
    """The organisation is over its ceiling."""

    code = "rate_limited"
    status = Status.TOO_MANY_REQUESTS
    error_type = "rate_limit_error"


@refusal
class DeadlineExceeded(RefusalKind):
    """The deadline passed before the work started."""

    code = "deadline_exceeded"
    status = Status.GATEWAY_TIMEOUT
    error_type = "timeout_error"


@refusal
class OutcomeUnknown(RefusalKind):
    """The connection ended after the work may have started."""

    code = "outcome_unknown"
    status = Status.BAD_GATEWAY
    run = Run.UNKNOWN
    error_type = "upstream_error"


@refusal
class EndpointFailed(RefusalKind):
    """The endpoint answered with an error."""

    code = "endpoint_failed"
    status = Status.BAD_GATEWAY
    run = Run.UNKNOWN
    error_type = "upstream_error"


@refusal
class EndpointRejected(RefusalKind):
    """The endpoint found a fault in the request itself."""

    code = "endpoint_rejected"
    status = Status.BAD_REQUEST
    run = Run.UNKNOWN


@refusal
class NotStarted(RefusalKind):
    """The attempt was withdrawn before it started."""

    code = "not_started"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class RetriesExhausted(RefusalKind):
    """The retry budget is spent."""

    code = "retries_exhausted"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class AnswerTimeout(RefusalKind):
    """The deadline passed before the whole answer came."""

    code = "answer_timeout"
    status = Status.GATEWAY_TIMEOUT
    run = Run.UNKNOWN
    error_type = "timeout_error"


@refusal
class BrokenStream(RefusalKind):
    """The answer broke off after its first token."""

    code = "broken_stream"
    status = Status.BAD_GATEWAY
    run = Run.YES
    error_type = "upstream_error"


@refusal
class AnswerNotKept(RefusalKind):
    """The answer to resume is no longer kept."""

    code = "answer_not_kept"
    status = Status.GONE
    run = Run.UNKNOWN


@refusal
class AnswerTaken(RefusalKind):
    """Another request has resumed the same answer."""

    code = "answer_taken"
    status = Status.CONFLICT
    run = Run.YES


@refusal
class InternalFault(RefusalKind):
    """The router failed at a request."""

    code = "internal_fault"
    status = Status.INTERNAL_SERVER_ERROR
    run = Run.UNKNOWN
    error_type = "server_error"


@refusal
class ClaimUnavailable(RefusalKind):
    """The platform couldn't confirm the claim of an idempotency key."""

    code = "claim_unavailable"
    status = Status.SERVICE_UNAVAILABLE
    error_type = "overloaded_error"


@refusal
class KeyReused(RefusalKind):
    """The idempotency key was used for another request."""

    code = "idempotency_key_reused"
    status = Status.UNPROCESSABLE_ENTITY


@refusal
class KeyInUse(RefusalKind):
    """The first call with the idempotency key hasn't ended or its end isn't known."""

    code = "idempotency_key_in_use"
    status = Status.CONFLICT
    run = Run.UNKNOWN


@refusal
class OutcomeTooLarge(RefusalKind):
    """The call was run, but its answer was too large to store."""

    code = "outcome_too_large"
    status = Status.CONFLICT
    run = Run.YES


# Another endpoint would answer the same.
FINAL_CODES = frozenset(
    {AnswerTaken.code, DeadlineExceeded.code, EndpointRejected.code}
)
