"""Structured logs whose events start with the name of the component."""

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

# Longer texts of a line, which another program may have written, are cut.
MAX_TEXT_CHARACTERS = 4000


def get_logger(part: str) -> Any:
    """Return a logger that prefixes its events with the name of a component."""
    return structlog.get_logger(part=part)


def configure_key_value_logs(level: str, node: str) -> None:
    """Write logs of the level and above to standard error as key-value lines."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _add_part_prefix,
            structlog.processors.format_exc_info,
            _bound_texts,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"]
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS_BY_NAME[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)


def configure_json_logs(level: str, node: str) -> None:
    """Write logs of the level and above to standard output as JSON lines.

    Logging never blocks: lines over the limits are dropped, and a later line gives
    their number.
    """
    output = BoundedOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _add_part_prefix,
            partial(_add_node, node),
            structlog.processors.format_exc_info,
            _bound_texts,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS_BY_NAME[level]),
        logger_factory=structlog.WriteLoggerFactory(output),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    # Marks the start of the process in the log.
    structlog.get_logger(part="logs").info("begin")


def _add_node(
    node: str, _logger: WrappedLogger, _method: str, event_dict: EventDict
) -> EventDict:
    event_dict["node"] = node
    return event_dict


def _bound_texts(
    _logger: WrappedLogger, _method: str, event_dict: EventDict
) -> EventDict:
    for name, value in event_dict.items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
            event_dict[name] = f"{value[:MAX_TEXT_CHARACTERS]}..."
    return event_dict


def _add_part_prefix(
    _logger: WrappedLogger, _method: str, event_dict: EventDict
) -> EventDict:
    part = event_dict.pop("part", "agatehoist")
    event_dict["event"] = f"{part}: {event_dict['event']}"
    return event_dict
