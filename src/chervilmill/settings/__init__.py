"""Read and check the settings of a node."""

from chervilmill.settings._check import check_settings
from chervilmill.settings._load import load_settings
from chervilmill.settings._model import (
    Limits,
    Link,
    Node,
    Objective,
    Platform,
    Region,
    Service,
    Settings,
)
from chervilmill.settings._reader import SettingError

__all__ = [
    "Limits",
    "Link",
    "Node",
    "Objective",
    "Platform",
    "Region",
    "Service",
    "SettingError",
    "Settings",
    "check_settings",
    "load_settings",
]
