"""Service calls that carry an idempotency key and run at most once.

A claim is the object, stored on the platform, that reserves a key for one call.
"""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from agatehoist.claims.decisions import (
    Follow,
    Replay,
    Reused,
    Take,
    claim_name,
    decide_on_claim,
    digest_work,
    make_outcome,
)
from agatehoist.claims.errors import ClaimTakenError
from agatehoist.claims.store import WRITE_TIMEOUT_S
from agatehoist.claims.types import Claim, ClaimState, Dispatch, StoredClaim
from agatehoist.core.identity import new_incarnation
from agatehoist.core.work import Run
from agatehoist.observability.logs import get_logger
from agatehoist.observability.metrics import CLAIMS_TOTAL
from agatehoist.refusals import RequestRefusedError
from agatehoist.refusals.kinds import (
    AnswerTimeout,
    ClaimUnavailable,
    EndpointFailed,
    KeyInUse,
    KeyReused,
    NotStarted,
    OutcomeTooLarge,
)
from agatehoist.router.dispatch import call, resume_call
from agatehoist.router.requests import CallAnswer
from agatehoist.storage.errors import PlatformError

if TYPE_CHECKING:
    from agatehoist.attempts.types import Target
    from agatehoist.claims.types import Outcome
    from agatehoist.router.requests import CallRequest
    from agatehoist.router.state import RouterState

logger = get_logger("claims")

CLAIM_RETENTION_S = 86_400.0
# Before a router resumes the call of another one; see _resume_attempt.
DELAY_BEFORE_RESUME_S = 0.05
RESUME_TIMEOUT_S = 5.0
OUTCOME_WRITE_TIMEOUT_S = 10.0
# The caller's answer waits at most this long for the outcome to be stored.
MAX_ANSWER_DELAY_S = 1.0
CALLER_RETRY_DELAY_S = 1.0


async def call_once(state: RouterState, request: CallRequest) -> CallAnswer:
    """Return the answer of a keyed call, which runs at most once in the fleet.

    Raises RequestRefusedError.
    """
    keyed = KeyedCall(state, request)
    lock = state.claim_locks_by_name.setdefault(keyed.name, anyio.Lock())
    with anyio.move_on_after(max(0, request.deadline - state.clock.now())):
        async with lock:
            return await keyed.run()
    raise KeyInUse.refuse("the first call with the key hasn't ended")


class KeyedCall:
    """Claim a key and run its call, or get the outcome from another router."""

    def __init__(self, state: RouterState, request: CallRequest) -> None:
        assert request.key is not None
        self._state = state
        self._request = request
        self.name = claim_name(request.organisation, request.service, request.key)
        self._digest = digest_work(request.work)
        # A random id, by which the claim of this call differs from those of others.
        self._owner = new_incarnation()
        self._version = 0
        self._claim: Claim | None = None

    async def run(self) -> CallAnswer:
        """Return the answer of the call.

        Raises RequestRefusedError.
        """
        stored_claim: StoredClaim | None = None
        while True:
            try:
                if stored_claim is None:
                    return await self._claim_and_call()
                answer = await self._resolve_claim(stored_claim)
                if answer is not None:
                    return answer
                stored_claim = None
            except ClaimTakenError as error:
                stored_claim = error.found

    async def _claim_and_call(self) -> CallAnswer:
        """Claim the key before each dispatch and store the outcome."""
        self._claim = None
        try:
            answer = await call(self._state, self._request, self._write_claim)
        except RequestRefusedError as error:
            if error.refusal.run is Run.NO and self._claim is not None:
                await self._release_claim(error)
            raise
        CLAIMS_TOTAL.inc({"found": "none"})
        assert self._claim is not None
        await self._store_outcome(self._claim, self._version, answer)
        return answer

    async def _write_claim(self, target: Target) -> None:
        claim = Claim(
            self._owner,
            self._digest,
            ClaimState.RUNNING,
            self._state.clock.now() + CLAIM_RETENTION_S,
            Dispatch(target, self._request.deadline),
        )
        try:
            written = await self._state.claims.write(self.name, claim, self._version)
        except PlatformError as error:
            retry_at = self._state.clock.now() + CALLER_RETRY_DELAY_S
            raise ClaimUnavailable.refuse(str(error), retry_at) from error
        self._version = written
        self._claim = claim

    async def _release_claim(self, error: RequestRefusedError) -> None:
        """Mark the claim of a call that did not run as free.

        Raises ClaimTakenError if another router has written the claim since.
        """
        assert self._claim is not None
        free = replace(self._claim, state=ClaimState.FREE)
        try:
            await self._state.claims.write(self.name, free, self._version)
        except PlatformError as failure:
            logger.warning("claim release failed", reason=str(failure))
            # Another router's resume made the sidecar refuse the attempt. That router
            # may have claimed the key since and be running the call.
            if error.refusal.code == NotStarted.code:
                raise KeyInUse.refuse(
                    "another router may be running the call"
                ) from failure

    async def _resolve_claim(self, stored_claim: StoredClaim) -> CallAnswer | None:
        """Return the answer of the claimed call, or None if it must be made here."""
        decision = decide_on_claim(stored_claim, self._digest, self._state.clock.now())
        # The label's values are the decisions' class names in lower case.
        CLAIMS_TOTAL.inc({"found": type(decision).__name__.lower()})
        if isinstance(decision, Take):
            self._version = decision.version
            return None
        if isinstance(decision, Reused):
            raise KeyReused.refuse("the key was used with another request")
        if isinstance(decision, Replay):
            return _replay(decision.outcome)
        return await self._resume_attempt(decision, stored_claim)

    async def _resume_attempt(
        self, follow: Follow, stored_claim: StoredClaim
    ) -> CallAnswer | None:
        # If the resume arrived before the submit of the claim's owner, the sidecar
        # would refuse to start the attempt.
        await anyio.sleep(DELAY_BEFORE_RESUME_S)
        now = self._state.clock.now()
        deadline = min(self._request.deadline, now + RESUME_TIMEOUT_S)
        request = replace(self._request, deadline=deadline)
        dispatch = follow.dispatch
        try:
            answer = await resume_call(
                self._state, request, dispatch.target, dispatch.deadline
            )
        except RequestRefusedError as error:
            if error.refusal.run is Run.NO:
                # The sidecar did not start the attempt and refuses to start it later.
                self._version = stored_claim.version
                return None
            if error.refusal.code == EndpointFailed.code:
                raise
            return await self._wait_for_owner(dispatch, stored_claim, error)
        await self._store_outcome(stored_claim.claim, stored_claim.version, answer)
        return answer

    async def _wait_for_owner(
        self, dispatch: Dispatch, stored_claim: StoredClaim, error: RequestRefusedError
    ) -> CallAnswer | None:
        """Wait until the router that made the call has stored its outcome."""
        until = min(dispatch.deadline, self._request.deadline)
        if error.refusal.code != AnswerTimeout.code:
            # The sidecar has no answer. The owner may be writing the outcome, so wait
            # for as long as such a write can take.
            until = min(until, self._state.clock.now() + WRITE_TIMEOUT_S)
        with anyio.move_on_after(max(0, until - self._state.clock.now())):
            try:
                while True:
                    changed = await self._state.claims.wait_for_newer(
                        self.name, stored_claim.version
                    )
                    if changed is not None:
                        raise ClaimTakenError(changed)
            except PlatformError as error:
                logger.warning("watch on claim failed", reason=str(error))
        retry_at = self._state.clock.now() + CALLER_RETRY_DELAY_S
        raise KeyInUse.refuse("the outcome of the first call isn't known", retry_at)

    async def _store_outcome(
        self, claim: Claim, version: int, answer: CallAnswer
    ) -> None:
        """Store the outcome; a slow platform delays the answer by a limited time."""
        outcome = make_outcome(
            answer.host, answer.status, answer.headers_by_name, answer.body
        )
        done = replace(claim, state=ClaimState.DONE, outcome=outcome)
        stored = anyio.Event()
        self._state.task_group.start_soon(self._write_outcome, done, version, stored)
        with anyio.move_on_after(MAX_ANSWER_DELAY_S):
            await stored.wait()

    async def _write_outcome(
        self, claim: Claim, version: int, stored: anyio.Event
    ) -> None:
        with self._state.in_flight.track():
            try:
                await self._state.claims.write(
                    self.name, claim, version, OUTCOME_WRITE_TIMEOUT_S
                )
            except PlatformError as error:
                logger.warning("storing the outcome failed", reason=str(error))
            except ClaimTakenError:
                logger.debug("another router stored the outcome")
            except Exception:
                # The process owns the task group, so an exception here would end it.
                logger.exception("storing the outcome failed")
        stored.set()


def _replay(outcome: Outcome) -> CallAnswer:
    if outcome.body is None:
        detail = (
            f"the call ended with status {outcome.status}, its answer was too large"
        )
        raise OutcomeTooLarge.refuse(detail)
    body = base64.b64decode(outcome.body)
    return CallAnswer(outcome.host, outcome.status, outcome.headers_by_name, body)
