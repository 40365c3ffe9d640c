"""Configure pytest for every test run."""

import pytest

from bench._known_red import load_known_red
from tests.known_red import KnownRedPlugin

pytest_plugins = ["pytester"]


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin that reports the failures listed in KNOWN-RED.txt as expected."""
    config.pluginmanager.register(KnownRedPlugin(load_known_red()), "known-red")
