"""Minimal HTTP/1.1 reader and writer for the stand-ins and callers of the
soak."""

import asyncio

MAX_HEAD_BYTES = 64 * 1024


class HttpError(Exception):
    """The other side closed the connection early or sent invalid HTTP."""


class Head:
    """Start line and header fields of a message, by lower-case name."""

    def __init__(self, text):
        lines = text.split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.fields = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                self.fields[name.strip().lower()] = value.strip()

    @property
    def status(self):
        return int(self.start[1])

    def keeps_connection(self):
        return self.fields.get("connection", "").lower() != "close"


async def read_head(reader):
    """Reads the next head; None if the connection was closed before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise HttpError("connection closed inside the head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise HttpError(str(error)) from error
    head = Head(data.decode("latin-1"))
    if len(head.start) < 2:
        raise HttpError("invalid start line")
    return head


async def read_chunks(reader, head):
    """Yields the pieces of the body; raises HttpError if it is truncated."""
    try:
        if head.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        length = int(head.fields.get("content-length", "0"))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise HttpError("body truncated") from error


async def read_body(reader, head):
    return b"".join([piece async for piece in read_chunks(reader, head)])


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def request_status(address, start, fields):
    """The status of the response to a request without a body, on a connection
    of its own."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message(f"{start} HTTP/1.1", fields))
        head = await read_head(reader)
        if not head:
            raise HttpError("connection closed before a response")
        return head.status
    finally:
        writer.close()


async def serve(address, handle):
    """Starts a server that calls `handle` with the reader and writer of each
    connection."""
    host, port = address.split(":")

    async def handle_connection(reader, writer):
        try:
            await handle(reader, writer)
        except (HttpError, ConnectionError, asyncio.CancelledError):
            pass  # cancellation happens only at the end of the run
        finally:
            writer.close()

    return await asyncio.start_server(handle_connection, host, int(port),
                                      limit=MAX_HEAD_BYTES)
