"""Serve operators: status and metrics."""

from chervilmill.operators._app import OperatorsApp

__all__ = ["OperatorsApp"]
