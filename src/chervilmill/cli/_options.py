"""Define the options that commands share, and create a client from them."""

import argparse
import os
from pathlib import Path

from chervilmill.addresses import Address, parse_address
from chervilmill.cli._client import OperatorsClient
from chervilmill.cli._exit import CommandError, ExitCode
from chervilmill.settings import load_settings


def output_options() -> argparse.ArgumentParser:
    """Return a parent parser with the options of every command that prints data."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument("--json", action="store_true", help="print JSON instead of text")
    return parser


def client_options() -> argparse.ArgumentParser:
    """Return a parent parser with the options that select the node to ask."""
    parser = argparse.ArgumentParser(add_help=False)
    group = parser.add_argument_group("node to ask", "a settings file, or an address and a token")
    group.add_argument("--settings", type=Path, metavar="FILE", help="settings file of the node")
    group.add_argument(
        "--operators",
        type=address_argument,
        metavar="IP:PORT",
        help="address of the node's operators' interface",
    )
    group.add_argument(
        "--token-file", type=Path, metavar="FILE", help="file with the operators' token"
    )
    group.add_argument(
        "--token-env", metavar="NAME", help="environment variable with the operators' token"
    )
    return parser


def make_client(args: argparse.Namespace) -> OperatorsClient:
    """Return a client for the node that the options select.

    Raises CommandError, or an ExceptionGroup of SettingError if the settings file is invalid.
    """
    if args.settings is not None:
        settings = load_settings(args.settings)
        address = args.operators or settings.node.operators
        return OperatorsClient(address, settings.operators_token)
    if args.operators is None:
        raise _usage_error(
            "expected --settings FILE, or --operators IP:PORT with a token, found neither"
        )
    return OperatorsClient(args.operators, _token(args))


def _token(args: argparse.Namespace) -> str:
    if args.token_file is not None:
        return _read_token_file(args.token_file)
    if args.token_env is None:
        raise _usage_error("expected --token-file FILE or --token-env NAME, found neither")
    token = os.environ.get(args.token_env, "")
    if not token:
        raise _usage_error(f"expected a token in environment variable {args.token_env}, found none")
    return token


def _read_token_file(path: Path) -> str:
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(
            str(exc), step="read token", peer=str(path), code=ExitCode.USAGE_ERROR
        ) from exc


def _usage_error(message: str) -> CommandError:
    return CommandError(message, step="read options", peer="command", code=ExitCode.USAGE_ERROR)


def address_argument(text: str) -> Address:
    """Return the address that an argument names, or raise the error of argparse."""
    try:
        return parse_address(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(str(exc)) from exc
