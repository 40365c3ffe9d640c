"""Serve WSGI applications with cheroot, and limit the time and connections of peers."""

from chervilmill.http._connection import EarlyRefusal, EarlyRefusals
from chervilmill.http._exchange import (
    SOCKET_KEY,
    Environ,
    Exchange,
    StartResponse,
    WsgiApp,
    close_connection,
    exchange_of,
    reset_connection,
)
from chervilmill.http._pace import Pace
from chervilmill.http._server import HttpServer

__all__ = [
    "SOCKET_KEY",
    "EarlyRefusal",
    "EarlyRefusals",
    "Environ",
    "Exchange",
    "HttpServer",
    "Pace",
    "StartResponse",
    "WsgiApp",
    "close_connection",
    "exchange_of",
    "reset_connection",
]
