"""HTTP/1.1 over asyncio for the stand-ins: one server loop and small helpers."""

import asyncio


class Head:
    """Start line and header lines of a message. Header names are in lower case."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    """Reads a head; `None` if the other side closes before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunks(reader):
    """Yields the chunks of a chunked body. Raises if the body ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, head):
    """Reads the body of a message that has a length or chunks."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", "0")))


def response(status, reason, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, port, handle):
    """Serves `handle(method, target, head, body, writer)`, which returns whether to go on."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head.line.split(" ", 2)
                body = await read_body(reader, head)
                if not await handle(method, target, head, body, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port)
