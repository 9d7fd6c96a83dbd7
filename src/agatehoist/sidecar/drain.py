"""End of service of a sidecar that has been told to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from agatehoist.attempts.machine import OFFER_VALID_S
from agatehoist.observability.logs import get_logger

if TYPE_CHECKING:
    from agatehoist.sidecar.state import SidecarState

# A router may submit for an offer that it got before. Only a refusal tells it that the
# work hasn't run.
SUBMIT_TRANSIT_S = 0.3
# A router that runs resumes its answers within this time.
RESUME_WAIT_S = 5.0
# How often a stopping sidecar checks whether routers still await answers.
ANSWERS_POLL_S = 0.1

logger = get_logger("sidecar")


async def drain(state: SidecarState) -> None:
    """Refuse new work and wait until routers have the answers of what is in flight.

    A router whose connection was lost resumes its answers on another one.
    """
    # Routers are told that the sidecar takes no new work.
    logger.info("leaving", in_flight=state.in_flight.count)
    state.leaving = True
    await anyio.sleep(OFFER_VALID_S + SUBMIT_TRANSIT_S)
    await state.in_flight.wait_idle()
    with anyio.move_on_after(RESUME_WAIT_S):
        while _is_awaited(state):  # noqa: ASYNC110
            await anyio.sleep(ANSWERS_POLL_S)
    await state.in_flight.wait_idle()


def _is_awaited(state: SidecarState) -> bool:
    now = state.clock.now()
    return any(each.is_awaited(now) for each in state.executions_by_id.values())
