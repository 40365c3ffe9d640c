"""Serve operators: status, metrics and the routes that other parts register."""

from chervilmill.operators._app import OperatorsApp
from chervilmill.operators._leaving import (
    LEAVING_PREFIX,
    LeavingMark,
    LeavingMarks,
    is_leaving_value,
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
    "is_leaving_value",
    "status_routes",
]
