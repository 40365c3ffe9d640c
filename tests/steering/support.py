"""Build the steering parts of a node over an in-memory store and a manual clock."""

import json
from collections import Counter

from chervilmill.cli import main
from chervilmill.coordination import CONFIGURATION_KIND, ConfigurationCache, Vm
from chervilmill.http import HttpServer
from chervilmill.metrics import Metrics
from chervilmill.operators import OperatorsApp, SteeringRoutes
from chervilmill.settings import Settings, check_settings
from chervilmill.standins.store import MemoryStore
from chervilmill.steering import ShiftRunner, SteeringModel, SteeringTable, VmEvidence
from tests.support import TOKEN, entry_vm, free_address, raw_settings, target_vm

TARGETS = {"souhrny": 36, "podklady": 12}


class FakeDirectory:
    """Directory that returns the VMs that a test sets."""

    def __init__(self) -> None:
        self.list_read_at_s = 0.0
        self.entries: list[Vm] = []
        self.by_service: dict[str, list[Vm]] = {}

    def entry_vms(self) -> tuple[Vm, ...]:
        return tuple(self.entries)

    def targets(self, service: str) -> tuple[Vm, ...]:
        return tuple(self.by_service.get(service, ()))


class FakeVersions:
    """Source of applied versions that reads tables in the same process."""

    def __init__(self) -> None:
        self.tables: dict[str, SteeringTable] = {}

    def applied_version(self, vm: Vm, service: str) -> int:
        return self.tables[vm.name].applied_version(service)


class Node:
    """Model, table and runner of one node; nodes may share `store` and `directory`."""

    def __init__(self, name: str, store: MemoryStore, directory: FakeDirectory, **changes) -> None:
        self.now_s = 1_000.0
        self.wall_s = 1_764_000_000.0
        self.store = store
        self.directory = directory
        self.raw = raw_settings(name, free_address())
        self.raw.update(changes)
        self.settings: Settings = check_settings(self.raw)
        self.metrics = Metrics()
        self.configuration = ConfigurationCache()
        self.model = SteeringModel(self.settings, directory)
        self.table = SteeringTable(self.model, self.settings, lambda: self.now_s)
        self.configuration.subscribe(self.table.receive)
        self.versions = FakeVersions()
        self.runner = ShiftRunner(
            store,
            self.configuration,
            self.settings,
            self.model,
            VmEvidence(self.model, directory, self.versions, store, lambda: self.now_s),
            lambda: self.now_s,
            self.metrics.count_shift_wait,
            self.table.tick,
        )

    def routes(self):
        return SteeringRoutes(
            self.store, self.settings, self.model, self.table, self.metrics, lambda: self.wall_s
        ).routes()

    def receive_configuration(self) -> None:
        """Receive the configuration from the store."""
        self.configuration.receive(self.store.list(CONFIGURATION_KIND))

    def tick(self, seconds: float = 1.0) -> None:
        """Advance the clock with fresh measurements, then update the configuration and step."""
        self.now_s += seconds
        self.directory.list_read_at_s = self.now_s
        self.receive_configuration()
        self.table.tick()
        self.runner.step()
        self.receive_configuration()


def directory_of(raw: dict, targets: dict[str, int] = TARGETS) -> FakeDirectory:
    """Return a directory with targets spread evenly over all failure domains."""
    directory = FakeDirectory()
    domains = [domain for region in raw["regions"] for domain in region["failure_domains"]]
    for service, count in targets.items():
        directory.by_service[service] = [
            target_vm(f"{service}-{i}", free_address(), service, domains[i % len(domains)])
            for i in range(count)
        ]
    return directory


def steering_node(name: str = "entry-1", **changes) -> Node:
    """Return the only node of the Asociace example site."""
    raw = raw_settings(name, free_address())
    directory = directory_of(raw)
    node = Node(name, MemoryStore(), directory, **changes)
    directory.entries.append(entry_vm(node.raw))
    node.versions.tables[name] = node.table
    return node


class Console:
    """Command line that is connected to a node."""

    def __init__(self, node: Node, folder, capsys) -> None:
        self._capsys = capsys
        self._folder = folder
        app = OperatorsApp(TOKEN, node.metrics, node.routes())
        self.server = HttpServer(free_address(), app, threads=2)
        self.server.start()
        node.raw["node"]["operators"] = str(self.server.address)
        file = folder / "settings.jsonc"
        file.write_text(json.dumps(node.raw))
        self._common_arguments = ["--settings", str(file)]
        self.exit_codes: Counter[int] = Counter()

    def run(self, *arguments: str) -> tuple[int, str]:
        """Run a command and return its exit code and its output."""
        code = main([*arguments, *self._common_arguments])
        self.exit_codes[code] += 1
        printed = self._capsys.readouterr()
        return code, printed.out + printed.err

    def json(self, *arguments: str) -> dict:
        """Run a command and return its JSON output."""
        return json.loads(self.run(*arguments, "--json")[1])

    def state(self, **intent) -> tuple[int, str]:
        """State an intent and return the exit code and the output."""
        file = self._folder / "intent.jsonc"
        file.write_text(json.dumps(intent))
        return self.run("intent", str(file))
