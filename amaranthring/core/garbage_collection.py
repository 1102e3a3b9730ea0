"""What garbage collection need not look at."""

import gc


def freeze_startup_objects() -> None:
    """Leave what was loaded at the start out of garbage collection.

    A full collection would else walk all modules again and again, a pause
    of tens of milliseconds between the tokens of every stream.
    """
    gc.collect()
    gc.freeze()
