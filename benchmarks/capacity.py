"""``capacity``: docs/CAPACITY.md from the slopes that were measured.

``python -m benchmarks slopes > docs/capacity/slopes.json`` measures; this computes, and writes the
page. A test holds the page to the slopes.
"""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from msgspec import json

from benchmarks._fit import Fit

__all__ = ["PAGE", "SLOPES", "SWEEP", "make_page", "run"]

DOCS = Path(__file__).parents[1] / "docs"
SLOPES = DOCS / "capacity" / "slopes.json"
SWEEP = DOCS / "capacity" / "sweep.json"
PAGE = DOCS / "CAPACITY.md"

ROUTERS = 370
AGENTS = 12_000
HOMES = 8
FEEDERS = 2
REQUESTS_PER_S = 20_000
TOKENS_PER_S = 5_300_000
CHANGES_A_DAY = 32_000
SECONDS_A_DAY = 86_400
REPLACED_A_DAY = 1_900
REQUEST_SECONDS = 10.0
"""A request's time in the system, assumed: 265 tokens at 38 ms."""
KEYED_SHARE = 0.05
"""Share of requests with an idempotency key, assumed."""
CUSTOMERS = 1_000
"""Customers, assumed; today there are ten."""
BEATS_PER_S = 50.0
CHANGE_BYTES = 200
CLAIM_BYTES = 550
"""A claim and its settlement with a short answer, as in the scenarios' log."""
BUDGET_CORE = 0.011
BUDGET_MB = 64.0
BUDGET_BYTES_PER_S = 2000.0
BILLING_APPENDS = 100.0
CLAIM_APPENDS = 150.0
PENDING_BOUND = 20_000
OUTAGE_S = 3600.0
HOST_ROW_BYTES = 100
HOSTS_S = 2.0
LEASE_APPENDS = 0.2


@dataclass(frozen=True)
class Line:
    """One line of a role's table."""

    what: str
    value: str
    verdict: str
    mechanism: str

    def __str__(self) -> str:
        return f"| {self.what} | {self.value} | {self.verdict} | {self.mechanism} |"


def _fit(raw: dict[str, float]) -> Fit:
    return Fit(raw["base"], raw["slope"], raw["slope_error"])


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else f"**over, {value / budget:.1f} x**"


def _table(lines: list[Line]) -> str:
    head = "| what | at that size | letter's budget | mechanism |\n| --- | --- | --- | --- |\n"
    return head + "\n".join(str(line) for line in lines)


def _fit_row(name: str, fit: Fit, unit: str, per: str) -> str:
    return (
        f"| {name} | {fit.base:.4g} {unit} | {fit.slope:.4g} ± {fit.slope_error:.2g} {unit} {per} |"
    )


def router_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return what one of 370 routers costs."""
    agents = AGENTS * HOMES / ROUTERS
    by_agents = slopes["router_by_agents"]["fits"]
    fed = AGENTS * FEEDERS / ROUTERS
    changes = CHANGES_A_DAY / SECONDS_A_DAY
    change_core = changes * _fit(slopes["cpu_s_by_changes"]["router"]["fit"]).slope
    control_core = _fit(by_agents["core"]).at(agents) + change_core
    beats = _fit(by_agents["bytes_per_s"]).at(agents)
    feed = fed * changes * CHANGE_BYTES
    claims = REQUESTS_PER_S * KEYED_SHARE * CLAIM_BYTES
    customers = _fit(slopes["memory_by_customers"]["fits"]["router_mb"]).slope * CUSTOMERS
    control_mb = _fit(by_agents["resident_mb"]).at(agents) + customers
    open_requests = REQUESTS_PER_S / ROUTERS * REQUEST_SECONDS
    streams_mb = _fit(slopes["router_mb_by_streams"]["fit"]).slope * open_requests
    tokens = TOKENS_PER_S / ROUTERS
    token_core = _fit(slopes["router_core_by_tokens_per_s"]["fit"]).slope * tokens
    request_core = slopes["request_ms"]["router_ms"] / 1000 * REQUESTS_PER_S / ROUTERS
    host_list = (AGENTS + ROUTERS) * HOST_ROW_BYTES / HOSTS_S
    return [
        Line("agents known", f"{agents:.0f}", "", "subsets by rendezvous hash, 6 near and 2 far"),
        Line("control: processor", f"{control_core:.2%} of a core", _verdict(control_core, BUDGET_CORE), "heartbeats at 50 a second at most; follower of three streams"),
        Line("control: heartbeats", f"{beats / 1000:.1f} KB/s", _verdict(beats, BUDGET_BYTES_PER_S), "agents asked to beat every 5 s; news at once"),
        Line("control: configuration to agents", f"{feed / 1000:.1f} KB/s", _verdict(feed, BUDGET_BYTES_PER_S), "two feeding routers an agent, records not snapshots"),
        Line("control: reading claims", f"{claims / 1000:.0f} KB/s", _verdict(claims, BUDGET_BYTES_PER_S), "every router folds every claim: **breaks first**, see below"),
        Line("control: host list", f"{host_list / 1000:.0f} KB/s", _verdict(host_list, BUDGET_BYTES_PER_S), "whole list every 2 s: **breaks**, see below"),
        Line("control: memory", f"{control_mb:.0f} MB", _verdict(control_mb, BUDGET_MB), "Python with klein, pydantic, OpenTelemetry is 80 MB at rest"),
        Line("data: open requests", f"{open_requests:.0f}, {streams_mb:.0f} MB", "", "bounded buffers; the agent keeps the answer"),
        Line("data: tokens", f"{tokens:,.0f} a second, {token_core:.0%} of a core", "", "pieces of answers share frames for 5 ms"),
        Line("data: requests", f"{REQUESTS_PER_S / ROUTERS:.0f} a second, {request_core:.1%} of a core", "", "decision 48 µs whatever the number of endpoints"),
    ]  # fmt: skip


def agent_lines(slopes: dict[str, Any]) -> list[Line]:
    """Return what one of 12,000 agents costs."""
    agents_of_router = AGENTS * HOMES / ROUTERS
    beat_s = max(1.0, agents_of_router / BEATS_PER_S)
    by_routers = slopes["agent_by_routers"]["fits"]
    changes = CHANGES_A_DAY / SECONDS_A_DAY
    change_core = changes * _fit(slopes["cpu_s_by_changes"]["agent"]["fit"]).slope
    core = _fit(by_routers["core"]).at(HOMES) + change_core
    beats = _fit(by_routers["bytes_per_s"]).slope * HOMES / beat_s
    feed = FEEDERS * changes * CHANGE_BYTES
    customers = _fit(slopes["memory_by_customers"]["fits"]["agent_mb"]).slope * CUSTOMERS
    memory = _fit(by_routers["resident_mb"]).at(HOMES) + customers
    per_s = REQUESTS_PER_S / AGENTS
    request_core = slopes["request_ms"]["agent_ms"] / 1000 * per_s
    return [
        Line("control: processor", f"{core:.2%} of a core", _verdict(core, BUDGET_CORE), "one tick a second"),
        Line("control: bytes", f"{(beats + feed) / 1000:.2f} KB/s", _verdict(beats + feed, BUDGET_BYTES_PER_S), f"heartbeat to 8 routers every {beat_s:.1f} s, changes from 2"),
        Line("control: memory", f"{memory:.0f} MB", _verdict(memory, BUDGET_MB), "no klein, documents or TLS in memory; ledger of 4,096, buffer of 2 M characters, 2,000 usage records"),
        Line("data: requests", f"{per_s:.2f} a second, {request_core:.2%} of a core", "", "one engine call each"),
    ]  # fmt: skip


def log_lines() -> list[Line]:
    """Return what the log service is asked for."""
    changes = CHANGES_A_DAY / SECONDS_A_DAY
    appends = BILLING_APPENDS + CLAIM_APPENDS + LEASE_APPENDS + changes
    bill_interval_s = ROUTERS / BILLING_APPENDS
    claim_interval_s = ROUTERS / CLAIM_APPENDS
    wakes = CLAIM_APPENDS * ROUTERS
    return [
        Line("appends", f"{appends:.0f} a second", "several hundred: within", "group commit, interval stretched with the number of routers"),
        Line("records in one billing append", f"{REQUESTS_PER_S / BILLING_APPENDS:.0f}", "", f"one append a router every {bill_interval_s:.1f} s"),
        Line("wait of a keyed request for its claim", f"{claim_interval_s:.1f} s", "**over the 0.39 s to the first token**", "see below"),
        Line("reads answered", f"{wakes:,.0f} a second", "not stated; surely over", "every router waits on the claims stream"),
    ]  # fmt: skip


def outage_text(slopes: dict[str, Any]) -> str:
    """Return how a region fares that cannot reach the log for an hour."""
    per_router = REQUESTS_PER_S / ROUTERS
    fills_s = PENDING_BOUND / per_router
    needed = per_router * OUTAGE_S
    slope = _fit(slopes["mb_by_pending_bills"]["fit"]).slope
    return (
        f"A router bills {per_router:.0f} requests a second at the peak, so its {PENDING_BOUND:,} "
        f"waiting usage records ({slope * PENDING_BOUND:.0f} MB at {slope * 1000:.2f} KB each) are "
        f"full after {fills_s / 60:.0f} minutes; from then on it refuses new work, truthfully, "
        f"before it drops a record. An hour at the peak needs {needed:,.0f} records, "
        f"{slope * needed:.0f} MB a router: over the 64 MB. Until then requests without keys are "
        "served by the configuration at hand, keyed ones are refused, withdrawals act among the "
        "processes that reach each other, and nothing that other regions decide arrives. What "
        "replaces it: records folded in memory to one line for each customer and version with the "
        "request ids as a compact set, which the billing stream then takes as one record."
    )


def _sweep_section(sweeps: list[dict[str, Any]]) -> str:
    """Return the tables of what users' sweeps measured on the path that they run."""
    return "\n\n".join(_sweep_table(sweep) for sweep in sweeps)


def _sweep_table(sweep: dict[str, Any]) -> str:
    sizes = " | ".join(f"{size} routers" for size in sweep["sizes"])
    verdict = "a rule was broken" if sweep["rule_broken"] else "no rule broken"
    target = f"at {sweep['target']:,}" if sweep["target"] else "no target named"
    lines = [
        f"Sweep of the {sweep['deployment']} deployment, code {sweep['code']}; {verdict} at any size.",
        "Middle / busiest router; the last column carries the power on, it is not played.",
        "",
        f"| what | {sizes} | power | {target} |",
        "| --- |" + " --- |" * (len(sweep["sizes"]) + 2),
    ]
    lines += ["| " + " | ".join(row) + " |" for row in sweep["rows"]]
    return "\n".join(lines)


def make_page(slopes: dict[str, Any], sweeps: list[dict[str, Any]]) -> str:
    """Return docs/CAPACITY.md."""
    by_agents = slopes["router_by_agents"]["fits"]
    by_routers = slopes["agent_by_routers"]["fits"]
    customers = slopes["memory_by_customers"]["fits"]
    rows = [
        _fit_row("router, processor at rest", _fit(by_agents["core"]), "core", "an agent"),
        _fit_row("router, link", _fit(by_agents["bytes_per_s"]), "B/s", "an agent"),
        _fit_row("router, memory", _fit(by_agents["resident_mb"]), "MB", "an agent"),
        _fit_row("router, memory", _fit(customers["router_mb"]), "MB", "a customer"),
        _fit_row("router, memory", _fit(slopes["router_mb_by_streams"]["fit"]), "MB", "an open stream"),
        _fit_row("router, memory", _fit(slopes["mb_by_pending_bills"]["fit"]), "MB", "a waiting usage record"),
        _fit_row("router, processor", _fit(slopes["router_core_by_tokens_per_s"]["fit"]), "core", "a token a second"),
        _fit_row("router, processor", _fit(slopes["cpu_s_by_changes"]["router"]["fit"]), "s", "a change"),
        _fit_row("agent, processor at rest", _fit(by_routers["core"]), "core", "a router"),
        _fit_row("agent, link", _fit(by_routers["bytes_per_s"]), "B/s", "a router"),
        _fit_row("agent, memory", _fit(by_routers["resident_mb"]), "MB", "a router"),
        _fit_row("agent, memory", _fit(customers["agent_mb"]), "MB", "a customer"),
        _fit_row("agent, processor", _fit(slopes["cpu_s_by_changes"]["agent"]["fit"]), "s", "a change"),
    ]  # fmt: skip
    return f"""# Capacity at the size to design for

## The path that users run: slopes of the sweep

{_sweep_section(sweeps)}

**What breaks first there**: recovery. After the loss of all routers the time to serve again grows with the fleet: at 300 routers 1.5 s on fast links (Cedarline,
Tuul), 2.5 to 3.5 s where some links have 5 Mbit/s (large, Tuul grown, Cedarline grown), 8.5 s on shifted, the only one with zones out and cold endpoints (and 5.5 s after a zone was
lost). The bytes of the busiest router grow as the fleet does, the middle one's do not. Neither is mended; what is
suspected: [design note 19](design/0019-recovery-time.md). What carries the rest, mechanism by mechanism: [the direct path](capacity/direct.md).

## The path with agents

Made by `python -m benchmarks capacity` from `docs/capacity/slopes.json`, which
`python -m benchmarks slopes` measured on one machine of 8 cores; a test holds the page to it. The
size is the letter's: {ROUTERS} nodes, {AGENTS:,} replicas, 3 regions, 8 availability zones,
{REQUESTS_PER_S:,} requests and {TOKENS_PER_S / 1e6:.1f} million tokens a second, 36 models and
versions, {CHANGES_A_DAY:,} changes a day, {REPLACED_A_DAY:,} hosts replaced a day. Budgets for
control on a node: 1.1 % of a core, 64 MB, 2 KB a second.

Assumed, since the letter does not say: {CUSTOMERS:,} customers, {KEYED_SHARE:.0%} of requests with
an idempotency key, {REQUEST_SECONDS:.0f} s in the system for a request, {CHANGE_BYTES} bytes a
change, {CLAIM_BYTES} bytes for a claim with its settlement.

## A router

{_table(router_lines(slopes))}

## An agent

{_table(agent_lines(slopes))}

## The log

{_table(log_lines())}

## Times

A change is in force everywhere 0.06 s after its append, 0.5 s with a fifth of all messages lost
(benchmark `recovery`, 4 routers, 12 agents, virtual clock). At 370 routers the two feeding routers
send at once, the others step in after a heartbeat, 5.2 s: over the 5 s only where both feeders are
lost at that moment. Appending itself waits for 20 ms. The first token of a request without a key is
3.0 ms later than without umberhitch (benchmark `relay`); of one with a key see above.

Membership: replacing one router moves 0.35 % of the pairs of agent and router, ten 2.0 % (benchmark
`subsets`); {REPLACED_A_DAY:,} hosts a day is one every {SECONDS_A_DAY / REPLACED_A_DAY:.0f} s. A
router that notices works out its share in 34 ms. A rack that goes is noticed after three
heartbeats, 15.6 s at that size (3 s today); attempts at it end after 1.5 s and are tried elsewhere
if they may be repeated. An availability zone that goes leaves each agent of the others with all its
near routers and at most two far ones fewer.

## What breaks first, and what replaces it

1. **Claims.** Every router reads every claim, and a keyed request waits for a stretched interval.
   The fold holds 200,000 keys, {200_000 / (REQUESTS_PER_S * KEYED_SHARE):.0f} s of them at that
   rate. To replace: the stream split by key hash into partitions, each committed and folded by one
   of three routers by rendezvous hash, which others ask over the link; the log's order still
   decides, so that a wrong or paused owner is harmless.
2. **Host list.** To replace: asked for by availability zone and only when changed (an entity tag),
   with agents' own announcements in between.
3. **Usage records in a long outage**: below.
4. **Memory of a router at rest.** To replace: metrics without the SDK's readers, operators'
   interface loaded when first asked.
5. **Heartbeats and configuration to agents.** To replace: heartbeats that name only what changed;
   changes as deltas of the agent's own view.
6. **Routers' view of each other.** Each tells three others a second, so that at {ROUTERS} a router is
   heard every {ROUTERS / 3:.0f} s by each other and counts as lost after {ROUTERS:.0f} s; judges and
   lease candidates differ between routers meanwhile (harmless: changes are guarded, leases decided
   by the log), and a lost router's keys are settled late. To replace: digests that pass on whom
   they have heard of.

## A region that cannot reach the log for an hour

{outage_text(slopes)}

## The slopes

| what | base | slope |
| --- | --- | --- |
{chr(10).join(rows)}

Token and request costs are of the process under load: router {slopes["request_ms"]["router_ms"]:.2f}
ms and agent {slopes["request_ms"]["agent_ms"]:.2f} ms a whole request. The fit of heartbeats is not
a straight line by design: above 50 agents they slow down, which the error shows.
"""


def run() -> dict[str, Any]:
    """Write the page and return its verdicts."""
    slopes = json.decode(SLOPES.read_bytes())
    PAGE.write_text(make_page(slopes, json.decode(SWEEP.read_bytes())))
    lines = [*router_lines(slopes), *agent_lines(slopes), *log_lines()]
    return {"written": str(PAGE.relative_to(DOCS.parent)), "lines": [str(line) for line in lines]}
