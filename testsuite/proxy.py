# SPDX-License-Identifier: Apache-2.0
"""A loopback proxy for TCP that a soak makes trouble with: it delays, resets, cuts one way or
silences the connections through it. One thread with an event loop serves all proxies."""
import asyncio
import socket
import struct
import threading

CHUNK = 64 * 1024
# A silenced direction looks this often whether it may go on.
LOOK_S = 0.02


class Proxy:
    """Listens on `port` and passes on to `target`, IP:PORT, which is set before the first
    connection. The fields may change at any time."""

    def __init__(self, port):
        self.port, self.target = port, ""
        self.delay_s = 0.0
        self.silent_to = False    # Bytes towards the target are held up,
        self.silent_back = False  # and those on the way back.
        self.refusing = False     # New connections are reset.
        self.opened = 0           # Connections so far,
        self.deaf_through = 0     # and how many of the first are silent for good, without a reset.
        self.writers = set()

    async def serve(self):
        await asyncio.start_server(self.accepted, "127.0.0.1", self.port)

    async def accepted(self, reader, writer):
        if self.refusing:
            return reset(writer)
        host, port = self.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return reset(writer)
        pair = (writer, to_writer)
        self.writers.update(pair)
        self.opened += 1
        number = self.opened
        await asyncio.gather(self.pump(number, reader, to_writer, "silent_to"),
                             self.pump(number, to_reader, writer, "silent_back"))
        self.writers.difference_update(pair)

    def deafen(self):
        """What is open now stays open and passes nothing on any more; new connections work."""
        self.deaf_through = self.opened

    async def pump(self, number, reader, writer, silence):
        try:
            while True:
                data = await reader.read(CHUNK)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while getattr(self, silence):
                    await asyncio.sleep(LOOK_S)
                if not data:
                    break
                if number <= self.deaf_through:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            reset(writer)
        writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    def heal(self):
        self.delay_s, self.silent_to, self.silent_back, self.refusing = 0.0, False, False, False


def reset(writer):
    """Closes so that the other side gets a reset, not an end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ProxyThread:
    """Runs proxies until the process ends. `call` runs a function beside them."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, proxy):
        asyncio.run_coroutine_threadsafe(proxy.serve(), self.loop).result(10)

    def call(self, function):
        self.loop.call_soon_threadsafe(function)
