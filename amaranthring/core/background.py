"""Background tasks whose failures are logged.

An error that ends a task reaches nobody unless something awaits the task, and
asyncio reports it only once nothing refers to the task any more. Tasks that
are kept in a list would end without a trace.
"""

import asyncio
import typing as t

import logbook

__all__ = ["log_unhandled", "start"]

log = logbook.Logger(__name__)


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
