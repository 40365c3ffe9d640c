"""Serve the operators' HTTP interface: status, metrics, leaving marks and steering."""

from chervilmill.operators._app import OperatorsApp
from chervilmill.operators._leaving import (
    LEAVING_PREFIX,
    LeavingMark,
    LeavingMarks,
    decode_leaving_mark,
)
from chervilmill.operators._router import (
    Handler,
    OperatorRefusal,
    OperatorRequest,
    OperatorResponse,
    Route,
)
from chervilmill.operators._status import NodeStatus, status_routes
from chervilmill.operators._steering import SteeringRoutes

__all__ = [
    "LEAVING_PREFIX",
    "Handler",
    "LeavingMark",
    "LeavingMarks",
    "NodeStatus",
    "OperatorRefusal",
    "OperatorRequest",
    "OperatorResponse",
    "OperatorsApp",
    "Route",
    "SteeringRoutes",
    "decode_leaving_mark",
    "status_routes",
]
