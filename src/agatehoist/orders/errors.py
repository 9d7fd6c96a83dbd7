"""Errors of the orders."""

from __future__ import annotations

from agatehoist.errors import AgatehoistError


class OrderError(AgatehoistError):
    """Base of the errors of the orders."""


class SupersededError(OrderError):
    """Report that another sidecar holds a higher fencing number."""


class OrderExpiredError(OrderError):
    """Report that an order or its lease ran out before it was sent."""


class OrderRefusedError(OrderError):
    """Report that the endpoint refused an order."""


class OrderOutcomeUnknownError(OrderError):
    """Report that the endpoint may or may not have taken an order."""
