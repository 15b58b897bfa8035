"""One self-contained HTML page of a run: plots over time as inline SVG, no script, readable without a network."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from math import floor, log10

from .result import BUCKET_US, Result

WIDTH, HEIGHT = 920, 210
"""The size of a plot in pixels."""
LEFT, RIGHT, BOTTOM, TOP = 56, 20, 24, 26
"""The margins of a plot in pixels."""
KINDS = {"served": "#3a7d44", "late": "#d9a441", "refused": "#5b7db1", "failed": "#b5483a", "no answer": "#6b6b6b"}
AXIS_STEPS = (1, 1.2, 1.6, 2, 3, 4, 5, 6, 8, 10)
"""The multiples of a power of ten at which an axis may end."""
MAX_ROWS_HEIGHT, MIN_ROW, MAX_ROW = 260, 5, 16  # pixels, of the plot of servers
MIN_LABELLED_ROW = 10  # in lower rows only every fourth one has a label
MAX_BREACHES = 20
STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:980px;padding:0 1rem;color:#222}
h1{font-size:1.5rem;margin:0 0 .2rem}h2{font-size:1.05rem;margin:2rem 0 .4rem}table{border-collapse:collapse}
td,th{padding:.2rem .9rem .2rem 0;text-align:left;border-bottom:1px solid #e4e4e4}td.n{text-align:right}
.ok{color:#2d6a37}.bad{color:#a3271b;font-weight:600}.big{font-size:1.4rem;margin-right:2rem}
svg{max-width:100%;height:auto}
pre{white-space:pre-wrap;background:#f6f6f6;padding:.6rem}svg text{font:11px system-ui,sans-serif;fill:#555}"""


def page(result: Result) -> str:
    """Return the page of a result."""
    parts = [
        f"<h1>{escape(result.scenario)}</h1><p>seed {result.seed}, {result.requests} requests in "
        f"{result.length_s:.0f} s; {_verdict(result)}</p>",
        f'<p><span class="big">service <b>{result.service:.3f}</b></span><span class="big">worst 10 s '
        f'<b>{result.worst_10s:.3f}</b></span><span class="big">p99 <b>{result.latency_ms["p99"]:.0f} ms</b></span>'
        "</p>",
        "<h2>Requests a second, by what became of them</h2>",
        _outcome_plot(result),
        "<h2>Latency of answers, 99th percentile of each half second (ms)</h2>",
        _line_plot(result, result.series["p99 ms"]),
        "<h2>Attempts at each server (rows) over time; darker is more</h2>",
        _load_plot(result),
        "<h2>Service</h2>",
        _service_table(
            [("class", name, value) for name, value in result.by_class.items()]
            + [("tenant, within its share", name, value) for name, value in result.by_tenant.items()]
        ),
        "<h2>Agents</h2>",
        _agents_table(result),
    ]
    if result.breaches:
        parts.append(
            "<h2>Broken rules</h2>"
            + "".join(
                f"<p><b>{breach.rule}</b>: {escape(breach.what)}</p><pre>{escape(breach.story)}</pre>"
                for breach in result.breaches[:MAX_BREACHES]
            )
        )
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{escape(result.scenario)}</title>'
        f"<style>{STYLE}</style></head><body>{''.join(parts)}</body></html>\n"
    )


def _verdict(result: Result) -> str:
    if result.breaches:
        broken = ", ".join(f"{rule} {count}" for rule, count in result.rules.items() if count)
        verdict = f'<span class="bad">rules broken: {broken}</span>'
    else:
        verdict = '<span class="ok">rules kept</span>'
    if result.void:
        verdict += f' <span class="bad">void: {escape("; ".join(result.void))}</span>'
    return verdict


def _x_of(result: Result, seconds: float) -> float:
    return LEFT + (WIDTH - LEFT - RIGHT) * seconds / max(0.001, result.length_s)


def _y_of(value: float, axis_end: float) -> float:
    return TOP + (HEIGHT - TOP - BOTTOM) * (1 - value / axis_end)


def _axis_end(value: float) -> float:
    """Return the next figure that reads well at the end of an axis."""
    if value <= 0:
        return 1.0
    unit = 10.0 ** floor(log10(value))
    return next(step * unit for step in AXIS_STEPS if step * unit >= value)


def _frame(result: Result, axis_end: float, shapes: str, height: int = HEIGHT) -> str:
    """Return a plot with its axes, and the faults of the script as marked lines; an `axis_end` of 0: no y axis."""
    parts = [f'<svg viewBox="0 0 {WIDTH} {height}" role="img">', shapes]
    if axis_end:
        for value in (0.0, axis_end / 2, axis_end):
            y_value = _y_of(value, axis_end)
            parts.append(
                f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y_value:.1f}" y2="{y_value:.1f}" stroke="#ddd"/>'
                f'<text x="{LEFT - 6}" y="{y_value + 4:.1f}" text-anchor="end">{value:.0f}</text>'
            )
    step_s = max(1, round(result.length_s / 10))
    for second in range(0, int(result.length_s) + 1, step_s):
        x_value = _x_of(result, second)
        parts.append(f'<text x="{x_value:.1f}" y="{height - 8}" text-anchor="middle">{second} s</text>')
    for number, (at_s, name) in enumerate(result.events):
        x_value = _x_of(result, at_s)
        parts.append(
            f'<line x1="{x_value:.1f}" x2="{x_value:.1f}" y1="{TOP - 12}" y2="{height - BOTTOM}" stroke="#a3271b" '
            f'stroke-dasharray="3 3"/><text x="{x_value + 3:.1f}" y="{TOP - 14 + 11 * (number % 2):.0f}" '
            f'style="fill:#a3271b">{escape(name)}</text>'
        )
    return "".join(parts) + "</svg>"


def _outcome_plot(result: Result) -> str:
    """Return the requests by what became of them, stacked."""
    buckets_per_s = 1_000_000 / BUCKET_US
    offered = [count * buckets_per_s for count in result.series["offered"][:-1]]
    axis_end = _axis_end(max(offered, default=0.0))

    def points(values: Sequence[float]) -> list[str]:
        return [
            f"{_x_of(result, bucket / buckets_per_s):.1f},{_y_of(value, axis_end):.1f}"
            for bucket, value in enumerate(values)
        ]

    base = [0.0] * len(offered)
    shapes = []
    for kind, colour in KINDS.items():
        top = [below + count * buckets_per_s for below, count in zip(base, result.series[kind], strict=False)]
        shapes.append(f'<polygon points="{" ".join(points(top) + points(base)[::-1])}" fill="{colour}"/>')
        base = top
    legend = "".join(
        f'<span style="color:{colour}">■</span> {kind} {result.outcomes[kind]} &nbsp; '
        for kind, colour in KINDS.items()
    )
    return _frame(result, axis_end, "".join(shapes)) + f"<p>{legend}</p>"


def _line_plot(result: Result, values: Sequence[float]) -> str:
    values = values[:-1]
    axis_end = _axis_end(max(values, default=0.0))
    points = " ".join(
        f"{_x_of(result, bucket * BUCKET_US / 1e6):.1f},{_y_of(value, axis_end):.1f}"
        for bucket, value in enumerate(values)
    )
    return _frame(result, axis_end, f'<polyline points="{points}" fill="none" stroke="#3a5a8c" stroke-width="1.6"/>')


def _load_plot(result: Result) -> str:
    """Return the attempts at each server as a heat map."""
    rows = list(result.load.items())
    row_height = max(MIN_ROW, min(MAX_ROW, MAX_ROWS_HEIGHT // max(1, len(rows))))
    largest = max((count for _, counts in rows for count in counts), default=0) or 1
    width = _x_of(result, BUCKET_US / 1e6) - _x_of(result, 0)
    cells = []
    for number, (name, counts) in enumerate(rows):
        top = TOP + number * row_height
        if row_height >= MIN_LABELLED_ROW or number % 4 == 0:
            cells.append(f'<text x="{LEFT - 6}" y="{top + row_height - 2}" text-anchor="end">{escape(name)}</text>')
        cells += [
            f'<rect x="{_x_of(result, bucket * BUCKET_US / 1e6):.1f}" y="{top}" width="{width + 0.3:.1f}" '
            f'height="{row_height - 1}" fill="#1f4e79" fill-opacity="{count / largest:.2f}"/>'
            for bucket, count in enumerate(counts[:-1])
        ]
    return _frame(result, 0.0, "".join(cells), TOP + row_height * len(rows) + BOTTOM)


def _service_table(rows: Sequence[tuple[str, str, float]]) -> str:
    cells = "".join(
        f'<tr><td>{escape(group)}</td><td>{escape(name)}</td><td class="n">{service:.3f}</td></tr>'
        for group, name, service in rows
    )
    return f"<table>{cells}</table>"


def _agents_table(result: Result) -> str:
    rows = "".join(
        f'<tr><td>n{number}</td><td class="n">{agent.get("cpu_s", 0)}</td><td class="n">{agent.get("rss_mb", 0)}</td>'
        f'<td class="n">{agent.get("descriptors", 0)}</td></tr>'
        for number, agent in enumerate(result.machine["agents"])
    )
    return f"<table><tr><th>agent<th>CPU s<th>memory MB<th>descriptors</tr>{rows}</table>"
