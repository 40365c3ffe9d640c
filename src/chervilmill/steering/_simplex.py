"""Solve small linear programs exactly, with several objectives in order of importance.

The solver is the primal simplex method on a dense tableau. It pivots by Dantzig's rule, and by
Bland's rule after a run of degenerate pivots. Every row has a basic variable of its own from the
start, so no search for a first feasible solution is needed.
"""

from collections.abc import Mapping, Sequence

import numpy as np
from numpy.typing import NDArray

TOLERANCE = 1e-9
MAX_DEGENERATE_PIVOTS = 40
MAX_PIVOTS = 50_000

Terms = Mapping[int, float]


class UnsolvedError(ArithmeticError):
    """Raised for a linear program that is unbounded or took too many pivots."""


class LinearProgram:
    """A linear program: variables, which are all at least zero, and rows of constraints."""

    def __init__(self) -> None:
        self._count = 0
        self._rows: list[dict[int, float]] = []
        self._right_sides: list[float] = []
        self._basis: list[int] = []

    def variable(self) -> int:
        """Return the index of a new variable."""
        self._count += 1
        return self._count - 1

    def variables(self, count: int) -> list[int]:
        """Return the indexes of new variables."""
        return [self.variable() for _ in range(count)]

    def at_most(self, terms: Terms, limit: float) -> None:
        """Require a sum of terms to be at most a limit. The limit must be at least zero."""
        slack = self.variable()
        self._add_row({**terms, slack: 1.0}, limit, slack)

    def equal(self, terms: Terms, value: float, artificial: int) -> None:
        """Require a sum of terms plus an artificial variable to be equal to a value.

        No other row may use the artificial variable.
        """
        self._add_row({**terms, artificial: 1.0}, value, artificial)

    def at_least(self, terms: Terms, value: float, artificial: int) -> None:
        """Require a sum of terms plus an artificial variable to be at least a value.

        No other row may use the artificial variable.
        """
        surplus = self.variable()
        self._add_row({**terms, surplus: -1.0, artificial: 1.0}, value, artificial)

    def minimise(self, objectives: Sequence[Terms]) -> NDArray[np.float64]:
        """Return the values of all variables at the optimum.

        Each objective is minimised among the optima of the objectives before it.
        """
        tableau = _Tableau(self._matrix(), self._basis)
        for terms in objectives:
            costs = np.zeros(self._count)
            for index, cost in terms.items():
                costs[index] += cost
            tableau.minimise(costs)
        return tableau.values()

    def _add_row(self, terms: Terms, value: float, basic: int) -> None:
        if value < 0:
            raise ValueError(f"the right-hand side of a row is {value}, below zero")
        self._rows.append(dict(terms))
        self._right_sides.append(value)
        self._basis.append(basic)

    def _matrix(self) -> NDArray[np.float64]:
        matrix = np.zeros((len(self._rows), self._count + 1))
        for number, terms in enumerate(self._rows):
            for index, value in terms.items():
                matrix[number, index] = value
        matrix[:, -1] = self._right_sides
        return matrix


class _Tableau:
    def __init__(self, matrix: NDArray[np.float64], basis: Sequence[int]) -> None:
        self._rows = matrix
        self._basis = np.array(basis, np.int64)
        self._may_enter = np.ones(matrix.shape[1] - 1, bool)

    def minimise(self, costs: NDArray[np.float64]) -> None:
        """Minimise one objective, then bar the columns that would increase the objective again."""
        reduced_costs = costs - costs[self._basis] @ self._rows[:, :-1]
        degenerate_pivots = 0
        for _ in range(MAX_PIVOTS):
            column = self._entering_column(reduced_costs, degenerate_pivots > MAX_DEGENERATE_PIVOTS)
            if column is None:
                self._may_enter &= reduced_costs <= TOLERANCE
                return
            row = self._leaving_row(column)
            degenerate_pivots = degenerate_pivots + 1 if self._rows[row, -1] <= TOLERANCE else 0
            self._pivot(row, column)
            reduced_costs -= reduced_costs[column] * self._rows[row, :-1]
        raise UnsolvedError(f"the simplex method found no optimum within {MAX_PIVOTS} pivots")

    def values(self) -> NDArray[np.float64]:
        """Return the values of all variables."""
        values = np.zeros(self._rows.shape[1] - 1)
        values[self._basis] = np.maximum(self._rows[:, -1], 0.0)
        return values

    def _entering_column(
        self, reduced_costs: NDArray[np.float64], use_bland_rule: bool
    ) -> int | None:
        candidates = np.flatnonzero(self._may_enter & (reduced_costs < -TOLERANCE))
        if not len(candidates):
            return None
        if use_bland_rule:
            return int(candidates[0])
        return int(candidates[np.argmin(reduced_costs[candidates])])

    def _leaving_row(self, column: int) -> int:
        entries = self._rows[:, column]
        candidates = np.flatnonzero(entries > TOLERANCE)
        if not len(candidates):
            raise UnsolvedError("the linear program is unbounded")
        ratios = np.maximum(self._rows[candidates, -1], 0.0) / entries[candidates]
        ties = candidates[ratios <= ratios.min() + TOLERANCE]
        return int(ties[np.argmin(self._basis[ties])])

    def _pivot(self, row: int, column: int) -> None:
        self._rows[row] /= self._rows[row, column]
        factors = self._rows[:, column].copy()
        factors[row] = 0.0
        affected_rows = np.flatnonzero(factors)
        self._rows[affected_rows] -= np.outer(factors[affected_rows], self._rows[row])
        self._basis[row] = column
