"""Errors of the orders package."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class OrderError(AgatehoistError):
    """Base of the errors of the orders package."""


class SupersededError(OrderError):
    """Report that another sidecar holds a higher fencing number."""


class OrderExpiredError(OrderError):
    """Report that an order or its lease expired before the order was sent."""


class OrderRefusedError(OrderError):
    """Report that the endpoint refused an order."""


class OrderOutcomeUnknownError(OrderError):
    """Report that it is unknown whether the endpoint accepted an order."""
