"""Text from outside that every process can encode."""

__all__ = ["escape", "is_encodable"]


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


def escape(text: str) -> str:
    """Return `text` with escapes for what cannot be encoded."""
    return text.encode(errors="backslashreplace").decode()
