"""The settings and the configuration file of a small deployment, in the form of the deploy page."""

import copy
import json
from pathlib import Path
from typing import Any

SECOND = 1_000_000

# Kigali's settings as the wire page shows them; the cases state what they change.
KIGALI: dict[str, Any] = {
    "Azs": ["kacyiru-room"],
    "Zone": "kacyiru-room",
    "Discovery": "push",
    "Family": "queries",
    "FamilyInfo": {
        "Bills": False,
        "BlockedByLoads": [True, False, False],
        "Dop": [1, 3, 2],
        "Grants": False,
        "HoldsTables": [False, False, True],
        "KindCores": [8, 16],
        "MemoryShort": "overcommit",
        "MostGrant": 0.4,
        "NotePeriod": 1_000_000,
        "RamOfKindMb": [16384.0, 32768.0],
        "RanksHeeded": True,
    },
    "HostTypes": ["std-8", "std-16"],
    "Instances": 1,
    "Me": 0,
    "Obligations": {
        "AnswerSlack": 20_000,
        "AskEvery": 10_000_000,
        "ColdFrom": 0.32,
        "Fall": 3_000_000,
        "FallMultiple": 2.0,
        "RampTime": 13_000_000,
        "StopSendingWithin": 1_000_000,
    },
    "OverShareWorth": 0.05,
    "Period": 5000,
    "Permissions": {
        "Cancel": True,
        "ConnIdle": 30_000_000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 133_333,
        "DialTimeout": 250_000,
        "MaxAttempts": 3,
        "MaxRetryAfter": 500_000,
        "MostHeld": 26_666,
        "Multiplex": 100,
        "Peers": False,
        "Probes": False,
        "RetryAfter": True,
        "SecondCopies": False,
    },
    "Report": {"Columns": ["pending", "busy_reqs"], "Source": "piggyback"},
    "Services": [
        {
            "AimStretch": 1.5,
            "Deadline": 3 * SECOND,
            "DedupScope": "all",
            "Effect": "retryable",
            "LateShare": 0.0,
            "Name": "lookup",
            "Objective": 600_000,
            "Streamed": False,
            "Window": 5 * SECOND,
            "Worth": 1.0,
        },
        {
            "AimStretch": 2.5,
            "Deadline": 20 * SECOND,
            "DedupScope": "all",
            "Effect": "retryable",
            "LateShare": 0.3,
            "Name": "report",
            "Objective": 3 * SECOND,
            "Streamed": False,
            "Window": 5 * SECOND,
            "Worth": 7.5,
        },
        {
            "AimStretch": 2.5,
            "Deadline": 25 * SECOND,
            "DedupScope": "all",
            "Effect": "dedup",
            "LateShare": 0.6,
            "Name": "depot-load",
            "Objective": 3 * SECOND,
            "Streamed": False,
            "Window": 25 * SECOND,
            "Worth": 10.0,
        },
    ],
    "Tenants": [
        {"AllowancePerS": 58.0, "Fraction": 0.81, "Name": "nyarugenge-bikes"},
        {"AllowancePerS": 14.0, "Fraction": 0.19, "Name": "huye-cycle"},
    ],
    "Tier": 0,
    "Tiers": ["query-fleet"],
    "ValueBy": "request",
    "Weights": "silent",
}


def settings(**changes: Any) -> dict[str, Any]:
    """Return Kigali's settings with changes; a key `A__B` stands for the path A.B."""
    tree = copy.deepcopy(KIGALI)
    for path, value in changes.items():
        *parents, last = path.split("__")
        node = tree
        for parent in parents:
            node = node[parent]
        node[last] = value
    return tree


def service(tree: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the settings of one class."""
    return next(each for each in tree["Services"] if each["Name"] == name)


def write_config(
    path: Path,
    name: str,
    listen: tuple[str, int],
    nameserver: tuple[str, int],
    engines: list[dict[str, Any]],
    tree: dict[str, Any],
    rev: int = 1,
    operator: str = "",
    limits: dict[str, Any] | None = None,
) -> None:
    """Write the configuration file of one coordinator; `engines` are entries of the resolver's JSON form."""
    pool = {"index": rev, "snapshot": True, "endpoints": engines}
    content: dict[str, Any] = {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "nameserver": f"{nameserver[0]}:{nameserver[1]}",
        "known": {"rev": rev, "notices": [{"rev": rev, "pool": pool}]},
        "settings": tree,
    }
    if operator:
        content["operator"] = operator
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(content))
    temporary.replace(path)
