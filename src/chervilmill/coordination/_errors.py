"""Define what can go wrong in a call of the platform.

The difference between the errors matters to callers: a write that failed with
StoreUnavailableError or VersionConflictError was not applied, a write that failed with
WriteUnsureError may have been.
"""

from chervilmill.errors import ChervilmillError


class PlatformError(ChervilmillError):
    """Report a failed call of the platform."""


class StoreUnavailableError(PlatformError):
    """Report a call that the platform did not carry out."""


class VersionConflictError(PlatformError):
    """Report a conditional write whose condition did not hold."""


class WriteUnsureError(PlatformError):
    """Report a write whose reply was lost, so that it may or may not be applied."""
