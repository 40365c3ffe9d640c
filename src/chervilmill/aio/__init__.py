"""Speak HTTP/1.1 on one event loop, as a server and as a client.

Parsing and framing are h11's. Connections here add flow control, time-outs and what is known of an
exchange when it breaks off.
"""

from chervilmill.aio._client import (
    AnswerHead,
    ClientConnection,
    ConnectError,
    ExchangeError,
    connect,
)
from chervilmill.aio._exchange import WholeAnswer, WholeExchange
from chervilmill.aio._headers import Headers, end_to_end, header_value
from chervilmill.aio._request import BadRequestError, CallerGoneError, RequestHead, ServerLimits
from chervilmill.aio._server import Handler, HttpServer, ServerConnection

__all__ = [
    "AnswerHead",
    "BadRequestError",
    "CallerGoneError",
    "ClientConnection",
    "ConnectError",
    "ExchangeError",
    "Handler",
    "Headers",
    "HttpServer",
    "RequestHead",
    "ServerConnection",
    "ServerLimits",
    "WholeAnswer",
    "WholeExchange",
    "connect",
    "end_to_end",
    "header_value",
]
