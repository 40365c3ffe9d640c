"""Define the commands for intents, plans and shifts, and for the place of a block."""

import argparse
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import json5

from chervilmill.cli._exit import CommandError, ExitCode
from chervilmill.cli._options import client_options, make_client, output_options
from chervilmill.cli._output import show
from chervilmill.cli._plan_text import plan_lines

MAX_INTENT_BYTES = 64 * 1024
TOKEN_SEPARATOR = "@"


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the commands `intent`, `plan`, `confirm`, `explain` and `shifts`."""
    _add_intent(commands)
    _add_plan(commands)
    _add_confirm(commands)
    _add_explain(commands)
    _add_shifts(commands)


def _add_intent(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "intent",
        help="state where the traffic of a service should go, or list all intents",
        description="State an intent, or list all intents if no file is given. "
        "No traffic moves before a plan is confirmed.",
        parents=[client_options(), output_options()],
    )
    parser.add_argument(
        "file", type=Path, nargs="?", help="file with an intent in JSON with comments"
    )
    parser.set_defaults(run=_run_intent)


def _add_plan(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "plan",
        help="show what an intent will move, in which steps",
        parents=[client_options(), output_options()],
    )
    parser.add_argument("intent", help="name of the intent")
    parser.set_defaults(run=_run_plan)


def _add_confirm(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "confirm",
        help="confirm a plan, so that it is carried out",
        description="Confirm a plan that the command plan printed. "
        "Running the command again changes nothing.",
        parents=[client_options(), output_options()],
    )
    parser.add_argument("intent", help="name of the intent")
    parser.add_argument("plan", help="identifier of the plan, as the command plan printed it")
    parser.set_defaults(run=_run_confirm)


def _add_explain(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "explain",
        help="show where a caller's block is served, and why",
        parents=[client_options(), output_options()],
    )
    parser.add_argument("service")
    parser.add_argument("client", help="IP address of the caller")
    parser.set_defaults(run=_run_explain)


def _add_shifts(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "shifts",
        help="show the progress of confirmed plans, in blocks",
        parents=[client_options(), output_options()],
    )
    parser.set_defaults(run=_run_shifts)


def _run_intent(args: argparse.Namespace) -> ExitCode:
    client = make_client(args)
    if args.file is None:
        found = client.get("list intents", "/intents")
        show(args, found, [_intent_line(intent) for intent in found["intents"]])
        return ExitCode.DONE
    intent = client.post("state intent", "/intents", _read_intent(args.file))
    show(args, intent, [_intent_line(intent)])
    return ExitCode.DONE


def _run_plan(args: argparse.Namespace) -> ExitCode:
    query = urlencode({"intent": args.intent})
    plan = make_client(args).get("show plan", f"/plans?{query}")
    token = f"{plan['plan']}{TOKEN_SEPARATOR}{plan['computed_at_s']}"
    show(args, {**plan, "token": token}, plan_lines(plan, token))
    return ExitCode.REFUSED if plan["refusals"] else ExitCode.DONE


def _run_confirm(args: argparse.Namespace) -> ExitCode:
    plan, separator, computed_at = args.plan.partition(TOKEN_SEPARATOR)
    try:
        computed_at_s = float(computed_at)
    except ValueError:
        message = f"expected an identifier that the command plan printed, found {args.plan!r}"
        raise CommandError(
            message, step="read options", peer="command", code=ExitCode.USAGE_ERROR
        ) from None
    value = {"intent": args.intent, "plan": plan, "computed_at_s": computed_at_s}
    confirmed = make_client(args).post("confirm", "/confirm", value)
    line = f"plan {confirmed['plan']} of {confirmed['service']} is confirmed"
    show(args, confirmed, [line])
    return ExitCode.DONE


def _run_explain(args: argparse.Namespace) -> ExitCode:
    query = urlencode({"service": args.service, "client": args.client})
    found = make_client(args).get("explain", f"/explain?{query}")
    show(args, found, _explanation(found))
    return ExitCode.DONE


def _run_shifts(args: argparse.Namespace) -> ExitCode:
    found = make_client(args).get("show shifts", "/shifts")
    show(args, found, [_shift_line(shift) for shift in found["shifts"]] or ["no shifts"])
    return ExitCode.DONE


def _read_intent(path: Path) -> dict[str, Any]:
    try:
        raw = path.read_bytes()
        if len(raw) > MAX_INTENT_BYTES:
            raise ValueError(f"expected at most {MAX_INTENT_BYTES} bytes, found {len(raw)}")
        decoded = json5.loads(raw.decode())
    except (OSError, ValueError, RecursionError) as exc:
        raise CommandError(
            str(exc), step="read intent", peer=str(path), code=ExitCode.USAGE_ERROR
        ) from exc
    if not isinstance(decoded, dict):
        message = f"expected an object, found a {type(decoded).__name__}"
        raise CommandError(message, step="read intent", peer=str(path), code=ExitCode.USAGE_ERROR)
    return decoded


def _intent_line(intent: dict[str, Any]) -> str:
    shares = ", ".join(f"{place} {percent} %" for place, percent in intent["shares"].items())
    parts = [f"{intent['name']} ({intent['service']}) at revision {intent['version']}"]
    parts.append(f"shares {shares}" if shares else "shares as the planner finds best")
    for key in ("leaving", "lost"):
        if intent[key]:
            parts.append(f"{key} {', '.join(intent[key])}")
    cap = intent["cap"]
    parts.append(f"at most {cap['percent_of_blocks_per_min']} % of blocks a minute")
    return "; ".join(parts)


def _explanation(found: dict[str, Any]) -> Iterator[str]:
    kind = "block" if found["is_known_client"] else "undeclared block"
    yield f"{kind} {found['block']} of {found['service']} is served in {found['place']}"
    yield found["why"]
    if found["plan"] is not None:
        yield f"intent revision {found['intent_version']}, plan {found['plan']}"
        yield f"steering revision {found['revision']}"


def _shift_line(shift: dict[str, Any]) -> str:
    line = f"{shift['service']}: {shift['intent']} {shift['phase']}"
    if "blocks" not in shift:
        return line
    reason = f" ({shift['reason']})" if shift["reason"] else ""
    return (
        f"{line}{reason}, {shift['blocks_moved']} of {shift['blocks_to_move']} blocks, "
        f"cap {shift['cap_blocks_per_min']} a minute of {shift['blocks']}"
    )
