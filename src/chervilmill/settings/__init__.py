"""Load and validate the settings of a node."""

from chervilmill.settings._check import check_settings
from chervilmill.settings._load import load_settings
from chervilmill.settings._model import (
    ClientRange,
    Limits,
    Link,
    Node,
    Objective,
    Platform,
    Region,
    Service,
    Settings,
    Steering,
)
from chervilmill.settings._reader import Reader, SettingError

__all__ = [
    "ClientRange",
    "Limits",
    "Link",
    "Node",
    "Objective",
    "Platform",
    "Reader",
    "Region",
    "Service",
    "SettingError",
    "Settings",
    "Steering",
    "check_settings",
    "load_settings",
]
