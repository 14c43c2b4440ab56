"""rackhub rules: show, edit and undo the versioned rule set that all gateways of a fleet apply.

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
  show     Print one version; without a number the newest that the gateway knows.
  history  List the retained versions, newest first, with author and reason.
  diff     Compare two versions; without numbers show what the newest changed.
  edit     Make a new version: each section of FILE (timings, gather, shed) replaces that section of version --on.
  undo     Make a new version with the content of the version before --on, or of version --to.
  confirm  Keep the version that is on trial.
  status   Show which gateway applies which version, which cannot apply it and why, the keepers and the trial.

Options:
  --at ADDRESS    The control port of any gateway: host:port of its [fleet] control.
  --on VERSION    The version that the change is based on; undo and confirm: by default the newest known.
  --to VERSION    Any retained version; 0: the content of the gateways' own files.
  --author NAME   Who makes the change.
  --reason TEXT   Why the change is made.
  --id ID         The idempotency key of the change: a retry with the same ID has no further effect. Default: a random
                  ID, which is printed where the outcome is unknown.
  --drop PART     Remove a section, so that the gateways' own files apply for it.
  --trial TIME    Undo the version after this time, such as 30s, unless it is confirmed.
  --first N       Number of gateways that try the version; default: a quarter of them.
  --wait TIME     Maximum time to wait until all live gateways apply the version [default: 0s].
  --limit N       Maximum number of versions [default: 20].
  --json          Print one JSON document instead of text.

In a fleet with relays a version is called a revision, changes are sent to a voter, and there are no trials.

FILE is TOML (or JSON if its name ends in .json) with tables timings, gather, shed, as in the operator file.

Exit status: 0 success, and with --wait applied by all live gateways; 1 rejected, unknown, or not applied by all: the
output names the gateways and the reasons; 2 bad usage, an unreadable file, content that a gateway's validation rejects,
no answer at ADDRESS.
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
from rackhub.cli.words import CommandExit, parse, parse_number, print_json, report_error

MAX_VERSION = 1 << 53
ANSWER_TIMEOUT = 15.0  # seconds for an answer, in addition to --wait
SECTIONS = ("timings", "gather", "shed")


def ask(address: tuple[str, int], call: dict[str, Any], timeout: float) -> dict[str, Any]:
    """Send a call to a gateway's control port and return its reply."""
    from rackhub.fleet.control.client import send_request

    return dict(send_request(address, call, timeout))


def run(arguments: Sequence[str]) -> int:
    options = parse(__doc__ or "", arguments)
    name = next(name for name in HANDLERS if options[name])
    try:
        address = parse_ipv4_address(options["--at"], "--at")
    except ValueError as error:
        raise report_error(str(error)) from None
    build_parameters, print_reply = HANDLERS[name]
    parameters = build_parameters(options)
    try:
        reply = ask(
            address, {"call": f"rules.{name}", **parameters}, ANSWER_TIMEOUT + parameters.get("wait_ms", 0) / 1_000
        )
    except (OSError, ValueError) as error:
        retry_hint = (
            f"; the change may have been made: retry with --id {parameters['id']}" if "id" in parameters else ""
        )
        raise report_error(f"--at {options['--at']}: {error}{retry_hint}") from None
    if options["--json"]:
        print_json(reply)
    elif "revision" in reply:
        print_relayed(name, reply)
    elif "error" not in reply or "version" in reply:
        print_reply(reply)
    if "error" in reply:
        report_error(f"rules {name}: {reply['error']}")
        raise CommandExit(2 if reply.get("exit") == 2 else 1)
    return 0


# ---- parameters of the calls


def _duration_ms(options: dict[str, Any], name: str) -> int:
    """Parse a duration such as 500ms, 30s or 2m; return milliseconds."""
    match = re.fullmatch(r"(\d{1,9})(ms|s|m)", options[name])
    if not match:
        raise report_error(
            f"{name}: {options[name]!r} is no time: use a whole number and a unit, such as 500ms, 30s or 2m"
        )
    return int(match[1]) * {"ms": 1, "s": 1_000, "m": 60_000}[match[2]]


def _version_number(options: dict[str, Any], name: str) -> int:
    """Return the version that an option or argument names, or -1 if it is absent: the gateway then uses its default."""
    return -1 if options[name] is None else int(parse_number(options, name, 0, MAX_VERSION))


def _show_parameters(options: dict[str, Any]) -> dict[str, Any]:
    return {"version": _version_number(options, "VERSION")}


def _history_parameters(options: dict[str, Any]) -> dict[str, Any]:
    return {"limit": parse_number(options, "--limit", 1, 1_000)}


def _diff_parameters(options: dict[str, Any]) -> dict[str, Any]:
    return {"old": _version_number(options, "OLD"), "version": _version_number(options, "NEW")}


def _change_parameters(options: dict[str, Any]) -> dict[str, Any]:
    for name in ("--author", "--reason"):
        if not options[name].strip():
            raise report_error(f"{name}: {options[name]!r} is empty")
    return {
        "author": options["--author"],
        "reason": options["--reason"],
        "on": _version_number(options, "--on"),
        "id": options["--id"] or os.urandom(8).hex(),
        "wait_ms": _duration_ms(options, "--wait"),
    }


def _edit_parameters(options: dict[str, Any]) -> dict[str, Any]:
    sections: dict[str, Any] = _read_sections(Path(options["FILE"]))
    for name in options["--drop"]:
        if name not in SECTIONS or name in sections:
            raise report_error(f"--drop: {name!r} is not one of {', '.join(SECTIONS)}, or the file has it too")
        sections[name] = None
    trial = 0 if options["--trial"] is None else _duration_ms(options, "--trial")
    first = 0 if options["--first"] is None else parse_number(options, "--first", 1, 10_000)
    return {**_change_parameters(options), "parts": sections, "trial_ms": trial, "first": first}


def _read_sections(path: Path) -> dict[str, Any]:
    """Return the rule-set sections of a TOML or JSON file; an invalid file ends the command with status 2."""
    try:
        text = path.read_text()
        sections = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise report_error(f"{path}: {error}") from None
    if not isinstance(sections, dict):
        raise report_error(f"{path}: is not a table of sections")
    for name, section in sections.items():
        if name not in SECTIONS or not isinstance(section, dict):
            raise report_error(f"{path}: {name} = {section!r}: the book has tables {', '.join(SECTIONS)} only")
    return sections


def _undo_parameters(options: dict[str, Any]) -> dict[str, Any]:
    return {**_change_parameters(options), "to": _version_number(options, "--to")}


def _status_parameters(options: dict[str, Any]) -> dict[str, Any]:
    return {}


# ---- printing of the replies


def _format_version(version: dict[str, Any]) -> str:
    when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(version["told"])) + "Z" if version["told"] else "-"
    undone_to = f" to {version.get('of', 0)}" if version["kind"] == "undo" else ""
    trial = (
        f", on trial {version['trial']['span_ms'] / 1_000:g} s at {', '.join(version['trial']['first'])}"
        if version.get("trial")
        else ""
    )
    return (
        f"version {version['number']}  {version['kind']}{undone_to}{trial}  {version['author']} "
        f"at {version['gateway']}, {when}: {version['reason']}  (id {version['id']})"
    )


def _print_version(reply: dict[str, Any]) -> None:
    version = reply["version"]
    print(_format_version(version))
    print(json.dumps(version["content"], indent=2))
    if reply["held"] != version["number"]:
        print(f"this gateway applies version {reply['held']}")


def _print_history(reply: dict[str, Any]) -> None:
    for version in reply["versions"]:
        print(_format_version(version))
    if not reply["versions"]:
        print("no version yet: the gateways' own files apply")


def _print_diff(reply: dict[str, Any]) -> None:
    print(f"from version {reply['old']} to version {reply['new']}")
    for name, contents in reply["parts"].items():
        for mark, key in (("-", "old"), ("+", "new")):
            text = "the files hold" if contents[key] is None else json.dumps(contents[key], indent=2)
            print(
                "\n".join(
                    f"{mark} {name}: {line}" if i == 0 else f"{mark}   {line}"
                    for i, line in enumerate(text.splitlines())
                )
            )


def _print_change(reply: dict[str, Any]) -> None:
    print(
        f"version {reply['version']} is made (id {reply['id']}); applied by {len(reply['held'])} of "
        f"{len(reply['held']) + len(reply['missing'])} live gateways after {reply['took_ms']} ms"
    )
    if reply.get("unasked"):
        print(f"not reachable for validation: {', '.join(reply['unasked'])}")
    for gateway in reply["missing"]:
        print(
            f"  {gateway['name']} applies version "
            f"{gateway['version'] if gateway['version'] is not None else '?'}: {gateway['why']}"
        )


def _print_status(reply: dict[str, Any]) -> None:
    print(
        f"{reply['gateway']} holds version {reply['version']}, knows {reply['newest']}; keepers "
        f"{', '.join(reply['keepers']) or 'none'}"
    )
    if reply["damage"]:
        print(f"damage: {reply['damage']}")
    trial = reply["trial"]
    if trial:
        print(
            f"version {trial['version']} by {trial['author']} is on trial at {', '.join(trial['first'])}, "
            f"{trial['left_ms'] / 1_000:g} s left; requests, rejected, late: with it {trial['on']}, "
            f"without it {trial['off']}"
        )
    for gateway in reply["gateways"]:
        if gateway["version"] is None:
            applied = "has not reported"
        else:
            applied = (
                f"holds {gateway['version']}{' on trial' if gateway['on_trial'] else ''}"
                + (f", keeper: {gateway['keeper']}" if gateway["keeper"] else "")
                + (f", cannot apply {gateway['newest']}: {gateway['why']}" if gateway["why"] else "")
            )
        print(f"  {gateway['name']}  {gateway['state']}  {applied}")


Handler = tuple[Callable[[dict[str, Any]], dict[str, Any]], Callable[[dict[str, Any]], None]]
HANDLERS: dict[str, Handler] = {
    "show": (_show_parameters, _print_version),
    "history": (_history_parameters, _print_history),
    "diff": (_diff_parameters, _print_diff),
    "edit": (_edit_parameters, _print_change),
    "undo": (_undo_parameters, _print_change),
    "confirm": (_change_parameters, _print_change),
    "status": (_status_parameters, _print_status),
}
