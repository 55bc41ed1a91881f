"""TCP relay whose open connections can go silent while new ones work."""

import asyncio
import contextlib
import threading


class Relay:
    """Forwards connections from one address to another, in a thread.

    Parameters
    ----------
    listen, target : str
        ``ip:port``.

    Attributes
    ----------
    accepted : int
        Connections accepted so far.
    """

    def __init__(self, listen: str, target: str):
        self.listen = listen
        self.target = target
        self.accepted = 0
        self.generation = 0
        self.loop = asyncio.new_event_loop()
        self.started = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        assert self.started.wait(5), listen

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        ip, _, port = self.listen.rpartition(":")
        start = asyncio.start_server(self._serve, ip, int(port))
        self.server = self.loop.run_until_complete(start)
        self.started.set()
        self.loop.run_forever()
        self.server.close()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        ended = asyncio.gather(*tasks, return_exceptions=True)
        self.loop.run_until_complete(ended)
        self.loop.close()

    async def _serve(self, reader, writer) -> None:
        self.accepted += 1
        generation = self.generation
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        pumps = (
            self._pump(reader, far_writer, generation),
            self._pump(far_reader, writer, generation),
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*pumps)

    async def _pump(self, reader, writer, generation: int) -> None:
        """Copy until the end; bytes of a silent connection are dropped."""
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        # The end of a silent connection is not passed on either.
        if generation == self.generation:
            writer.close()

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self.generation += 1

    def close(self) -> None:
        """Stop the thread; open connections end with it."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
