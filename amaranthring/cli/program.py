"""Entry point: runs a command and maps errors to exit codes.

Exit codes: 0 success, 1 refused or unreachable, 2 usage or settings error.
"""

import sys
import typing as t

import fire

from amaranthring import errors
from amaranthring.cli import commands

EXIT_FAILURE = 1
EXIT_USAGE = 2
USAGE_ERRORS = (errors.SettingsError, errors.UsageError)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with its code."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    # Prints help directly; fire would start a pager.
    fire.core.Display = _display
    try:
        operator = _pop_option(words, "--operator")
        root = commands.Commands(operator)
        fire.Fire(root, command=words, name="amaranthring")
    except errors.AmaranthringError as error:
        _print_error(error)
        usage = isinstance(error, USAGE_ERRORS)
        sys.exit(EXIT_USAGE if usage else EXIT_FAILURE)
    except KeyboardInterrupt:
        sys.exit(EXIT_FAILURE)
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(EXIT_FAILURE)


def _pop_option(words: list[str], flag: str) -> str:
    """Remove `flag` and its value from `words` and return the value."""
    for position, word in enumerate(words):
        if word.startswith(flag + "="):
            del words[position]
            return word.partition("=")[2]
        if word == flag:
            if position + 1 == len(words):
                raise errors.UsageError(
                    f"{flag} has no value", given="", expected="a file"
                )
            value = words[position + 1]
            del words[position : position + 2]
            return value
    return ""


def _print_error(error: errors.AmaranthringError) -> None:
    for line in str(error).splitlines():
        print(f"amaranthring: {line}", file=sys.stderr)
    if error.retry_after is not None:
        print(
            f"amaranthring: come back in {error.retry_after:g} s",
            file=sys.stderr,
        )


def _display(lines: t.Iterable[str], out: t.TextIO) -> None:
    out.write("\n".join(lines) + "\n")
