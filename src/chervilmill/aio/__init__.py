"""Serve and send HTTP/1.1 requests on an asyncio event loop.

h11 parses and frames the messages. The connections of this package add flow control, time-outs and
a record of how far an exchange had come when it broke off.
"""

from chervilmill.aio._client import (
    AnswerHead,
    ClientConnection,
    ConnectError,
    ConnectTimeoutError,
    ExchangeError,
    ExchangeTimeoutError,
    connect,
)
from chervilmill.aio._guard import CallerLimit, HeldBytes, LimitCounter, ServerGuard
from chervilmill.aio._headers import HeaderItems, Headers, end_to_end, header_value, hold_headers
from chervilmill.aio._http_client import AnswerTooLongError, HttpAnswer, HttpClient
from chervilmill.aio._request import BadRequestError, CallerGoneError, RequestHead, ServerLimits
from chervilmill.aio._server import Handler, HttpServer, ServerConnection

__all__ = [
    "AnswerHead",
    "AnswerTooLongError",
    "BadRequestError",
    "CallerLimit",
    "CallerGoneError",
    "ClientConnection",
    "ConnectError",
    "ConnectTimeoutError",
    "ExchangeError",
    "ExchangeTimeoutError",
    "Handler",
    "HeaderItems",
    "Headers",
    "HeldBytes",
    "HttpServer",
    "LimitCounter",
    "RequestHead",
    "ServerConnection",
    "ServerGuard",
    "ServerLimits",
    "HttpAnswer",
    "HttpClient",
    "connect",
    "end_to_end",
    "header_value",
    "hold_headers",
]
