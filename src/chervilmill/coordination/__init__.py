"""Access the platform's object store and VM list, and the leases and records kept in the store."""

from chervilmill.coordination._client import HttpPlatform
from chervilmill.coordination._configuration import (
    CONFIGURATION_KIND,
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationCache,
    ConfigurationSnapshot,
    merge_objects,
)
from chervilmill.coordination._directory import LEAVING_PREFIX, Directory, EntryMembers
from chervilmill.coordination._errors import (
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
    WriteUnsureError,
)
from chervilmill.coordination._fencing import (
    FencedObject,
    FencedValue,
    MalformedObjectError,
    StaleEpochError,
    decode_fenced,
    encode_fenced,
)
from chervilmill.coordination._lease import LEASE_KIND, Clock, Lease, LeaseRecord, decode_lease
from chervilmill.coordination._model import (
    ObjectStore,
    StoredObject,
    Vm,
    VmList,
    VmRole,
    VmState,
    WatchResult,
)
from chervilmill.coordination._order_ledger import ORDER_SHARDS, ORDER_WRITES_PER_S, OrderLedger

__all__ = [
    "CONFIGURATION_KIND",
    "Clock",
    "Configuration",
    "ConfigurationCache",
    "ConfigurationSnapshot",
    "Directory",
    "EMPTY_CONFIGURATION",
    "EntryMembers",
    "FencedObject",
    "FencedValue",
    "HttpPlatform",
    "LEASE_KIND",
    "LEAVING_PREFIX",
    "Lease",
    "LeaseRecord",
    "MalformedObjectError",
    "ORDER_SHARDS",
    "ORDER_WRITES_PER_S",
    "ObjectStore",
    "OrderLedger",
    "PlatformError",
    "StaleEpochError",
    "StoreUnavailableError",
    "StoredObject",
    "VersionConflictError",
    "Vm",
    "VmList",
    "VmRole",
    "VmState",
    "WatchResult",
    "WriteUnsureError",
    "decode_fenced",
    "decode_lease",
    "encode_fenced",
    "merge_objects",
]
