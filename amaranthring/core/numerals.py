"""Whole numbers as others write them in headers.

``str.isdigit`` holds for digits that ``int`` does not read, ``int`` raises on
thousands of digits, and a float does not hold what hundreds of them mean.
"""

# Exceeds what any header counts, in bytes, milliseconds or tokens.
MAX_NUMBER = 10**15


def read(text: str, maximum: int = MAX_NUMBER) -> int | None:
    """Return the number in `text`, or None if it is none.

    Parameters
    ----------
    maximum : int
        Returned for all numbers above it.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or "0"), maximum)
