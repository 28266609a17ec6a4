"""A loopback proxy whose connections can be delayed, cut or silenced."""

import asyncio

DELAY_S = 0.25


class Proxy:
    """Passes connections on to a target, as its mode allows.

    Modes: pass, delay, silent (nothing arrives), one-way (nothing comes
    back), reset (connections are reset, new ones as well).
    """

    MODES = ("delay", "silent", "one-way", "reset")

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self._passing = asyncio.Event()
        self._passing.set()
        self._writers = set()
        self._server = None

    async def start(self):
        host, port = self.listen.split(":")
        self._server = await asyncio.start_server(self._connect, host,
                                                  int(port))

    def stop(self):
        self._server.close()
        self._reset_all()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self._reset_all()
        if mode in ("pass", "delay"):
            self._passing.set()
        else:
            self._passing.clear()

    def _reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, back_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pump(reader, back_writer, ("silent",)),
                self._pump(back_reader, writer, ("silent", "one-way")))
        except asyncio.CancelledError:
            pass  # the run is over
        self._writers -= ends

    async def _pump(self, reader, writer, silencing):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                while self.mode in silencing:
                    await self._passing.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
        else:
            writer.close()
