"""Run every test and close with real counts.

Each test module is a process of its own, a few at once; the counts come from
the junit files that nose2 writes. A test named in ``KNOWN-RED.txt`` may fail:
it is printed, and only a failure outside that list makes the run fail. A
listed test that passes fails the run too, so that the list cannot outlive its
faults; but for one whose line says ``sometimes`` behind its name, whose fault
needs a busy machine to show. Without arguments all modules run, else those
that are named.
"""

import concurrent.futures
import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
# Second field of a line whose test fails in some runs only.
SOMETIMES = "sometimes"
# Whole fleets run in some modules; more at once would make their waiting
# times a matter of the machine.
MAX_WORKERS = 4


@dataclasses.dataclass
class ModuleResult:
    """What one test module did.

    Attributes
    ----------
    crashed : bool
        Whether the runner itself ended badly, with no failed test.
    seconds : float
        Time of its tests.
    """

    module: str
    passed: list[str]
    failed: list[str]
    crashed: bool
    output: str
    seconds: float


def modules() -> list[str]:
    """Return the test modules, the largest first since they take longest."""
    paths = (ROOT / "tests").glob("test_*.py")
    ordered = sorted(paths, key=lambda path: -path.stat().st_size)
    names = [f"tests.{path.stem}" for path in ordered]
    return sorted(names, key=lambda name: "fleet" not in name)


def run(module: str, folder: pathlib.Path) -> ModuleResult:
    """Run one test module."""
    results = folder / f"{module}.xml"
    command = [sys.executable, "-m", "nose2", "--quiet"]
    command += ["--junit-xml-path", str(results), module]
    ended = subprocess.run(
        command,
        cwd=ROOT,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    passed, failed, seconds = outcomes(results)
    crashed = ended.returncode != 0 and not failed
    return ModuleResult(module, passed, failed, crashed, ended.stdout, seconds)


def outcomes(results: pathlib.Path) -> tuple[list[str], list[str], float]:
    """Return names of passed and failed tests, and their seconds."""
    passed: list[str] = []
    failed: list[str] = []
    seconds = 0.0
    if not results.exists():
        return passed, failed, seconds
    for case in ElementTree.parse(results).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        seconds += float(case.get("time", 0))
        # A skipped test proves nothing and counts as failed.
        bad = any(
            case.find(tag) is not None
            for tag in ("failure", "error", "skipped")
        )
        (failed if bad else passed).append(name)
    return passed, failed, seconds


def read_known_red() -> dict[str, str]:
    """Return the listed test names, each mapped to its whole line."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    named = [line for line in lines if line.strip()]
    return {line.split(",")[0].strip(): line for line in named}


def _fails_sometimes(line: str) -> bool:
    fields = [field.strip() for field in line.split(",")]
    return len(fields) > 1 and fields[1] == SOMETIMES


def count_lines() -> tuple[int, int]:
    """Return the lines of tests and of all Python files."""

    def lines(folder: str) -> int:
        files = (ROOT / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in files)

    tests = lines("tests")
    return tests, tests + lines("amaranthring") + lines("tools")


def report(ran: list[ModuleResult]) -> bool:
    """Print what failed and the counts; return whether the run is good."""
    passed = [name for one in ran for name in one.passed]
    failed = [name for one in ran for name in one.failed]
    listed = read_known_red()
    unlisted = [name for name in failed if name not in listed]
    stale = [
        name
        for name, line in listed.items()
        if name in passed and not _fails_sometimes(line)
    ]
    crashed = [one.module for one in ran if one.crashed]
    for name, line in listed.items():
        print(f"stale: {line}" if name in stale else f"known red: {line}")
    for name in unlisted:
        print(f"failed: {name}")
    for name in crashed:
        print(f"crashed: {name}")
    tests, total = count_lines()
    print(f"test lines: {tests} of {total} ({tests / total:.1%})")
    print(f"{len(passed)} passed, {len(failed) + len(crashed)} failed")
    good = not unlisted and not stale and not crashed
    return good and bool(passed) and len(listed) <= MAX_KNOWN_RED


def main() -> int:
    """Run the modules, print the verdict and return the exit code."""
    names = sys.argv[1:] or modules()
    ran = []
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ThreadPoolExecutor(MAX_WORKERS) as pool,
    ):
        started = [pool.submit(run, n, pathlib.Path(folder)) for n in names]
        for future in concurrent.futures.as_completed(started):
            one = future.result()
            ran.append(one)
            count = len(one.passed) + len(one.failed)
            print(f"{one.module}: {count} in {one.seconds:.1f} s", flush=True)
            if one.failed or one.crashed:
                print(one.output)
    return 0 if report(ran) else 1


if __name__ == "__main__":
    sys.exit(main())
