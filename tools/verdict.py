"""Run test modules and report counts and unexpected results.

Each test module runs in its own process, several in parallel. Counts come
from the JUnit files that nose2 writes. A test listed in ``KNOWN-RED.txt`` may
fail; any other failure fails the run. A listed test that passes fails the run
too, so that fixed tests leave the list, unless its entry says ``sometimes``
after the name: such a test fails in some runs only. Without arguments, all
modules run, else those named.
"""

from collections.abc import Iterator
import concurrent.futures
import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Second field of an entry whose test fails in some runs only.
SOMETIMES = "sometimes"
# Some modules run whole fleets; with more in parallel, their timeouts would
# depend on the load of the machine.
MAX_WORKERS = 4
# Modules that judge what their processes use run after all others, one at a
# time.
APART = ("tests.test_misbehaving_clients",)


@dataclasses.dataclass
class ModuleResult:
    """Results of one test module.

    Attributes
    ----------
    crashed : bool
        Whether the runner failed although no test did.
    seconds : float
        Total duration of the tests.
    """

    module: str
    passed: list[str]
    failed: list[str]
    crashed: bool
    output: str
    seconds: float


def modules() -> list[str]:
    """Return the test modules, those expected to take longest first."""
    paths = (ROOT / "tests").glob("test_*.py")
    ordered = sorted(paths, key=lambda path: -path.stat().st_size)
    names = [f"tests.{path.stem}" for path in ordered]
    return sorted(names, key=lambda name: "fleet" not in name)


def run(module: str, folder: pathlib.Path) -> ModuleResult:
    """Run one test module."""
    results = folder / f"{module}.xml"
    command = [sys.executable, "-m", "nose2", "--quiet"]
    command += ["--junit-xml-path", str(results), module]
    process = subprocess.run(
        command,
        cwd=ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    passed, failed, seconds = outcomes(results)
    crashed = process.returncode != 0 and not failed
    return ModuleResult(
        module, passed, failed, crashed, process.stdout, seconds
    )


def outcomes(results: pathlib.Path) -> tuple[list[str], list[str], float]:
    """Return the names of passed and failed tests, and their duration."""
    passed: list[str] = []
    failed: list[str] = []
    seconds = 0.0
    if not results.exists():
        return passed, failed, seconds
    for case in ElementTree.parse(results).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        seconds += float(case.get("time", 0))
        # A skipped test counts as failed.
        has_failed = any(
            case.find(tag) is not None
            for tag in ("failure", "error", "skipped")
        )
        (failed if has_failed else passed).append(name)
    return passed, failed, seconds


def read_known_red() -> dict[str, str]:
    """Return the names of listed tests, mapped to their entries."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip()]
    return {entry.split(",")[0].strip(): entry for entry in entries}


def _fails_sometimes(entry: str) -> bool:
    fields = [field.strip() for field in entry.split(",")]
    return len(fields) > 1 and fields[1] == SOMETIMES


def count_lines() -> tuple[int, int]:
    """Return the number of lines of tests, and of all Python files."""

    def lines(folder: str) -> int:
        files = (ROOT / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in files)

    tests = lines("tests")
    return tests, tests + lines("amaranthring") + lines("tools")


def report(results: list[ModuleResult]) -> bool:
    """Print failures and counts; return whether the run passed."""
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    listed = read_known_red()
    unlisted = [name for name in failed if name not in listed]
    stale = [
        name
        for name, line in listed.items()
        if name in passed and not _fails_sometimes(line)
    ]
    crashed = [result.module for result in results if result.crashed]
    for name, line in listed.items():
        print(f"stale: {line}" if name in stale else f"known red: {line}")
    for name in unlisted:
        print(f"failed: {name}")
    for name in crashed:
        print(f"crashed: {name}")
    tests, total = count_lines()
    print(f"test lines: {tests} of {total} ({tests / total:.1%})")
    print(f"{len(passed)} passed, {len(failed) + len(crashed)} failed")
    return bool(passed) and not (unlisted or stale or crashed)


def run_all(names: list[str], folder: pathlib.Path) -> Iterator[ModuleResult]:
    """Run modules in parallel, then those that run apart; yield results."""
    with concurrent.futures.ThreadPoolExecutor(MAX_WORKERS) as pool:
        started = [
            pool.submit(run, n, folder) for n in names if n not in APART
        ]
        for future in concurrent.futures.as_completed(started):
            yield future.result()
    for name in names:
        if name in APART:
            yield run(name, folder)


def main() -> int:
    """Run the modules, print the report and return the exit code."""
    names = sys.argv[1:] or modules()
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for result in run_all(names, pathlib.Path(folder)):
            results.append(result)
            count = len(result.passed) + len(result.failed)
            print(
                f"{result.module}: {count} in {result.seconds:.1f} s",
                flush=True,
            )
            if result.failed or result.crashed:
                print(result.output)
    return 0 if report(results) else 1


if __name__ == "__main__":
    sys.exit(main())
