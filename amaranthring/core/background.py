"""Background tasks whose failures are logged, and work that goes on after one.

An error that ends a task reaches nobody unless something awaits the task, and
asyncio reports it only once nothing refers to the task any more. Tasks that
are kept in a list would end without a trace, and what they do for the process
would not be done any more while the rest of it goes on.
"""

import asyncio
import time
import typing as t

import logbook

__all__ = ["keep_running", "log_unhandled", "start"]

log = logbook.Logger(__name__)

# Pause before work that has failed begins again.
RESTART_SECONDS = 0.1
# Bounds the log of work that fails each time.
MAX_RESTART_SECONDS = 2.0
# Work that has gone on for this time begins again after the shortest pause.
STABLE_SECONDS = 10.0


def start(name: str, coroutine: t.Coroutine) -> asyncio.Task:
    """Run `coroutine` in a task; log the error that ends it.

    Parameters
    ----------
    name : str
        Names the work in the log.
    """
    task = asyncio.ensure_future(coroutine)
    task.set_name(name)
    task.add_done_callback(_log_failure)
    return task


def keep_running(
    name: str, run: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
) -> asyncio.Task:
    """Run `run` in a task until that is cancelled, whatever fails.

    Parameters
    ----------
    name : str
        Names the work in the log.
    run : callable
        Does the work until it is cancelled. It is called again after an
        error, and so may assume nothing of what it left behind.
    """
    return start(name, _run_again(name, run))


async def _run_again(
    name: str, run: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
) -> None:
    pause = RESTART_SECONDS
    while True:
        began = time.monotonic()
        try:
            await run()
            return
        except Exception as error:
            _log_error(name, error)
        if time.monotonic() - began > STABLE_SECONDS:
            pause = RESTART_SECONDS
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RESTART_SECONDS)


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log_error(task.get_name(), task.exception())


def _log_error(name: str, error: BaseException) -> None:
    log.error(
        "task.failed task={} fault={!r}",
        name,
        error,
        exc_info=(type(error), error, error.__traceback__),
    )


def log_unhandled(loop: asyncio.AbstractEventLoop) -> None:
    """Log errors that no code of the process handles.

    They are those of callbacks, and of tasks that nothing awaits.
    """
    loop.set_exception_handler(_log_context)


def _log_context(
    _loop: asyncio.AbstractEventLoop, context: dict[str, t.Any]
) -> None:
    error = context.get("exception")
    exc_info = (type(error), error, error.__traceback__) if error else None
    log.error("loop.error fault={}", context["message"], exc_info=exc_info)
