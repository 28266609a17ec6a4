"""A loopback TCP proxy that can delay, reset or stall its connections."""

import asyncio

DELAY_S = 0.25


class Proxy:
    """Forwards connections to a target according to its mode.

    Modes: pass, delay, silent (forwards nothing), one-way (forwards nothing
    from the target), reset (resets existing and new connections).
    """

    MODES = ("delay", "silent", "one-way", "reset")

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self._resumed = asyncio.Event()
        self._resumed.set()
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
            self._resumed.set()
        else:
            self._resumed.clear()

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
        writers = {writer, back_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._pump(reader, back_writer, ("silent",)),
                self._pump(back_reader, writer, ("silent", "one-way")))
        except asyncio.CancelledError:
            pass  # the run has ended
        self._writers -= writers

    async def _pump(self, reader, writer, stalling_modes):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                while self.mode in stalling_modes:
                    await self._resumed.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            writer.transport.abort()
        else:
            writer.close()
