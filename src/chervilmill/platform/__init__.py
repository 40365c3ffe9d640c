"""The adapter between the platform's HTTP interface and this system's types.

This package only translates; it makes no decisions.
"""

from chervilmill.platform._headers import (
    TARGET_HEADERS,
    AnswerHeaders,
    LoadReport,
    RequestHeaders,
    deadline_headers,
    proves_not_run_by_status,
    read_answer,
    read_request,
    refusal_headers,
    target_headers,
)
from chervilmill.platform._lookup import (
    LOOKUP_PATH,
    READINESS_PATH,
    LookupQuery,
    encode_addresses,
    read_lookup,
)
from chervilmill.platform._objects import (
    CONFIGURATION_KIND,
    EVACUATION_KIND,
    TARGET_KIND,
    InvalidObjectError,
    read_configuration,
    read_target,
)
from chervilmill.platform._settings import (
    SETTINGS_VARIABLE,
    Bounds,
    EntrySettings,
    SettingsError,
    read_settings,
)
from chervilmill.platform._store import (
    Exchange,
    HistoryGoneError,
    Listing,
    PlatformStore,
    StoredObject,
    StoreError,
    StoreSilentError,
    WatchEvent,
    WatchResult,
    decode_objects,
    encode_objects,
)

__all__ = [
    "AnswerHeaders",
    "Bounds",
    "CONFIGURATION_KIND",
    "EVACUATION_KIND",
    "EntrySettings",
    "Exchange",
    "HistoryGoneError",
    "InvalidObjectError",
    "LOOKUP_PATH",
    "Listing",
    "LoadReport",
    "LookupQuery",
    "PlatformStore",
    "READINESS_PATH",
    "RequestHeaders",
    "SETTINGS_VARIABLE",
    "SettingsError",
    "StoreError",
    "StoreSilentError",
    "StoredObject",
    "TARGET_HEADERS",
    "TARGET_KIND",
    "WatchEvent",
    "WatchResult",
    "decode_objects",
    "encode_addresses",
    "encode_objects",
    "deadline_headers",
    "proves_not_run_by_status",
    "read_answer",
    "read_configuration",
    "read_lookup",
    "read_request",
    "read_settings",
    "read_target",
    "refusal_headers",
    "target_headers",
]
