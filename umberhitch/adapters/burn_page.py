"""The burn report as rows and as one self-contained HTML page."""

from html import escape
from typing import Any

from umberhitch.core.burn import WINDOWS_S, BurnRow, Severity
from umberhitch.tasks.burn import BurnReport

__all__ = ["burn_row", "render_burn"]

FULL_BAR_RATE = 20.0
BAR_WIDTH_PX = 160
COLORS = {Severity.NONE: "#2e7d32", Severity.TICKET: "#f9a825", Severity.PAGE: "#c62828"}
STYLE = """
body { font: 15px system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; }
th, td { text-align: left; padding: .35em .9em .35em 0; border-bottom: 1px solid #ddd; }
td.n { text-align: right; font-variant-numeric: tabular-nums; }
p.warn { color: #c62828; }
"""


def window_name(window_s: int) -> str:
    """Return a window in minutes or hours."""
    return f"{window_s // 3600} h" if window_s >= 3600 else f"{window_s // 60} min"


def burn_row(row: BurnRow) -> dict[str, Any]:
    """Return a row as it is shown in a table or as JSON."""
    rates = {f"burn {window_name(window_s)}": rate for window_s, rate in row.rates.items()}
    return {
        "customer": row.customer,
        "class": row.klass,
        "objective": f"{row.objective:.2%} in {row.latency_s:g} s",
        "requests": row.requests,
        "bad": row.bad,
        "p50 ms": row.p50_ms,
        "p99 ms": row.p99_ms,
        **rates,
        "alert": row.severity.value,
    }


def _bar(rate: float, severity: Severity) -> str:
    """Return a bar as long as a burn rate, with a mark where the budget lasts just as long."""
    width = min(1.0, rate / FULL_BAR_RATE) * BAR_WIDTH_PX
    mark = BAR_WIDTH_PX / FULL_BAR_RATE
    return (
        f'<svg width="{BAR_WIDTH_PX}" height="14" role="img" aria-label="burn {rate}">'
        f'<rect width="{BAR_WIDTH_PX}" height="14" fill="#eee"/>'
        f'<rect width="{width:.1f}" height="14" fill="{COLORS[severity]}"/>'
        f'<line x1="{mark}" x2="{mark}" y1="0" y2="14" stroke="#222"/></svg> {rate:g}'
    )


def _cells(row: BurnRow) -> str:
    texts = [
        escape(row.customer),
        escape(row.klass),
        f"{row.objective:.2%} in {row.latency_s:g} s",
    ]
    numbers = [row.requests, row.bad, row.p50_ms, row.p99_ms]
    bars = [_bar(row.rates[window_s], row.severity) for window_s in WINDOWS_S]
    cells = [f"<td>{text}</td>" for text in texts]
    cells += [f'<td class="n">{"-" if n is None else n}</td>' for n in numbers]
    cells += [f"<td>{bar}</td>" for bar in bars]
    cells.append(f"<td>{row.severity.value}</td>")
    return f"<tr>{''.join(cells)}</tr>"


def render_burn(report: BurnReport) -> str:
    """Return the page; rows with alerts come first."""
    order = [Severity.PAGE, Severity.TICKET, Severity.NONE]
    rows = sorted(report.rows, key=lambda row: (order.index(row.severity), row.customer))
    heads = ["customer", "class", "objective", "requests", "bad", "p50 ms", "p99 ms"]
    heads += [f"burn, {window_name(window_s)}" for window_s in WINDOWS_S] + ["alert"]
    head = "".join(f"<th>{name}</th>" for name in heads)
    body = "\n".join(_cells(row) for row in rows)
    warning = ""
    if report.missing:
        names = escape(", ".join(report.missing))
        warning = f'<p class="warn">Not counted, since they did not answer: {names}.</p>'
    return f"""<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title><style>{STYLE}</style>
<h1>Service-level burn</h1>
<p>A burn rate of 1 (the mark) spends the error budget exactly over its period. Counted at
{escape(", ".join(report.routers))}.</p>{warning}
<table><thead><tr>{head}</tr></thead><tbody>
{body}
</tbody></table></html>
"""
