"""Errors of the orders package."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class OrderError(AgatehoistError):
    """Base of the errors of the orders package."""


class SupersededError(OrderError):
    """Report that the sidecar's fencing number is no longer the stored one.

    As a rule, another sidecar of the host has increased it.
    """


class OrderExpiredError(OrderError):
    """Report that the validity or the lease of an order ended before it was sent."""


class OrderNotWantedError(OrderError):
    """Report that the configuration changed before an order was sent."""


class OrderRefusedError(OrderError):
    """Report that the endpoint did not receive or did not accept an order."""


class OrderOutcomeUnknownError(OrderError):
    """Report that it is unknown whether the endpoint accepted an order."""
