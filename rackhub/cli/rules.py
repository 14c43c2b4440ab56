"""rackhub rules: the rule book that all gateways of a fleet hold: look into it, edit it, undo.

Usage:
  rackhub rules show [VERSION] --at ADDRESS [--json]
  rackhub rules history --at ADDRESS [--limit N] [--json]
  rackhub rules diff [OLD NEW] --at ADDRESS [--json]
  rackhub rules edit FILE --on VERSION --author NAME --reason TEXT --at ADDRESS [--id ID] [--drop PART]...
                     [--trial TIME [--first N]] [--wait TIME] [--json]
  rackhub rules undo --author NAME --reason TEXT --at ADDRESS [--on VERSION] [--to VERSION] [--id ID]
                     [--wait TIME] [--json]
  rackhub rules confirm --author NAME --reason TEXT --at ADDRESS [--on VERSION] [--id ID] [--wait TIME] [--json]
  rackhub rules status --at ADDRESS [--json]
  rackhub rules (-h | --help)

Commands:
  show     One version whole; without a number the newest that the gateway knows.
  history  The kept versions, newest first: who, why, what became of it.
  diff     What differs between two versions; without numbers what the newest changed.
  edit     A new version: each part (timings, gather, shed) that FILE has takes the place of the one in --on.
  undo     A new version with the content of the one before --on, or of --to.
  confirm  Keep what is on trial.
  status   Who holds what, who can't take it, the keepers, the trial.

Options:
  --at ADDRESS    The control port of any gateway: host:port of its [fleet] control.
  --on VERSION    What the change builds on; undo and confirm: the newest that the gateway knows.
  --to VERSION    Any kept version; 0: what the files say.
  --author NAME   Who wants it.
  --reason TEXT   Why.
  --id ID         Of the change: said again under the same one it does nothing twice; without it one is drawn, and
                  printed where the outcome is unknown.
  --drop PART     Take a part out: the files hold for it.
  --trial TIME    Hold it for so long, such as 30s, then undo it, unless it is confirmed.
  --first N       The trial at N gateways; without it a quarter.
  --wait TIME     Until all that live hold it, so long at most [default: 0s].
  --limit N       So many versions [default: 20].
  --json          One JSON document instead of text.

In a fleet with relays a version is a revision, changes are asked of a voter, and there are no trials.

FILE is TOML (or JSON, by its name) with tables timings, gather, shed, as in the operator's file.

Exit status: 0 done, and with --wait held by all that live; 1 refused, unknown, or not held by all: the words name who
and why; 2 bad usage, a file that can't be read, content that a gateway's check refuses, no answer at ADDRESS.
"""

import json
import os
import re
import time
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from rackhub.address import parse_ipv4_address
from rackhub.cli.relayed_rules import print_relayed
from rackhub.cli.words import Ended, as_json, number, parse, refuse

MOST = 1 << 53
PATIENCE = 15.0  # seconds for an answer, beyond what is to be waited for
PARTS = ("timings", "gather", "shed")


def ask(at: tuple[str, int], words: dict[str, Any], timeout: float) -> dict[str, Any]:
    """One call at a gateway's control port."""
    from rackhub.fleet.control.client import send_request  # loaded where it is used

    return dict(send_request(at, words, timeout))


def run(words: Sequence[str]) -> int:
    options = parse(__doc__ or "", words)
    name = next(name for name in HANDLERS if options[name])
    try:
        at = parse_ipv4_address(options["--at"], "--at")
    except ValueError as bad:
        raise refuse(str(bad)) from None
    call, shown = HANDLERS[name]
    asked = call(options)
    try:
        told = ask(at, {"call": f"rules.{name}", **asked}, PATIENCE + asked.get("wait_ms", 0) / 1_000)
    except (OSError, ValueError) as bad:
        said = f"; what was asked may have been done: say it again with --id {asked['id']}" if "id" in asked else ""
        raise refuse(f"--at {options['--at']}: {bad}{said}") from None
    if options["--json"]:
        as_json(told)
    elif "revision" in told:
        print_relayed(name, told)
    elif "error" not in told or "version" in told:
        shown(told)
    if "error" in told:
        refuse(f"rules {name}: {told['error']}")
        raise Ended(2 if told.get("exit") == 2 else 1)
    return 0


# ---- what is asked


def _span(options: dict[str, Any], name: str) -> int:
    """A time such as 30s, 500ms or 2m, in milliseconds."""
    found = re.fullmatch(r"(\d{1,9})(ms|s|m)", options[name])
    if not found:
        raise refuse(f"{name}: {options[name]!r} is no time such as 500ms, 30s or 2m")
    return int(found[1]) * {"ms": 1, "s": 1_000, "m": 60_000}[found[2]]


def _version(options: dict[str, Any], name: str) -> int:
    return -1 if options[name] is None else int(number(options, name, 0, MOST))


def _show(options: dict[str, Any]) -> dict[str, Any]:
    return {"version": _version(options, "VERSION")}


def _history(options: dict[str, Any]) -> dict[str, Any]:
    return {"limit": number(options, "--limit", 1, 1_000)}


def _diff(options: dict[str, Any]) -> dict[str, Any]:
    return {"old": _version(options, "OLD"), "version": _version(options, "NEW")}


def _change(options: dict[str, Any]) -> dict[str, Any]:
    for name in ("--author", "--reason"):
        if not options[name].strip():
            raise refuse(f"{name}: {options[name]!r} is empty")
    return {
        "author": options["--author"],
        "reason": options["--reason"],
        "on": _version(options, "--on"),
        "id": options["--id"] or os.urandom(8).hex(),
        "wait_ms": _span(options, "--wait"),
    }


def _edit(options: dict[str, Any]) -> dict[str, Any]:
    parts: dict[str, Any] = _file(Path(options["FILE"]))
    for name in options["--drop"]:
        if name not in PARTS or name in parts:
            raise refuse(f"--drop: {name!r} is none of {', '.join(PARTS)}, or the file has it too")
        parts[name] = None
    trial = 0 if options["--trial"] is None else _span(options, "--trial")
    first = 0 if options["--first"] is None else number(options, "--first", 1, 10_000)
    return {**_change(options), "parts": parts, "trial_ms": trial, "first": first}


def _file(path: Path) -> dict[str, Any]:
    try:
        text = path.read_text()
        parts = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as bad:
        raise refuse(f"{path}: {bad}") from None
    if not isinstance(parts, dict):
        raise refuse(f"{path}: is not a table of parts")
    for name, part in parts.items():
        if name not in PARTS or not isinstance(part, dict):
            raise refuse(f"{path}: {name} = {part!r}: the book has tables {', '.join(PARTS)}, and no other")
    return parts


def _undo(options: dict[str, Any]) -> dict[str, Any]:
    return {**_change(options), "to": _version(options, "--to")}


def _status(options: dict[str, Any]) -> dict[str, Any]:
    return {}


# ---- what is shown


def _line(one: dict[str, Any]) -> str:
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one["told"])) + "Z" if one["told"] else "-"
    of = f" to {one.get('of', 0)}" if one["kind"] == "undo" else ""
    trial = (
        f", on trial {one['trial']['span_ms'] / 1_000:g} s at {', '.join(one['trial']['first'])}"
        if one.get("trial")
        else ""
    )
    return (
        f"version {one['number']}  {one['kind']}{of}{trial}  {one['author']} at {one['gateway']}, {when}: "
        f"{one['reason']}  (id {one['id']})"
    )


def _shown(told: dict[str, Any]) -> None:
    one = told["version"]
    print(_line(one))
    print(json.dumps(one["content"], indent=2))
    if told["held"] != one["number"]:
        print(f"this gateway holds version {told['held']}")


def _histories(told: dict[str, Any]) -> None:
    for one in told["versions"]:
        print(_line(one))
    if not told["versions"]:
        print("no version yet: the files hold")


def _diffs(told: dict[str, Any]) -> None:
    print(f"from version {told['old']} to version {told['new']}")
    for name, both in told["parts"].items():
        for mark, key in (("-", "old"), ("+", "new")):
            text = "the files hold" if both[key] is None else json.dumps(both[key], indent=2)
            print(
                "\n".join(
                    f"{mark} {name}: {line}" if i == 0 else f"{mark}   {line}"
                    for i, line in enumerate(text.splitlines())
                )
            )


def _changed(told: dict[str, Any]) -> None:
    print(
        f"version {told['version']} is made (id {told['id']}); held by {len(told['held'])} of "
        f"{len(told['held']) + len(told['missing'])} that live, after {told['took_ms']} ms"
    )
    if told.get("unasked"):
        print(f"not asked, as they are cut off: {', '.join(told['unasked'])}")
    for one in told["missing"]:
        print(f"  {one['name']} holds {one['version'] if one['version'] is not None else '?'}: {one['why']}")


def _statuses(told: dict[str, Any]) -> None:
    print(
        f"{told['gateway']} holds version {told['version']}, knows {told['newest']}; keepers "
        f"{', '.join(told['keepers']) or 'none'}"
    )
    if told["damage"]:
        print(f"damage: {told['damage']}")
    trial = told["trial"]
    if trial:
        print(
            f"version {trial['version']} by {trial['author']} is on trial at {', '.join(trial['first'])}, "
            f"{trial['left_ms'] / 1_000:g} s left; requests, refused, late: on it {trial['on']}, "
            f"off it {trial['off']}"
        )
    for one in told["gateways"]:
        if one["version"] is None:
            held = "has said nothing"
        else:
            held = (
                f"holds {one['version']}{' on trial' if one['on_trial'] else ''}"
                + (f", keeper: {one['keeper']}" if one["keeper"] else "")
                + (f", can't take {one['newest']}: {one['why']}" if one["why"] else "")
            )
        print(f"  {one['name']}  {one['state']}  {held}")


Handler = tuple[Callable[[dict[str, Any]], dict[str, Any]], Callable[[dict[str, Any]], None]]
HANDLERS: dict[str, Handler] = {
    "show": (_show, _shown),
    "history": (_history, _histories),
    "diff": (_diff, _diffs),
    "edit": (_edit, _changed),
    "undo": (_undo, _changed),
    "confirm": (_change, _changed),
    "status": (_status, _statuses),
}
