# SPDX-License-Identifier: Apache-2.0
"""A loopback proxy for TCP that a soak makes trouble with: it delays, resets, cuts one way or
silences the connections through it. One thread with an event loop serves all proxies."""
import asyncio
import random
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
                if not await self.delivers(number, silence == "silent_to", data):
                    reset(writer)
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            reset(writer)
        writer.close()

    async def delivers(self, number, is_request, data):
        """Whether the data is passed on; else its receiver's connection is reset."""
        return True

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


class StartAnswerResets(Proxy):
    """Stands before a worker. While `active` is not 0, a connection whose first request starts a run
    is reset in place of the response that says so: the run exists and its client cannot know."""

    DELAY_S = (0.0, 0.03)  # From the response to the reset.

    def __init__(self, port, seed):
        super().__init__(port)
        self.active, self.resets = 0, 0
        self.random = random.Random(seed)
        self.starting = set()  # Connections whose first request starts a run, until its response.
        self.used = set()      # Those that have sent a request.

    async def delivers(self, number, is_request, data):
        if is_request:
            if number not in self.used and data.startswith(b"POST /api/run-start "):
                self.starting.add(number)
            self.used.add(number)
            return True
        if number not in self.starting:
            return True
        self.starting.discard(number)
        if not self.active or not data.startswith(b"HTTP/1.1 200 "):
            return True
        self.resets += 1
        await asyncio.sleep(self.random.uniform(*self.DELAY_S))
        return False


class ServerConnections(Proxy):
    """Stands before a server that accepts at most `cap` connections and resets further ones. Lost
    clients neither close nor reset their connections: each stays open and counts until the server
    sends something on it."""

    def __init__(self, port, cap):
        super().__init__(port)
        self.cap = cap
        self.open, self.refused = 0, 0
        self.numbers = set()   # Of the connections to the server.
        self.lost_through = 0  # The clients of so many of the first connections are lost,
        self.gone_through = 0  # and what they had sent before has arrived.
        self.tasks = set()     # The event loop holds no reference to the tasks of connections.

    async def accepted(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        await self.serve_connection(reader, writer)
        self.tasks.discard(asyncio.current_task())

    async def serve_connection(self, reader, writer):
        if self.open >= self.cap:
            self.refused += 1
            return reset(writer)
        self.open += 1
        try:
            host, port = self.target.rsplit(":", 1)
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.open -= 1
            return reset(writer)
        self.opened += 1
        number = self.opened
        self.numbers.add(number)
        await asyncio.gather(self.pass_on(number, reader, to_writer),
                             self.pass_back(number, to_reader, writer, to_writer))
        self.numbers.discard(number)
        self.open -= 1

    def left_behind(self):
        """How many connections of lost clients are open."""
        return sum(number <= self.lost_through for number in self.numbers)

    async def pass_on(self, number, reader, to_writer):
        """Requests. The end of a lost client is not seen by the server."""
        try:
            while data := await reader.read(CHUNK):
                to_writer.write(data)
                await to_writer.drain()
        except OSError:
            pass
        if number > self.gone_through:
            to_writer.close()

    async def pass_back(self, number, to_reader, writer, to_writer):
        """Responses. One to a lost client ends its connection."""
        try:
            while data := await to_reader.read(CHUNK):
                if number <= self.lost_through:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        reset(to_writer)
        writer.close()

    def lose_clients(self):
        """The clients of all connections that are open have lost power: no response arrives."""
        self.lost_through = self.opened

    def forget_clients(self):
        """Nothing more arrives from lost clients, not even an end."""
        self.gone_through = self.lost_through


class ProxyThread:
    """Runs proxies until the process ends. `call` runs a function beside them."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, proxy):
        asyncio.run_coroutine_threadsafe(proxy.serve(), self.loop).result(10)

    def call(self, function):
        self.loop.call_soon_threadsafe(function)
