"""The parts that operators use: a second process beside the first, the door for operators and its calls."""

from __future__ import annotations

import asyncio
import socket

from shaletiller.clock import Clock
from shaletiller.net.door import Door
from tests.scenario import Scenario


class Replacing(Scenario):
    async def test_a_second_process_listens_on_the_same_address(self) -> None:
        # Without SO_REUSEPORT the new process of an upgrade ends at its start with EADDRINUSE.
        port = self.gateway.front.address[1]
        door = Door(lambda request: None, 8, Clock(), False, lambda *_: False)  # type: ignore[arg-type,return-value]
        door.listen("127.0.0.1", port)
        self.assertEqual(door.address[1], port)
        door.shut()
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            send n1 200 here
            expect c1 200 here
        """)

    async def test_what_waits_in_the_queue_at_the_shut_is_answered(self) -> None:
        # A listener that is closed resets the connections queued in it: the client sees no answer.
        front = self.gateway.front
        listener = front._door._listener
        assert listener is not None
        asyncio.get_running_loop().remove_reader(listener)  # the kernel queues the client
        reader, writer = await asyncio.open_connection(*front.address)
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        front.shut()
        line = await asyncio.wait_for(reader.readline(), 2)
        self.assertEqual(line.split()[1], b"200")
        writer.close()
        with socket.socket() as late:
            self.assertNotEqual(late.connect_ex(front.address), 0)
