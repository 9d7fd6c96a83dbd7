"""Errors of the endpoint clients."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class EndpointError(AgatehoistError):
    """Report an error of an endpoint.

    Raised itself, it doesn't tell whether the request ran; the subclasses say more.
    """


class EndpointNotReachedError(EndpointError):
    """Report that no connection was made, so the request was not run.

    Status requests raise it for every failure.
    """


class EndpointRejectedError(EndpointError):
    """Report that the endpoint rejected the request as invalid."""


class EndpointChangedError(EndpointError):
    """Report that the endpoint didn't run a request, as it has other weights."""


class EndpointFailedError(EndpointError):
    """Report the failure of a request that the endpoint may have started.

    Cache requests raise it also if no connection was made.
    """
