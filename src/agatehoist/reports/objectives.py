"""Kinds of objective, each with its criterion for a good request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from agatehoist.core.registry import Registry
from agatehoist.core.work import Run
from agatehoist.reports.types import Objective

if TYPE_CHECKING:
    from agatehoist.reports.types import Observation


class ObjectiveRule(Protocol):
    """Return whether a request meets the objective; None leaves it uncounted."""

    def __call__(
        self, observation: Observation, objective: Objective, /
    ) -> bool | None: ...


OBJECTIVE_KINDS: Registry[ObjectiveRule] = Registry("objective kind")

# Each with its kind, the target share of good requests and the threshold in seconds.
DEFAULT_OBJECTIVES_BY_NAME = {
    "first_token": Objective("ttft", 0.95, 0.79),
    "token_gap": Objective("token_gap", 0.95, 0.06),
    "whole_answers": Objective("whole", 0.999),
    "known_outcomes": Objective("known_outcome", 0.9999),
}


def default_objectives() -> dict[str, Objective]:
    """Return the objectives of a configuration that defines none."""
    return dict(DEFAULT_OBJECTIVES_BY_NAME)


@OBJECTIVE_KINDS.register("ttft")
def is_first_token_on_time(
    observation: Observation, objective: Objective
) -> bool | None:
    """Return whether the time to first token is within the threshold."""
    return (
        None if observation.ttft is None else observation.ttft <= objective.threshold_s
    )


@OBJECTIVE_KINDS.register("token_gap")
def is_token_gap_on_time(observation: Observation, objective: Objective) -> bool | None:
    """Return whether the mean time between tokens is within the threshold."""
    return (
        None
        if observation.token_gap is None
        else observation.token_gap <= objective.threshold_s
    )


@OBJECTIVE_KINDS.register("whole")
def is_answer_complete(observation: Observation, _objective: Objective) -> bool | None:
    """Return whether a request that may have been executed got a complete answer."""
    return None if observation.run is Run.NO else observation.whole


@OBJECTIVE_KINDS.register("known_outcome")
def is_outcome_known(observation: Observation, _objective: Objective) -> bool | None:
    """Return whether the caller knows if the request was executed."""
    return observation.run is not Run.UNKNOWN
