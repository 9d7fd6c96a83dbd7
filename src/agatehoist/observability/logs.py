"""Structured logs with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys
from functools import partial
from typing import TYPE_CHECKING, Any

import structlog

from agatehoist.observability.output import BoundedOutput

if TYPE_CHECKING:
    from structlog.typing import EventDict, WrappedLogger

LEVELS_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def get_logger(part: str) -> Any:
    """Return the logger of a part."""
    return structlog.get_logger(part=part)


def configure_logs(level: str, node: str) -> None:
    """Send logs of the level and above to standard error as key-value lines."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _prefix_part,
            structlog.processors.format_exc_info,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS_BY_NAME[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def configure_service_logs(level: str, node: str) -> None:
    """Send logs of the level and above to standard output as JSON lines.

    The output is bounded and never blocks; what is dropped is counted in a later line.
    """
    output = BoundedOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _prefix_part,
            partial(_add_node, node),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS_BY_NAME[level]),
        logger_factory=structlog.WriteLoggerFactory(output),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.get_logger(part="logs").info("begin")


def _add_node(
    node: str, _logger: WrappedLogger, _method: str, event_dict: EventDict
) -> EventDict:
    event_dict["node"] = node
    return event_dict


def _prefix_part(
    _logger: WrappedLogger, _method: str, event_dict: EventDict
) -> EventDict:
    part = event_dict.pop("part", "agatehoist")
    event_dict["event"] = f"{part}: {event_dict['event']}"
    return event_dict
