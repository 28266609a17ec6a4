"""HTTP/1.1 as the stand-ins and callers of the soak read and write it."""

import asyncio

HEAD_LIMIT = 64 * 1024


class Broken(Exception):
    """The other side closed, or sent what is not HTTP."""


class Head:
    """Start line and fields of a message; names of fields in lower case."""

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
    """The next head, or None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("half a head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise Broken(str(error)) from error
    head = Head(data.decode("latin-1"))
    if len(head.start) < 2:
        raise Broken("not a start line")
    return head


async def read_chunks(reader, head):
    """Yields the body piece by piece; raises Broken if it is cut short."""
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
        raise Broken("body cut short") from error


async def read_body(reader, head):
    return b"".join([piece async for piece in read_chunks(reader, head)])


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve(address, handle):
    """Starts a server that passes each connection's reader and writer on."""
    host, port = address.split(":")

    async def guarded(reader, writer):
        try:
            await handle(reader, writer)
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass  # cancelled only once the run is over
        finally:
            writer.close()

    return await asyncio.start_server(guarded, host, int(port),
                                      limit=HEAD_LIMIT)
