"""Plain HTTP/1.1 for stand-ins: one call, and reading of messages."""

import asyncio


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + body


async def call(address, method, path, body=b"", headers=None, seconds=1.0):
    """Return status and body of a call on a new connection; 0 for none."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            host = f"{address[0]}:{address[1]}"
            fields = {"Host": host, "Connection": "close"}
            if body:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            first, _, content = await read_message(reader)
            return int(first.split()[1]), content
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
