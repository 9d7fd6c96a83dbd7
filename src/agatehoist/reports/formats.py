"""Output formats of the burn report."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from agatehoist.core.registry import Registry
from agatehoist.reports.page import render_page
from agatehoist.reports.windows import WINDOWS_S_BY_NAME
from agatehoist.settings.convert import make_converter

if TYPE_CHECKING:
    from collections.abc import Callable

    from agatehoist.reports.burn import BurnLine, BurnReport

FORMATS: Registry[Callable[[BurnReport], str]] = Registry("report format")

_HEADER = ("objective", "organisation", "model", *WINDOWS_S_BY_NAME, "spent", "alert")


@FORMATS.register("text")
def render_text(report: BurnReport) -> str:
    """Return the report as a table for a terminal."""
    rows = [_HEADER, *(_row(line) for line in report.lines)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADER))]
    title = (
        f"burn rates at {format_time(report.taken_at)}, "
        f"counted since {format_time(report.counted_since)}, "
        f"{len(report.nodes)} routers"
    )
    lines = [title, *(_align(row, widths) for row in rows)]
    return "\n".join(lines) + "\n"


@FORMATS.register("json")
def render_json(report: BurnReport) -> str:
    """Return the report as JSON."""
    return json.dumps(make_converter().unstructure(report), indent=2) + "\n"


@FORMATS.register("html")
def render_html(report: BurnReport) -> str:
    """Return the report as a self-contained HTML page."""
    return render_page(report)


def format_time(timestamp: float) -> str:
    """Return a time in epoch seconds as text in UTC."""
    return datetime.fromtimestamp(timestamp, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _row(line: BurnLine) -> tuple[str, ...]:
    rates = (f"{line.rates_by_window[name]:.2f}" for name in WINDOWS_S_BY_NAME)
    key = line.key
    spent = f"{line.budget_spent:.0%}"
    return (key.objective, key.organisation, key.model, *rates, spent, str(line.alert))


def _align(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return "  ".join(cells).rstrip()
