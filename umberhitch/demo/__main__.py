"""``python -m umberhitch.demo``: the main job on stand-ins, in both deployments, on loopback."""

import sys
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from absl import app as absl_app
from absl import flags
from msgspec import json
from tabulate import tabulate
from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.python.failure import Failure

from umberhitch.adapters.logs import configure_logs
from umberhitch.adapters.steady import make_steady
from umberhitch.config.documents import parse_document
from umberhitch.demo._checks import Check, check_promises, fold_bills
from umberhitch.demo._client import Answer, DemoCaller
from umberhitch.demo._direct import run_direct
from umberhitch.embedded import EmbeddedDeployment, EndpointSpec, start_deployment
from umberhitch.fakes import EnginePace
from umberhitch.ports.clock import pause

default_reactor: Any = _reactor
EXAMPLE = Path(__file__).parents[2] / "examples" / "registry" / "config.json"
ZONES = ("suva-a", "suva-b", "nasinu", "lami")
ROUTERS = (("router-1", "suva-a"), ("router-2", "nasinu"))
ENGINES = {
    "plate-small@2026-10": 4,
    "registry-mid@2026-09": 3,
    "registry-mid@2026-11": 2,
    "registry-large@2026-08": 2,
}
PACE = EnginePace(slots=8, token_s=0.01)
OLD_VERSION = "registry-mid@2026-09"
NEW_VERSION = "registry-mid@2026-11"
LOST_ENGINE = "plate-small-1"
SEED = 20261202
WITHDRAWAL_SETTLE_S = 1.0

_SERVE = flags.DEFINE_boolean("serve", False, "keep the deployment up after the run")
_EXAMPLE = flags.DEFINE_string("config", str(EXAMPLE), "configuration document to publish")


class Demo:
    """One run."""

    def __init__(self, reactor: Any, document: Any) -> None:
        self.reactor = reactor
        self.document = document
        self.deployment: EmbeddedDeployment = start_deployment(reactor)
        self.caller = DemoCaller(reactor)
        self.rng = Random(SEED)
        self.answers: list[Answer] = []
        self.customers = [row["name"] for row in document["customers"]]
        self.withdrawn_at_s = 0.0

    async def run(self) -> bool:
        """Run every step and return whether all promises held."""
        self._start()
        await self._until_ready()
        await self._mixed_work(120)
        await self._keyed_work()
        await self._roll_out_with_session()
        await self._lose_engine()
        await pause(self.reactor, 2.0)
        return self._report()

    def _start(self) -> None:
        self.deployment.publish(self.document)
        for name, zone in ROUTERS:
            self.deployment.add_router(name, zone)
        index = 0
        for target, count in ENGINES.items():
            for number in range(count):
                name = f"{target.split('@')[0]}-{number + 1}"
                if target == NEW_VERSION:
                    name += "-new"
                spec = EndpointSpec(name, ZONES[index % len(ZONES)], target, pace=PACE)
                self.deployment.add_endpoint(spec)
                index += 1
        for target in ("clerk-assist", "registry-api"):
            spec = EndpointSpec(f"{target}-1", ZONES[0], target, is_service=True)
            self.deployment.add_endpoint(spec)

    async def _until_ready(self) -> None:
        wanted = len(self.deployment.agents)
        for _ in range(200):
            await pause(self.reactor, 0.05)
            heard = [
                sum(endpoint.revision >= 0 for endpoint in node.router.fleet.endpoints.values())
                for node in self.deployment.routers.values()
            ]
            if all(count == wanted for count in heard):
                return
        raise RuntimeError(f"only {heard} of {wanted} agents were heard")

    def _router(self) -> str:
        node = self.rng.choice(list(self.deployment.routers.values()))
        return node.callers_address

    async def _gather(self, calls: list[Any]) -> None:
        results = await DeferredList([ensureDeferred(call) for call in calls])
        for _, result in results:
            if isinstance(result, Failure):
                result.raiseException()
            self.answers.append(result)

    async def _chat(self, klass: str, question: str, **extra: Any) -> Answer:
        await pause(self.reactor, self.rng.random() * 1.5)
        customer = self.rng.choice(self.customers)
        return await self.caller.chat(self._router(), customer, klass, question, **extra)

    async def _mixed_work(self, count: int) -> None:
        classes = ["lookup"] * 6 + ["summary"] * 2 + ["letter", "renewal"]
        calls = [
            self._chat(klass, f"{klass} number {index} for plate {self.rng.randrange(10**6)}")
            for index, klass in enumerate(self.rng.choices(classes, k=count))
        ]
        await self._gather(calls)

    async def _keyed_work(self) -> None:
        """Send each renewal twice, with the same key, to different routers."""
        addresses = [node.callers_address for node in self.deployment.routers.values()]
        calls = []
        for index in range(10):
            for address in addresses:
                url = f"http://{address}/v1/services/registry-api/renewals"
                body = {"plate": f"FJ-{index}"}
                headers = {"Idempotency-Key": f"renewal-{index}"}
                calls.append(
                    self.caller.call("POST", url, self.customers[0], "renewal", body, headers)
                )
        await self._gather(calls)

    async def _admin(self, method: str, path: str, body: Any = None) -> Answer:
        node = self.deployment.routers["router-2"]
        url = f"http://{node.operators_address}{path}"
        return await self.caller.call(method, url, "operator", "", body)

    async def _set_state(self, version: str, state: str, share: float | None = None) -> None:
        op: dict[str, Any] = {"type": "state", "version": version, "state": state}
        if share is not None:
            op["share"] = share
        answer = await self._admin("POST", "/admin/v1/changes", {"ops": [op]})
        if not answer.body.get("accepted"):
            raise RuntimeError(f"change refused: {answer.body}")

    async def _roll_out_with_session(self) -> None:
        """Open a session, roll out the new version, retire the old one, then withdraw it."""
        customer = self.customers[0]
        url = f"http://{self._router()}/v1/sessions"
        opened = await self.caller.call(
            "POST", url, customer, body={"model": "registry-mid", "request_class": "letter"}
        )
        session = {"Umberhitch-Session": opened.body["token"]}
        await self._set_state(NEW_VERSION, "active", 0.3)
        await self._mixed_work(40)
        await self._set_state(OLD_VERSION, "retired")
        pinned = await self.caller.chat(
            self._router(), customer, "summary", "pinned question", headers=session
        )
        self.answers.append(pinned)
        if pinned.model != opened.body["model"]:
            raise RuntimeError(f"the session moved to {pinned.model}: {pinned}")
        await self._set_state(OLD_VERSION, "withdrawn")
        self.withdrawn_at_s = self.reactor.seconds()
        ended = await self.caller.chat(
            self._router(), customer, "summary", "question after the end", headers=session
        )
        self.answers.append(ended)
        await self._mixed_work(40)

    async def _lose_engine(self) -> None:
        self.reactor.callLater(0.4, self.deployment.engines[LOST_ENGINE].lose)
        await self._mixed_work(60)

    # Report

    def _report(self) -> bool:
        print("\nOutcomes\n" + tabulate(self._outcome_rows(), headers="keys"))
        print("\nLatency by class\n" + tabulate(self._latency_rows(), headers="keys"))
        bills = fold_bills(self.deployment)
        rows = [
            {
                "customer": name,
                "requests": bill.requests,
                "input tokens": bill.input_tokens,
                "output tokens": bill.output_tokens,
                "cost (micros)": bill.cost_micros,
            }
            for name, bill in sorted(bills.bills.items())
        ]
        print("\nBills\n" + tabulate(rows, headers="keys"))
        checks = check_promises(
            self.deployment,
            parse_document(self.document),
            self.answers,
            OLD_VERSION,
            self.withdrawn_at_s,
            WITHDRAWAL_SETTLE_S,
        )
        return _print_checks(checks)

    def _outcome_rows(self) -> list[dict[str, Any]]:
        counts = Counter(
            (answer.klass or "-", answer.status, answer.reason) for answer in self.answers
        )
        return [
            {"class": klass, "outcome": status, "reason": reason, "count": count}
            for (klass, status, reason), count in sorted(counts.items())
        ]

    def _latency_rows(self) -> list[dict[str, Any]]:
        rows = []
        for klass in sorted({answer.klass for answer in self.answers}):
            times = sorted(a.latency_s for a in self.answers if a.klass == klass)
            rows.append(
                {
                    "class": klass or "-",
                    "count": len(times),
                    "p50 ms": round(times[len(times) // 2] * 1000),
                    "p99 ms": round(times[int(len(times) * 0.99)] * 1000),
                }
            )
        return rows


def _print_checks(checks: list[Check]) -> bool:
    print("\nPromises")
    for check in checks:
        print(f"  {'held  ' if check.holds else 'BROKEN'} {check.promise} {check.detail}")
    return all(check.holds for check in checks)


def main(argv: list[str]) -> int:
    """Run the demo and return its exit code."""
    make_steady(default_reactor)
    configure_logs("ERROR", "demo")
    print("1. Deployment with agents beside the endpoints (roles router and agent)")
    holds = _run_with_agents()
    if _SERVE.value:
        return 0 if holds else 1
    print("\n2. Deployment on the users' platform (role gateway, as in deploy/system.toml)")
    return 0 if _print_checks(run_direct()) and holds else 1


def _run_with_agents() -> bool:
    with open(_EXAMPLE.value, "rb") as file:
        document = json.decode(file.read())
    demo = Demo(default_reactor, document)
    result = {"ok": False}

    def finish(value: Any) -> None:
        if isinstance(value, Failure):
            value.printTraceback(file=sys.stderr)
        result["ok"] = value is True
        if _SERVE.value and result["ok"]:
            _print_addresses(demo)
            return
        demo.deployment.stop()
        default_reactor.callLater(0.2, default_reactor.stop)

    def begin() -> None:
        running: Deferred[bool] = ensureDeferred(demo.run())
        running.addBoth(finish)

    default_reactor.callWhenRunning(begin)
    default_reactor.run()
    return result["ok"]


def _print_addresses(demo: Demo) -> None:
    print("\nServing until Ctrl-C:")
    for name, node in demo.deployment.routers.items():
        print(f"  {name}: callers {node.callers_address}, operators {node.operators_address}")
    print(f"  a customer's key: demo-key-{demo.customers[0]}")


if __name__ == "__main__":
    absl_app.run(main)
