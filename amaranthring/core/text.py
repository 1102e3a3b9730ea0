"""Text from outside that every process can encode."""

import re

__all__ = ["can_be_header", "escape", "is_encodable", "read_header"]

# Blanks around the value of a header are not of it, and control characters
# would end its line. Source: RFC 9110, section 5.5.
BLANKS = " \t"
CONTROLS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_encodable(text: str) -> bool:
    """Return whether `text` can be encoded as UTF-8.

    JSON may name single surrogates; strings that hold one can be neither
    sent, hashed nor stored.
    """
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def can_be_header(text: str) -> bool:
    """Return whether :func:`read_header` can return `text`."""
    return text == text.strip(BLANKS) and not CONTROLS.search(text)


def read_header(value: str) -> str:
    """Return the text of a header whose bytes tornado decodes as Latin-1.

    Clients send letters beyond ASCII as UTF-8. Bytes that are not UTF-8 stay
    as they were decoded.
    """
    value = value.strip(BLANKS)
    if value.isascii():
        return value
    try:
        return value.encode("latin1").decode()
    except UnicodeError:
        return value


def escape(text: str) -> str:
    """Return `text` with escapes for what cannot be encoded."""
    return text.encode(errors="backslashreplace").decode()
