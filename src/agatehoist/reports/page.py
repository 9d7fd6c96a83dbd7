"""Burn report as one self-contained HTML page."""

from __future__ import annotations

import html
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from agatehoist.reports.burn import Alert, burn_rate
from agatehoist.reports.recorder import ALL_LABEL
from agatehoist.reports.windows import WINDOWS_S_BY_NAME

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agatehoist.reports.burn import BurnLine, BurnReport
    from agatehoist.reports.types import Objective, Point

# In units of the SVG view box.
PLOT_WIDTH = 640
PLOT_HEIGHT = 120
PLOT_MARGIN = 34
MIN_AXIS_RATE = 2.0

COLOURS_BY_ALERT = {
    Alert.NONE: "#2f7d4f",
    Alert.TICKET: "#b7791f",
    Alert.PAGE: "#b23b3b",
}

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem;
  color: #222; background: #fcfcfa; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
p.meta { color: #666; }
.cards { display: flex; flex-wrap: wrap; gap: 1rem; }
.card { flex: 1 1 10rem; border: 1px solid #ddd; border-radius: 8px;
  padding: .8rem 1rem; background: #fff; border-left: 6px solid var(--colour); }
.card b { font-size: 1.6rem; display: block; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .6rem; border-bottom: 1px solid #e6e6e2; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
td.alert { color: #fff; background: var(--colour); text-align: center; }
svg { width: 100%; height: auto; background: #fff; border: 1px solid #ddd;
  border-radius: 8px; }
svg text { font: 11px system-ui, sans-serif; fill: #666; }
"""


def render_page(report: BurnReport) -> str:
    """Return the burn report as HTML."""
    total_lines = [line for line in report.lines if line.key.organisation == ALL_LABEL]
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        "<meta name='viewport' content='width=device-width'>",
        f"<title>agatehoist: burn report</title><style>{_STYLE}</style></head><body>",
        "<h1>Service-level burn</h1>",
        f"<p class='meta'>{_summary(report)}</p>",
        f"<div class='cards'>{''.join(map(_card, total_lines))}</div>",
        *(_plot_section(report, line) for line in total_lines),
        "<h2>By organisation and model</h2>",
        _table(report.lines),
        "</body></html>\n",
    ]
    return "\n".join(parts)


def _summary(report: BurnReport) -> str:
    taken_at = datetime.fromtimestamp(report.taken_at, UTC)
    since = datetime.fromtimestamp(report.counted_since, UTC)
    return (
        f"{taken_at:%Y-%m-%d %H:%M:%S} UTC, counted since {since:%Y-%m-%d %H:%M:%S}, "
        f"{len(report.nodes)} routers. A rate of 1 spends the whole budget in the "
        "window of the objective."
    )


def _card(line: BurnLine) -> str:
    return (
        f"<div class='card' style='--colour:{COLOURS_BY_ALERT[line.alert]}'>"
        f"{html.escape(line.key.objective)}<b>{line.budget_spent:.0%}</b>"
        f"of the budget spent, {line.alert}<br>{_target_text(line.objective)}</div>"
    )


def _target_text(objective: Objective) -> str:
    within = f" within {objective.threshold_s:g} s" if objective.threshold_s else ""
    return f"aim: {objective.target:.2%}{within}"


def _table(lines: Iterable[BurnLine]) -> str:
    names = ("objective", "organisation", "model", *WINDOWS_S_BY_NAME, "spent", "alert")
    head = "".join(f"<th>{name}</th>" for name in names)
    rows = "".join(_table_row(line) for line in lines)
    return f"<table><thead><tr>{head}</tr></thead><tbody>{rows}</tbody></table>"


def _table_row(line: BurnLine) -> str:
    key = line.key
    names = (key.objective, key.organisation, key.model)
    cells = [f"<td>{html.escape(name)}</td>" for name in names]
    cells += [
        f"<td>{line.rates_by_window[name]:.2f}</td>" for name in WINDOWS_S_BY_NAME
    ]
    cells.append(f"<td>{line.budget_spent:.0%}</td>")
    colour = COLOURS_BY_ALERT[line.alert]
    cells.append(f"<td class='alert' style='--colour:{colour}'>{line.alert}</td>")
    return f"<tr>{''.join(cells)}</tr>"


def _plot_section(report: BurnReport, line: BurnLine) -> str:
    points = report.points_by_objective.get(line.key.objective, ())
    if len(points) < 2:
        return ""
    name = html.escape(line.key.objective)
    return f"<h2>{name}: burn rate of the last hour</h2>{_plot(points, line)}"


def _plot(points: tuple[Point, ...], line: BurnLine) -> str:
    rates = [burn_rate(point.tally, line.objective.target) for point in points]
    axis_max = max(MIN_AXIS_RATE, *rates)
    x_step = (PLOT_WIDTH - 2 * PLOT_MARGIN) / (len(points) - 1)
    path = " ".join(
        f"{PLOT_MARGIN + index * x_step:.1f},{_y_of(rate, axis_max):.1f}"
        for index, rate in enumerate(rates)
    )
    allowed_rate_y = _y_of(1.0, axis_max)
    right = PLOT_WIDTH - PLOT_MARGIN
    return (
        f"<svg viewBox='0 0 {PLOT_WIDTH} {PLOT_HEIGHT}' role='img' "
        f"aria-label='burn rate by minute, highest {max(rates):.1f}'>"
        f"<line x1='{PLOT_MARGIN}' x2='{right}' "
        f"y1='{allowed_rate_y:.1f}' y2='{allowed_rate_y:.1f}' "
        "stroke='#bbb' stroke-dasharray='4 3'/>"
        f"<text x='4' y='{allowed_rate_y + 4:.1f}'>1</text>"
        f"<text x='4' y='{_y_of(axis_max, axis_max) + 4:.1f}'>{axis_max:.0f}</text>"
        f"<polyline points='{path}' fill='none' stroke-width='2' "
        f"stroke='{COLOURS_BY_ALERT[line.alert]}'/>"
        f"<text x='{PLOT_MARGIN}' y='{PLOT_HEIGHT - 4}'>60 min ago</text>"
        f"<text x='{right}' y='{PLOT_HEIGHT - 4}' text-anchor='end'>now</text></svg>"
    )


def _y_of(rate: float, axis_max: float) -> float:
    # Half a margin and 5 units of padding are left above and below the curve.
    plot_height = PLOT_HEIGHT - 2 * PLOT_MARGIN / 2 - 10
    return PLOT_HEIGHT - PLOT_MARGIN / 2 - 5 - rate / axis_max * plot_height
