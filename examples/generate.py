"""Writes the ready examples: ``python examples/generate.py``.

Sizes and availability zones are the brief's. Keys are the SHA-256 of ``demo-key-CUSTOMER``; a real
deployment makes its own.
"""

import json
from hashlib import sha256
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
LARGE_SHARE = 4.0

REGISTRY_CUSTOMERS = [
    "suva-counter", "suva-roadside", "nasinu-counter", "lami-counter", "nadi-counter",
    "lautoka-counter", "labasa-counter", "ba-counter", "sigatoka-counter", "audit",
]  # fmt: skip
CEDARLINE_CUSTOMERS = [
    "parks-king", "parks-pierce", "schools-north", "schools-south", "parks-snohomish",
    "schools-east", "parks-kitsap", "schools-west", "parks-thurston", "inspector-training",
]  # fmt: skip

REGISTRY: dict[str, Any] = {
    "name": "registry",
    "zones": ["suva-a", "suva-b", "nasinu", "lami"],
    "customers": REGISTRY_CUSTOMERS,
    "large": 3,
    "classes": [
        {"name": "lookup", "priority": 0, "quality_target": 0.70, "deadline_s": 3.0,
         "objective": 0.999, "objective_latency_s": 1.0},
        {"name": "renewal", "priority": 1, "quality_target": 0.85, "deadline_s": 10.0,
         "repeatable": False, "objective": 0.999, "objective_latency_s": 3.0},
        {"name": "summary", "priority": 6, "quality_target": 0.80, "deadline_s": 120.0},
        {"name": "letter", "priority": 7, "quality_target": 0.85, "deadline_s": 120.0,
         "repeatable": False},
        {"name": "default", "priority": 5, "quality_target": 0.75, "deadline_s": 60.0},
    ],
    "models": [
        ("plate-small", "2026-10", "active", 0.05, 0.15, 24, {"*": 0.72, "letter": 0.55}),
        ("registry-mid", "2026-09", "active", 0.30, 0.90, 24, {"*": 0.86}),
        ("registry-mid", "2026-11", "staged", 0.28, 0.85, 4, {"*": 0.87}),
        ("registry-large", "2026-08", "active", 1.50, 4.50, 8, {"*": 0.95}),
    ],
    "services": [
        ("clerk-assist", 10, []),
        ("registry-api", 4, ["POST /renewals", "POST /transfers"]),
    ],
}  # fmt: skip

CEDARLINE: dict[str, Any] = {
    "name": "cedarline",
    "zones": ["hall-a", "hall-b", "hall-c", "hall-d"],
    "customers": CEDARLINE_CUSTOMERS,
    "large": 2,
    "classes": [
        {"name": "question", "priority": 2, "quality_target": 0.75, "deadline_s": 20.0},
        {"name": "draft", "priority": 4, "quality_target": 0.88, "deadline_s": 90.0,
         "objective": 0.99, "objective_latency_s": 20.0},
        {"name": "tag", "priority": 3, "quality_target": 0.90, "deadline_s": 30.0,
         "repeatable": False, "objective": 0.999, "objective_latency_s": 10.0},
        {"name": "default", "priority": 5, "quality_target": 0.75, "deadline_s": 60.0},
    ],
    "models": [
        ("code-small", "2026-10", "active", 0.05, 0.15, 22, {"*": 0.76, "draft": 0.60}),
        ("hazard-mid", "2026-09", "active", 0.35, 1.00, 30, {"*": 0.90}),
        ("hazard-mid", "2026-11", "staged", 0.33, 0.95, 6, {"*": 0.91}),
        ("hazard-large", "2026-07", "active", 1.60, 4.80, 12, {"*": 0.96}),
    ],
    "services": [
        ("drafter", 6, []),
        ("fieldapp", 4, ["POST /tags"]),
    ],
}  # fmt: skip


def make_config(spec: dict[str, Any]) -> dict[str, Any]:
    """Return the configuration document of a deployment."""
    models = sorted({row[0] for row in spec["models"]})
    return {
        "customers": [make_customer(spec, index) for index in range(len(spec["customers"]))],
        "classes": spec["classes"],
        "models": [{"name": name} for name in models],
        "versions": [make_version(row) for row in spec["models"]],
        "services": [
            {"name": name, "non_repeatable": patterns} for name, _, patterns in spec["services"]
        ],
        "keys": [
            {"name": "session-2026-11", "secret": f"demo-signing-key-{spec['name']}-" + "0" * 24}
        ],
        "policies": [{"name": "policy", "session_ttl_s": 3600.0}],
    }


def make_customer(spec: dict[str, Any], index: int) -> dict[str, Any]:
    """Return one customer; the first few are large."""
    name = spec["customers"][index]
    is_large = index < spec["large"]
    limits = {
        "requests_per_s": 200.0 if is_large else 40.0,
        "burst": 400 if is_large else 80,
        "reservation": 0.2 if is_large else 0.04,
        "share": LARGE_SHARE if is_large else 1.0,
    }
    return {
        "name": name,
        "key_sha256": [sha256(f"demo-key-{name}".encode()).hexdigest()],
        "models": sorted({row[0] for row in spec["models"]}),
        "services": [row[0] for row in spec["services"]],
        "limits": limits,
    }


def make_version(row: tuple) -> dict[str, Any]:
    """Return one version."""
    model, name, state, price_in, price_out, _, quality = row
    return {
        "model": model,
        "name": name,
        "state": state,
        "input_micros_per_token": price_in,
        "output_micros_per_token": price_out,
        "quality": quality,
    }


def make_processes(spec: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the settings of every process: three routers, and an agent beside each endpoint."""
    zones = spec["zones"]
    platform = {"log": "http://10.0.0.10:9000", "hosts": "http://10.0.0.11:9000"}
    processes: list[dict[str, Any]] = []
    for index in range(3):
        address = f"10.1.0.{index + 1}"
        processes.append(
            {
                "role": "router",
                "name": f"router-{index + 1}",
                "zone": zones[index],
                "listen": {
                    "callers": f"{address}:8080",
                    "operators": f"{address}:8081",
                    "link": f"{address}:7000",
                },
                "platform": platform,
                "link_keys": {"public": "P" * 40, "secret": "S" * 40},
            }
        )
    for index, (name, targets, slots) in enumerate(list_endpoints(spec)):
        address = f"10.2.{index // 200}.{index % 200 + 1}"
        processes.append(
            {
                "role": "agent",
                "name": name,
                "zone": zones[index % len(zones)],
                "listen": {"link": f"{address}:7000", "health": f"{address}:8081"},
                "backend": {"url": f"http://{address}:8000", "targets": targets, "slots": slots},
                "link_keys": {"public": "P" * 40, "secret": "S" * 40},
            }
        )
    return processes


def list_endpoints(spec: dict[str, Any]) -> list[tuple[str, list[str], int]]:
    """Return name, targets and slots of every endpoint."""
    rows: list[tuple[str, list[str], int]] = []
    for model, version, _, _, _, count, _ in spec["models"]:
        target = f"{model}@{version}"
        rows += [(f"{model}-{version}-{index + 1:02d}", [target], 8) for index in range(count)]
    for service, count, _ in spec["services"]:
        rows += [(f"{service}-{index + 1:02d}", [service], 16) for index in range(count)]
    return rows


def write_json(path: Path, value: Any) -> None:
    """Write a JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=2) + "\n")


def main() -> None:
    """Write every example."""
    for spec in (REGISTRY, CEDARLINE):
        folder = HERE / spec["name"]
        write_json(folder / "config.json", make_config(spec))
        processes = make_processes(spec)
        for settings in processes:
            write_json(folder / "settings" / f"{settings['name']}.json", settings)


if __name__ == "__main__":
    main()
