"""Show the state of a node."""

import argparse
from collections.abc import Iterator
from typing import Any

from chervilmill.cli._exit import ExitCode
from chervilmill.cli._options import client_options, make_client, output_options
from chervilmill.cli._output import show


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `status`."""
    parser = commands.add_parser(
        "status",
        help="show the state of a node, its targets and its headroom",
        parents=[client_options(), output_options()],
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> ExitCode:
    status = make_client(args).get("read status", "/status")
    show(args, status, _lines(status))
    return ExitCode.DONE


def _lines(status: dict[str, Any]) -> Iterator[str]:
    state = "leaving" if status["is_leaving"] else "live"
    yield f"node       {status['node']} ({status['region']}, {status['failure_domain']}), {state}"
    yield f"in flight  {status['in_flight']}"
    revision = status["revision"]
    yield f"revision   {'none yet' if revision is None else revision}"
    yield f"nodes      {status['nodes_present']} present"
    yield f"freshness  {_freshness_text(status)}"
    yield f"entry VMs  {', '.join(status['entry_vms']) or 'none'}"
    for service, count in sorted(status["targets"].items()):
        yield f"targets    {service}: {count}"
    for service, headroom in sorted(status["headroom"].items()):
        yield f"headroom   {service}: {_headroom_text(headroom)}"


def _freshness_text(status: dict[str, Any]) -> str:
    age_s = status["configuration_age_s"]
    if age_s is None:
        return "the store has not confirmed the configuration yet"
    state = "stale, " if status["is_stale"] else ""
    return f"{state}the store confirmed the configuration {age_s:.1f} s ago"


def _headroom_text(headroom: dict[str, Any]) -> str:
    least = min(headroom["by_place"].values(), default=0.0)
    return (
        f"{least:.0%} in the fullest failure domain, {headroom['after_domain_loss']:.0%} with one "
        f"failure domain lost, {headroom['after_region_loss']:.0%} with one region lost"
    )
