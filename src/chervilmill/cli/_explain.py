"""Ask an entry VM of the users' platform where a request would go now, and why."""

import argparse
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

from chervilmill.cli._client import OperatorsClient
from chervilmill.cli._exit import CommandError, ExitCode
from chervilmill.cli._options import address_argument, output_options
from chervilmill.cli._output import show

STEP = "explain"


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `explain-request`."""
    parser = commands.add_parser(
        "explain-request",
        help="show where a request would go now, without sending it",
        description="Ask an entry VM by which route, region and target it would run a request now. "
        "Allowances, quarantine and relays to other VMs are not considered.",
        parents=[output_options()],
    )
    parser.add_argument(
        "--metrics",
        type=address_argument,
        metavar="IP:PORT",
        required=True,
        help="address of the entry VM's metrics",
    )
    parser.add_argument("--affinity", default="", metavar="VALUE", help="affinity of the request")
    parser.add_argument("--organisation", metavar="NAME", help="name of an organisation, not a key")
    parser.add_argument("host", metavar="HOST")
    parser.add_argument("path", metavar="PATH")
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> ExitCode:
    query = {"host": args.host, "path": args.path, "affinity": args.affinity}
    if args.organisation is not None:
        query["organisation"] = args.organisation
    answer = OperatorsClient(args.metrics).get(STEP, f"/explain?{urlencode(query)}")
    try:
        lines = list(_text(answer))
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        message = f"expected an explanation, found another JSON object ({exc!r})"
        raise CommandError(
            message, step=STEP, peer=str(args.metrics), code=ExitCode.PEER_FAILED
        ) from exc
    show(args, answer, lines)
    return ExitCode.DONE


def _text(answer: dict[str, Any]) -> Iterator[str]:
    decision = answer["decision"]
    yield f"route: {answer['route'] or 'none'}"
    if "service" in answer:
        yield f"service: {answer['service']}"
        yield f"home regions: {', '.join(answer['home_regions']) or 'all'}"
        shares = (f"{name} {share:.1%}" for name, share in answer["region_shares"].items())
        yield f"region shares: {', '.join(shares) or 'none'}"
    yield f"decision: {_decision(decision)}"
    for one in answer.get("candidates", ()):
        holds = "holds the object" if one["is_known_to_hold"] else f"rank {one['rank']}"
        yield (
            f"  {one['target']} ({one['failure_domain']}): expected {one['expected_s']:.3f} s,"
            f" wait {one['wait_s']:.3f} s, work {one['work_s']:.3f} s, {holds}"
        )


def _decision(decision: dict[str, Any]) -> str:
    if "target" in decision:
        return f"send to {decision['target']}"
    text = f"refuse with {decision['status']} ({decision['refused']})"
    if decision.get("retry_after_s") is not None:
        text += f", retry after {decision['retry_after_s']:.3f} s"
    return f"{text}: {decision['detail']}" if decision.get("detail") else text
