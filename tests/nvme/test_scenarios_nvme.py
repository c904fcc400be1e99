"""NVMe/TCP as target and as client of storage nodes, over loopback and under the real scheduler."""

from __future__ import annotations

import asyncio
import random
import struct
import unittest.mock
from collections import Counter
from typing import Any

from shaletiller.core.errors import BadRequestError
from shaletiller.core.model import FinalResponse, FinalResult
from shaletiller.messages.actions import Reject
from shaletiller.net.nvme import capsules, commands, pdu
from shaletiller.net.nvme.errors import FatalErrorStatus, PduError
from shaletiller.net.nvme.status import Status
from tests.net.test_endings import wait_until
from tests.support.scenario import NvmeNode, Scenario, Server, key, on_settable_clock, read_message

IC_REQ = pdu.ic_req().hex()


class Target(Scenario):
    """NVMe hosts, and storage nodes that speak HTTP."""

    async def test_blocks_are_objects_of_an_http_node(self) -> None:
        """A host writes a block, reads it and flushes.

        The storage node gets a PUT and a GET of the block's object; the Flush completes by itself.
        """
        await self.play("""
            send v1 write 7 hello
            expect n1 PUT 7
            send n1 200
            expect v1 ok
            send v1 read 7
            expect n1 GET 7
            send n1 200 hello
            expect v1 ok hello
            send v1 flush
            expect v1 ok
        """)

    async def test_a_write_by_r2t_arrives_completely(self) -> None:
        """A host sends a Write without data in its capsule.

        The target requests the data by R2T, and the storage node gets all of it.
        """
        await self.play("send v1 r2t_write 3 " + "y" * 4096)
        _, headers, body, writer, _ = await (await self.party("n1")).next()
        self.assertEqual((body, headers["content-length"]), (b"y" * 4096, "4096"))
        (await self.party("n1")).current = writer
        await self.play("send n1 200\nexpect v1 ok")

    async def test_a_command_of_two_blocks_waits_for_both(self) -> None:
        """A Read of two blocks becomes two requests. It completes with the data of both, in their order."""
        await self.play("send v1 read 8 - 2\nexpect n1 GET 8")
        node = await self.party("n1")
        first, _, _, second, _ = await node.next()
        self.assertIn(key("9"), first)
        await self.play("send n1 200 one")
        node.current = second
        await self.play("send n1 200 two")
        done, data = await (await self.party("v1")).result
        self.assertEqual((done.status, data[:3], data[4096:4099]), (0, b"one", b"two"))

    async def test_a_write_whose_node_closes_the_connection_fails_and_is_not_retried(self) -> None:
        """The storage node closes the connection after it received a write.

        The write may have run: the host gets Write Fault with Do Not Retry, and no node gets the write again.
        """
        await self.play("""
            send v1 write 7 once
            expect n1 PUT 7
            close n1
            expect v1 write_fault dnr
            wait 100
            expect n1 nothing
        """)

    async def test_a_rejection_is_retryable_and_carries_the_retry_delay(self) -> None:
        """The storage node is down and the scheduler rejects a write with a wait of 250 ms.

        The host gets Command Interrupted with the command retry delay that covers it.
        """
        await self.play("close n1 listener")
        host = await self.party("v1")
        await host.associate()
        decide = self.gateway.engine._scheduler.handle

        def advised(now_ms: float, event: Any) -> Any:
            actions = decide(now_ms, event)
            return [Reject(act.request, 250) if isinstance(act, Reject) else act for act in actions]

        self.gateway.engine._scheduler.handle = advised
        await self.play("send v1 write 7 a\nexpect v1 interrupted crd2")

    async def test_an_aborted_write_that_was_forwarded_must_not_be_retried(self) -> None:
        """A host aborts a write that the storage node has received.

        The write may have run: its status has Do Not Retry, and the attempt's connection is closed.
        """
        await self.play(
            "send v1 write 7 a\nexpect n1 PUT 7\nsend v1 abort\nexpect v1 aborted dnr\nexpect n1 closed"
        )

    async def test_the_attempts_of_a_disconnected_host_are_closed(self) -> None:
        """A host closes its connections while a read is in flight.

        The attempt's connection is closed, and no controller is left.
        """
        await self.play("send v1 read 7\nexpect n1 GET 7\nclose v1\nexpect n1 closed")
        self.assertEqual(self.gateway.nvme.controllers, {})

    async def test_commands_out_of_range_are_declined(self) -> None:
        """A host reads beyond the namespace, and more than one command may transfer.

        Both fail without a request.
        """
        await self.play("""
            send v1 read 1000
            expect v1 lba_range dnr
            send v1 read 0 - 32
            expect v1 invalid_field dnr
            expect n1 nothing
        """)

    async def test_identify_names_the_namespace(self) -> None:
        """A host lists the namespaces, keeps its association alive and sends an unknown command."""
        found = await (await self.party("v1")).associate()
        entry = commands.encode_command(
            commands.AdminOpcode.IDENTIFY, found.admin.next_command_id(), length=4096, tail=b"\x02"
        )
        done, data = await found.admin.run(entry, read_bytes=4096)
        self.assertEqual((done.status, data[:8]), (0, b"\1\0\0\0\0\0\0\0"))
        entry = commands.encode_command(commands.AdminOpcode.KEEP_ALIVE, found.admin.next_command_id())
        self.assertEqual((await found.admin.run(entry))[0].status, 0)
        entry = commands.encode_command(0x7E, found.admin.next_command_id())
        self.assertEqual((await found.admin.run(entry))[0].status, Status.INVALID_OPCODE)

    async def test_digests_are_declined_and_the_connection_goes_on(self) -> None:
        """A host requests digests in its ICReq. The ICResp declines them, and the connection is usable."""
        connection_request = bytearray(pdu.ic_req())
        connection_request[11] = 3
        await self.play(f"send v1 hex {connection_request.hex()}\nexpect v1 ic_resp 0")

    async def test_malformed_pdus_end_only_their_connection(self) -> None:
        """Hosts send PDUs that are malformed or out of sequence.

        Each connection ends with a C2HTermReq that names the reason; another host is served as before.
        """
        capsule = capsules.command_capsule(commands.encode_command(commands.AdminOpcode.KEEP_ALIVE, 1))
        stray = pdu.data_pdu(pdu.PduType.H2C_DATA, 1, 1, 0, b"x" * 16)
        wrong = {
            "no ICReq": (capsule, 2),
            "unknown type": (bytes([0x55, 0, 8, 0, 8, 0, 0, 0]), 1),
            "a unit of the other side": (pdu.r2t(0, 0, 0, 0), 2),
            "a length of 4 GiB": (bytes([4, 0, 72, 72, 255, 255, 255, 255]), 1),
            "a length below the header": (bytes([4, 0, 72, 0, 8, 0, 0, 0]), 1),
            "a wrong header length": (bytes([0, 0, 64, 0, 128, 0, 0, 0]), 1),
            "a strange version": (pdu.encode_pdu(pdu.PduType.IC_REQ, b"\x09\0"), 6),
        }
        after = {
            "stray data": (stray, 1),
            "a second ICReq": (pdu.ic_req(), 2),
            "a digest": (bytes([4, 1, 72, 0, 72, 0, 0, 0]) + bytes(64), 1),
        }
        for number, (what, (raw, why)) in enumerate(wrong.items()):
            with self.subTest(what):
                await self.play(f"send v{number} hex {raw.hex()}\nexpect v{number} term {why}")
        for number, (what, (raw, why)) in enumerate(after.items(), start=20):
            with self.subTest(what):
                await self.play(
                    f"send v{number} hex {IC_REQ}{raw.hex()}\nexpect v{number} ic_resp\n"
                    f"expect v{number} term {why}"
                )
        await self.play("send v99 read 7\nexpect n1 GET 7\nsend n1 200 fine\nexpect v99 ok fine")

    async def test_truncated_pdus_and_random_bytes_harm_no_other_host(self) -> None:
        """Hosts send random bytes and close in the middle of a PDU. Another host is served as before."""
        generator = random.Random(7)
        for number in range(12):
            raw = pdu.ic_req() + generator.randbytes(generator.randrange(1, 300))
            await self.play(
                f"send v{number} hex {raw[: generator.randrange(1, len(raw))].hex()}\nclose v{number}"
            )
        await self.play("send v99 read 7\nexpect n1 GET 7\nsend n1 200 fine\nexpect v99 ok fine")

    @on_settable_clock
    async def test_the_largest_write_by_r2t_arrives_in_order(self) -> None:
        """A host writes the sixteen blocks of the largest command by R2T. Each object gets its own block."""
        text = "".join(chr(97 + at) * 4096 for at in range(16))
        node, bodies = await self.party("n1"), {}

        async def record_body(server: Server, found: Any) -> None:
            first, _, body, server.current, _ = found
            bodies[first.split("key=")[1][:16]] = body[:1] * (len(body) == 4096)
            await server.send("200")

        node.script = record_body
        await self.play(f"send v1 r2t_write 32 {text} 16\nexpect v1 ok")
        self.assertEqual(bodies, {key(str(32 + at)): bytes([97 + at]) for at in range(16)})

    async def test_a_controller_that_is_disabled_drops_its_commands(self) -> None:
        """A host disables its controller while a read is in flight.

        The I/O queue ends, and no request stays behind.
        """
        await self.play("send v1 read 7\nexpect n1 GET 7")
        admin = (await self.party("v1")).association.admin
        tail = struct.pack("<B3xIQ", 0, commands.Property.CC, 0)
        await admin.run(
            commands.encode_fabrics_command(
                commands.FabricsCommand.PROPERTY_SET, admin.next_command_id(), tail
            )
        )
        await self.play("expect n1 closed")
        self.assertEqual(self.gateway.engine.exchanges, {})

    async def test_a_block_whose_request_is_rejected_as_malformed_fails_its_command(self) -> None:
        """The engine rejects the second of three blocks' requests as malformed.

        The command still completes once, with Internal Error.
        """
        submit, calls = self.gateway.engine.submit, []

        def reject_second(request: Any, answer: Any) -> Any:
            calls.append(request)
            if len(calls) == 2:
                raise BadRequestError("bad on purpose")
            return submit(request, answer)

        self.gateway.engine.submit = reject_second
        await self.play(
            "send v1 read 7 - 3\nexpect n1 GET 7\nsend n1 200\nexpect n1 GET 9\nsend n1 200\n"
            "expect v1 internal"
        )

    async def test_connect_is_checked(self) -> None:
        """Hosts connect with a wrong subsystem, queue size, controller id or queue, and send a command before
        Connect. Each gets the status of its fault.
        """
        name = self.gateway.config.nvme.target.subsystem
        tries = {
            "another subsystem": capsules.connect_capsule(1, 0, 32, 0, 0xFFFF, "nqn.other", "nqn.h"),
            "a queue too large": capsules.connect_capsule(1, 0, 1000, 0, 0xFFFF, name, "nqn.h"),
            "a queue of one": capsules.connect_capsule(1, 0, 1, 0, 0xFFFF, name, "nqn.h"),
            "a controller of its choice": capsules.connect_capsule(1, 0, 32, 0, 5, name, "nqn.h"),
            "an I/O queue of no controller": capsules.connect_capsule(1, 1, 32, 0, 9, name, "nqn.h"),
        }
        for number, (what, raw) in enumerate(tries.items()):
            with self.subTest(what):
                await self.play(
                    f"send v{number} hex {IC_REQ}{raw.hex()}\nexpect v{number} ic_resp\n"
                    f"expect v{number} resp connect_parameter"
                )
        early = capsules.command_capsule(
            commands.encode_command(commands.AdminOpcode.IDENTIFY, 1, length=4096)
        )
        await self.play(f"send v8 hex {IC_REQ}{early.hex()}\nexpect v8 ic_resp\nexpect v8 resp sequence")

    async def test_a_host_whose_keep_alive_expires_is_disconnected(self) -> None:
        """A host sets a keep alive timeout and then sends nothing.

        Its connection ends, and no controller is left.
        """
        raw = capsules.connect_capsule(
            1, 0, 32, 80, 0xFFFF, self.gateway.config.nvme.target.subsystem, "nqn.h"
        )
        await self.play(
            f"send v1 hex {IC_REQ}{raw.hex()}\nexpect v1 ic_resp\nexpect v1 resp success\nexpect v1 end"
        )
        self.assertEqual(self.gateway.nvme.controllers, {})

    async def test_a_host_that_sends_a_term_req_has_its_connection_closed(self) -> None:
        """A host ends the connection by H2CTermReq. The target closes it."""
        raw = pdu.term_req(pdu.PduType.H2C_TERM_REQ, PduError(FatalErrorStatus.SEQUENCE_ERROR, "x"))
        await self.play(f"send v1 hex {IC_REQ}{raw.hex()}\nexpect v1 ic_resp\nexpect v1 end")

    async def test_more_commands_than_the_queue_holds_end_the_connection(self) -> None:
        """A host sends one command more than the queue has entries.

        The connection ends with a sequence error.
        """
        name = self.gateway.config.nvme.target.subsystem
        entries = [
            commands.encode_command(commands.AdminOpcode.ASYNC_EVENT_REQUEST, cid) for cid in (3, 4, 5)
        ]
        events = b"".join(capsules.command_capsule(entry) for entry in entries)
        enable = commands.encode_fabrics_command(
            commands.FabricsCommand.PROPERTY_SET, 2, struct.pack("<B3xIQ", 0, commands.Property.CC, 1)
        )
        raw = (
            capsules.connect_capsule(1, 0, 2, 0, 0xFFFF, name, "nqn.h")
            + capsules.command_capsule(enable)
            + events
        )
        await self.play(
            f"send v1 hex {IC_REQ}{raw.hex()}\nexpect v1 ic_resp\nexpect v1 resp success\n"
            "expect v1 resp success\nexpect v1 term 2"
        )

    async def test_a_write_beyond_the_memory_for_write_data_is_retryable(self) -> None:
        """One host's write occupies all memory for write data.

        Another host's write is interrupted, to be retried, and succeeds when the first has completed; in the
        end nothing is reserved.
        """
        with unittest.mock.patch("shaletiller.net.nvme.io_commands.MAX_WRITE_DATA_BYTES", 4096):
            await self.play(
                "send v1 write 1 a\nexpect n1 PUT 1\nsend v2 write 2 b\nexpect v2 interrupted\n"
                "send n1 200\nexpect v1 ok\nsend v2 write 2 b\nexpect n1 PUT 2\nsend n1 200\n"
                "expect v2 ok"
            )
        self.assertEqual(self.gateway.nvme.write_data_bytes, 0)


class Upstream(Scenario):
    """HTTP clients and NVMe hosts, and a storage node of shard 1 that speaks NVMe."""

    servers = ("b1", "n2")

    async def test_http_requests_reach_an_nvme_storage_node(self) -> None:
        """An HTTP client writes and reads an object on a storage node that speaks NVMe.

        A shorter object is filled with zeros to the block's size.
        """
        await self.play("""
            send c1 PUT 5 hello
            expect b1 write 5 hello
            send b1 ok
            expect c1 200
            send c1 GET 5
            expect b1 read 5
            send b1 ok hello
        """)
        client = await self.party("c1")
        self.assertEqual((await read_message(client.reader))[2], b"hello".ljust(4096, b"\0"))

    async def test_a_storage_node_that_stalls_in_a_command_is_waited_for(self) -> None:
        """A storage node takes 200 ms for a write.

        The client gets its response, and the write is sent once.
        """
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nwait 200\nsend b1 ok\nexpect c1 200\nexpect b1 nothing"
        )

    async def test_a_storage_node_that_stalls_past_the_deadline_fails_its_write_once(self) -> None:
        """A storage node does not complete a write by its deadline.

        The client gets 502, the command's connection is closed and the write was sent once.
        """
        await self.play(
            "send c1 PUT 5 a timeout=150\nexpect b1 write 5 a\nwait 200\nexpect c1 502\n"
            "expect b1 disconnected 5"
        )
        self.assertEqual(len((await self.party("b1")).writes), 1)

    async def test_a_write_whose_connection_fails_after_its_capsule_is_never_retried(self) -> None:
        """A storage node closes the connection after the command capsule.

        The write may have run: the client gets 502 and the write was sent once.
        """
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nclose b1\nexpect c1 502\nwait 100\nexpect b1 nothing"
        )
        self.assertEqual(len((await self.party("b1")).writes), 1)

    async def test_a_read_whose_connection_fails_is_retried(self) -> None:
        """A storage node closes the connection of a read. The read is sent again and served."""
        await self.play(
            "send c1 GET 5\nexpect b1 read 5\nclose b1\nexpect b1 read 5\nsend b1 ok a\nexpect c1 200"
        )

    async def test_a_write_to_a_storage_node_that_is_down_is_rejected(self) -> None:
        """A storage node closes its connections and no longer listens.

        The write never ran: the client gets 503.
        """
        node = await self.party("b1")
        await node.close()
        await node.target.stop(0.1)
        await self.play("send c1 PUT 5 a timeout=400\nexpect c1 503")

    async def test_an_nvme_host_reaches_an_nvme_storage_node(self) -> None:
        """A host's Write and Read are carried out by a storage node that speaks NVMe too."""
        await self.play(
            "send v1 write 9 deep\nexpect b1 write 9 deep\nsend b1 ok\nexpect v1 ok\n"
            "send v1 read 9\nexpect b1 read 9\nsend b1 ok deep\nexpect v1 ok deep"
        )

    async def test_a_client_that_disconnects_closes_the_attempts_association(self) -> None:
        """An HTTP client closes its connection while a storage node reads.

        The command's association is closed.
        """
        await self.play("send c1 GET 5\nexpect b1 read 5\nclose c1\nexpect b1 disconnected 5")

    async def test_a_body_larger_than_a_block_is_not_sent(self) -> None:
        """A client's body is larger than a block. It gets 502, and the storage node gets no command."""
        node = await self.party("b1")
        await self.play(f"send c1 PUT 5 {'z' * 5000}\nexpect c1 502")
        self.assertEqual(node.writes, [])

    @on_settable_clock
    async def test_a_write_that_the_storage_node_did_not_begin_is_retried(self) -> None:
        """A storage node completes a write with Namespace Not Ready, without Do Not Retry.

        The write never ran: it is retried and served.
        """
        await self.play("send c1 PUT 5 a\nexpect b1 write 5 a\nsend b1 not_ready")
        await wait_until(
            lambda: not self.gateway.engine.attempts.in_flight, "the outcome of the first attempt"
        )
        await self.play("wait 150\nexpect b1 write 5 a\nsend b1 ok\nexpect c1 200")  # the next round

    async def test_a_write_that_the_storage_node_fails_is_not_retried(self) -> None:
        """A storage node completes a write with an error status.

        It may have run: the client gets 502 and the write is not sent again.
        """
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nsend b1 fault\nexpect c1 502\nexpect b1 nothing"
        )

    async def test_an_association_is_reused_and_closed_when_idle(self) -> None:
        """Three reads follow one another.

        They share one association, which is closed when its idle time is over.
        """
        for number in range(3):
            await self.play(f"send c1 GET {number}\nexpect b1 read {number}\nsend b1 ok\nexpect c1 200")
        node, upstream = await self.party("b1"), self.gateway._nvme_clients["b1"]
        self.assertEqual(len(node.target.controllers), 1)
        upstream._idle_s = 0.0
        upstream._close_stale()
        await self.play("wait 50")
        self.assertEqual(node.target.controllers, {})


class LargeBlocks(Scenario):
    """A storage node whose blocks are larger than a command capsule."""

    servers = ("b1",)
    nvme_block_bytes = 65536

    @on_settable_clock
    async def test_a_write_larger_than_a_capsule_is_sent_by_r2t(self) -> None:
        """A block is larger than what fits a command capsule.

        The storage node requests its data by R2T, and a read returns it.
        """
        body = "z" * 65536
        await self.play(
            f"send c1 PUT 5 {body}\nexpect b1 write 5 {body}\nsend b1 ok\nexpect c1 200\n"
            f"send c1 GET 5\nexpect b1 read 5\nsend b1 ok {body}\nexpect c1 200 {body}"
        )


class WrongBlockSize(Scenario):
    """A storage node whose blocks have another size than configured."""

    servers = ("b1",)

    async def test_a_storage_node_of_another_block_size_gets_no_command(self) -> None:
        """A storage node's namespace has larger blocks than the configuration states.

        Its association is closed before the first command: the client gets 503.
        """
        node = await self.party("b1")
        space = node.target.namespaces[1]
        node.target.namespaces[1] = type(space)(1, 1000, "r", "w", "p", space.volume, 0, block_bytes=8192)
        await self.play("send c1 PUT 5 a timeout=300\nexpect c1 503\nexpect b1 nothing")


class Mixed(Scenario):
    """Clients and storage nodes of both protocols; the nodes close connections, stall and reject."""

    servers = ("n1", "b2")

    async def test_no_write_runs_twice_and_every_request_gets_a_response(self) -> None:
        """Six HTTP clients and six NVMe hosts read and write, and both storage nodes fail at random.

        The nodes close connections, stall and reject.  Every request must get a response, and no write may
        reach a node twice, except after a rejection that proves that it did not run.
        """
        self.random = random.Random(11)
        self.writes_run: Counter[str] = Counter()
        self.statuses: Counter[str] = Counter()
        http_node, nvme_node = await self.party("n1"), await self.party("b2")
        http_node.script, nvme_node.script = self.run_http_node, self.run_nvme_node
        clients = [self.run_client(f"c{number}") for number in range(6)]
        hosts = [self.run_host(f"v{number}") for number in range(6)]
        await asyncio.gather(*clients, *hosts)
        self.writes_run.update(f"{target} {body!r}" for target, body in nvme_node.writes)
        self.assertEqual(sum(self.statuses.values()), 12 * 12)
        self.assertEqual([each for each, count in self.writes_run.items() if count > 1], [])
        self.assertGreater(self.statuses["200"], 30)
        self.assertGreater(self.statuses["SUCCESS"], 30)
        self.assertEqual(self.gateway.engine.exchanges, {})

    async def run_http_node(self, server: Server, found: Any) -> None:
        """An HTTP storage node that closes, rejects or stalls now and then."""
        first, headers, _, writer, _ = found
        chance = self.random.random()
        if first.startswith("PUT") and not 0.1 <= chance < 0.2:
            self.writes_run[headers["request-id"]] += 1
        await asyncio.sleep(0.2 if chance > 0.95 else 0.002)
        server.current = writer  # only now: other requests were served meanwhile
        if chance < 0.1:
            await server.close()
        elif chance < 0.2:
            await server.send("503", **{"Not-Started": "1"})
        else:
            await server.send("200", "ok")

    def run_nvme_node(self, server: NvmeNode, call: Any, respond: Any) -> None:
        """An NVMe storage node that closes its connections or stalls now and then."""
        chance = self.random.random()
        loop = asyncio.get_running_loop()
        if chance < 0.1:
            loop.call_soon(lambda: asyncio.ensure_future(server.close()))
        else:
            wait_s = 0.2 if chance < 0.15 else 0.002
            loop.call_later(wait_s, respond, FinalResponse(FinalResult.SERVED, b"ok"))

    async def run_client(self, name: str) -> None:
        """Twelve requests of an HTTP client, one after another, to both shards."""
        for number in range(12):
            party = await self.party(name)
            write = self.random.random() < 0.5
            body = [f"{name}w{number}"] if write else []
            await party.send(
                "PUT" if write else "GET",
                str(self.count()),
                *body,
                shard="1" if self.random.random() < 0.5 else "2",
                timeout="600",
            )
            first, _, _ = await asyncio.wait_for(read_message(party.reader), 2.0)
            self.statuses[first.split()[1]] += 1

    async def run_host(self, name: str) -> None:
        """Twelve commands of an NVMe host, one after another."""
        party = await self.party(name)
        for _ in range(12):
            if self.random.random() < 0.5:
                await party.send("write", str(self.count() % 1000), f"{name}x")
            else:
                await party.send("read", str(self.count() % 1000))
            done, _ = await asyncio.wait_for(party.result, 2.0)
            self.statuses[Status(done.status).name] += 1
