"""Mark a VM as leaving, or remove the mark."""

import argparse
from typing import Any
from urllib.parse import quote

from chervilmill.cli._exit import ExitCode
from chervilmill.cli._options import client_options, make_client, output_options
from chervilmill.cli._output import show


def add_parser(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command `drain`."""
    parser = commands.add_parser(
        "drain",
        help="send no new work to a target or entry VM",
        description="Mark a VM as leaving, so that it gets no new work. "
        "Running the command again changes nothing.",
        parents=[client_options(), output_options()],
    )
    parser.add_argument("name", help="name of the VM in the platform's list")
    parser.add_argument(
        "--undo", action="store_true", help="remove the mark, so that the VM gets new work"
    )
    parser.set_defaults(run=_run)


def _run(args: argparse.Namespace) -> ExitCode:
    client = make_client(args)
    path = f"/leaving/{quote(args.name, safe='')}"
    wanted = not args.undo
    mark = client.get("read mark", path)
    if mark["leaving"] is not wanted:
        change = {"leaving": wanted, "version": mark["version"]}
        mark = client.put("write mark", path, change)
    show(args, mark, [_line(mark)])
    return ExitCode.DONE


def _line(mark: dict[str, Any]) -> str:
    state = "is leaving" if mark["leaving"] else "takes work"
    if mark["version"] is None:
        return f"{mark['name']} {state}; it never had a mark"
    return f"{mark['name']} {state} as of revision {mark['version']}"
