"""Errors of calls to the platform.

Code that calls the platform relies on the difference between these errors. A write that raised
StoreUnavailableError or VersionConflictError was not applied. A write that raised WriteUnsureError
may have been applied.
"""

from chervilmill.errors import ChervilmillError


class PlatformError(ChervilmillError):
    """A call to the platform failed."""


class StoreUnavailableError(PlatformError):
    """The platform did not carry out a call."""


class VersionConflictError(PlatformError):
    """The condition of a conditional write did not hold."""


class WriteUnsureError(PlatformError):
    """The outcome of a write is unknown, because its reply was lost."""
