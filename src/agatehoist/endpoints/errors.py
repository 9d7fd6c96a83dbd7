"""Errors of the endpoint clients."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class EndpointError(AgatehoistError):
    """Base of the errors of the endpoint clients."""


class EndpointNotReachedError(EndpointError):
    """Report that no connection was made, so the request was not run."""


class EndpointRejectedError(EndpointError):
    """Report that the endpoint rejected the request as invalid."""


class EndpointFailedError(EndpointError):
    """Report that the endpoint failed after it may have started the request."""
