"""Commands for fire: each is a method, its doc comment is the help."""

import importlib
import pkgutil
import sys

from amaranthring import bench as bench_package
from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.cli import fleet_commands
from amaranthring.cli import output


class SettingsCommands:
    """Check settings files and print examples."""

    @fleet_commands.parse_as_text(file=str, role=str)
    def check(self, file: str, role: str = "router") -> str:
        """Check FILE as settings of a router, keeper or operator."""
        model = settings_module.ROLES.get(role)
        if model is None:
            raise errors.UsageError(
                "unknown role",
                given=role,
                expected=", ".join(settings_module.ROLES),
            )
        settings = settings_module.read(file, model)
        if isinstance(settings, settings_module.Settings):
            settings_module.check_files(settings, role)
        return f"{file}: good settings of a {role}"

    @fleet_commands.parse_as_text(role=str)
    def example(self, role: str = "router") -> str:
        """Print an example file for ROLE: all keys, documented."""
        return settings_module.example(role)

    def reference(self) -> str:
        """Print the settings reference as Markdown."""
        return settings_module.reference()


class Commands(fleet_commands.FleetCommands):
    """Run and operate a fleet of routers.

    router and keeper run the daemons, settings checks their files, bench
    runs benchmarks. Other commands call a running fleet with the
    operator settings in --operator FILE or in the file that the environment
    variable AMARANTHRING_OPERATOR names. Exit codes: 0 success, 1 refused or
    unreachable, 2 usage or settings error.
    """

    def __init__(self, operator: str = ""):
        super().__init__(operator)
        self.settings = SettingsCommands()

    @fleet_commands.parse_as_text(settings=str)
    def router(self, settings: str) -> None:
        """Run a router with the settings file SETTINGS until stopped."""
        app = importlib.import_module("amaranthring.app")
        app.run("router", settings_module.read(settings))

    @fleet_commands.parse_as_text(name=str)
    def bench(self, name: str = "", json: bool = False, **parameters) -> None:
        """Run benchmark NAME; exit 1 if a result is out of bounds."""
        known = sorted(
            module.name
            for module in pkgutil.iter_modules(bench_package.__path__)
            if module.name != "report"
        )
        if name not in known:
            raise errors.UsageError(
                "no such benchmark", given=name, expected=", ".join(known)
            )
        module = importlib.import_module(f"amaranthring.bench.{name}")
        report = module.run(**parameters)
        print(report.as_json() if json else report.table())
        if not report.ok:
            sys.exit(1)

    def version(self) -> str:
        """Print the version."""
        package = importlib.import_module("amaranthring")
        return output.format_mapping({"amaranthring": package.__version__})
