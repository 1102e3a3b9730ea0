"""Run every test and close with real counts.

The counts come from the junit file that nose2 writes. A test named in
``KNOWN-RED.txt`` may fail: it is printed, and only a failure outside that
list makes the run fail. A listed test that passes fails the run too, so
that the list cannot outlive its faults.
"""

import pathlib
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "results.xml"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3


def known_red():
    """Return the listed test names, each mapped to its whole line."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    named = [line for line in lines if line.strip()]
    return {line.split(",")[0].strip(): line for line in named}


def outcomes():
    """Return names of passed and failed tests from the junit file."""
    passed = []
    failed = []
    for case in ElementTree.parse(RESULTS).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        bad = any(case.find(tag) is not None for tag in ("failure", "error"))
        skipped = case.find("skipped") is not None
        (failed if bad or skipped else passed).append(name)
    return passed, failed


def line_share():
    """Return test lines, all Python lines and their ratio."""

    def lines(folder):
        files = (ROOT / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in files)

    tests = lines("tests")
    total = tests + lines("amaranthring") + lines("tools")
    return tests, total, tests / total


def main():
    """Run nose2, print the verdict and return the exit code."""
    RESULTS.unlink(missing_ok=True)
    command = [sys.executable, "-m", "nose2", "--quiet", *sys.argv[1:]]
    ended = subprocess.run(command, cwd=ROOT, check=False)
    if not RESULTS.exists():
        print("no results file: the test runner did not finish")
        return ended.returncode or 1
    passed, failed = outcomes()
    listed = known_red()
    unlisted = [name for name in failed if name not in listed]
    stale = [name for name in listed if name not in failed]
    for name, line in listed.items():
        print(f"known red: {line}" if name in failed else f"stale: {line}")
    for name in unlisted:
        print(f"failed: {name}")
    tests, total, share = line_share()
    print(f"test lines: {tests} of {total} ({share:.1%})")
    ok = bool(passed) and not unlisted and not stale
    ok = ok and len(listed) <= KNOWN_RED_MOST
    # A crash of the runner itself shows as a bad exit code with no failed
    # test; it must not pass as green.
    crashed = ended.returncode != 0 and not failed
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 0 if ok and not crashed else 1


if __name__ == "__main__":
    sys.exit(main())
