"""The NVMe/TCP front and back on loopback, against the same decisions and rules."""

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
from tests.support.scenario import Box, Scenario, Server, key, read_message

IC_REQ = pdu.ic_req().hex()


class Front(Scenario):
    """NVMe hosts before HTTP nodes."""

    async def test_blocks_are_objects_of_an_http_node(self) -> None:
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

    async def test_a_write_by_r2t_arrives_whole(self) -> None:
        await self.play("send v1 r2t_write 3 " + "y" * 4096)
        _, heads, body, writer, _ = await (await self.party("n1")).next()
        self.assertEqual((body, heads["content-length"]), (b"y" * 4096, "4096"))
        (await self.party("n1")).current = writer
        await self.play("send n1 200\nexpect v1 ok")

    async def test_a_command_of_two_blocks_waits_for_both(self) -> None:
        await self.play("send v1 read 8 - 2\nexpect n1 GET 8")
        node = await self.party("n1")
        first, _, _, second, _ = await node.next()
        self.assertIn(key("9"), first)
        await self.play("send n1 200 one")
        node.current = second
        await self.play("send n1 200 two")
        done, data = await (await self.party("v1")).result
        self.assertEqual((done.status, data[:3], data[4096:4099]), (0, b"one", b"two"))

    async def test_a_write_cut_after_it_was_sent_fails_for_good_and_is_not_sent_again(self) -> None:
        await self.play("""
            send v1 write 7 once
            expect n1 PUT 7
            close n1
            expect v1 write_fault dnr
            wait 100
            expect n1 nothing
        """)

    async def test_a_refusal_is_retryable_and_carries_the_retry_delay(self) -> None:
        await self.play("close n1 door")
        host = await self.party("v1")
        await host.associate()
        decide = self.gateway.engine._scheduler.handle

        def advised(now_ms: float, event: Any) -> Any:
            actions = decide(now_ms, event)
            return [Reject(act.request, 250) if isinstance(act, Reject) else act for act in actions]

        self.gateway.engine._scheduler.handle = advised
        await self.play("send v1 write 7 a\nexpect v1 interrupted crd2")

    async def test_an_aborted_write_that_went_out_is_not_to_be_retried(self) -> None:
        await self.play(
            "send v1 write 7 a\nexpect n1 PUT 7\nsend v1 abort\nexpect v1 aborted dnr\nexpect n1 closed"
        )

    async def test_a_host_that_leaves_takes_its_attempts_along(self) -> None:
        await self.play("send v1 read 7\nexpect n1 GET 7\nclose v1\nexpect n1 closed")
        self.assertEqual(self.gateway.nvme.controllers, {})

    async def test_commands_out_of_range_are_declined(self) -> None:
        await self.play("""
            send v1 read 1000
            expect v1 lba_range dnr
            send v1 read 0 - 32
            expect v1 invalid_field dnr
            expect n1 nothing
        """)

    async def test_identify_names_the_namespace(self) -> None:
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

    async def test_digests_are_declined_and_the_rest_goes_on(self) -> None:
        asked = bytearray(pdu.ic_req())
        asked[11] = 3
        await self.play(f"send v1 hex {asked.hex()}\nexpect v1 ic_resp 0")

    async def test_hostile_units_end_their_connection_alone(self) -> None:
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

    async def test_truncated_units_and_random_bytes_harm_nothing(self) -> None:
        dice = random.Random(7)
        for number in range(12):
            raw = pdu.ic_req() + dice.randbytes(dice.randrange(1, 300))
            await self.play(f"send v{number} hex {raw[: dice.randrange(1, len(raw))].hex()}\nclose v{number}")
        await self.play("send v99 read 7\nexpect n1 GET 7\nsend n1 200 fine\nexpect v99 ok fine")

    async def test_a_whole_queues_worth_of_blocks_by_r2t_arrives_in_order(self) -> None:
        text = "".join(chr(97 + at) * 4096 for at in range(16))
        node, bodies = await self.party("n1"), {}

        async def take(server: Server, found: Any) -> None:
            first, _, body, server.current, _ = found
            bodies[first.split("key=")[1][:16]] = body[:1] * (len(body) == 4096)
            await server.send("200")

        node.script = take
        await self.play(f"send v1 r2t_write 32 {text} 16\nexpect v1 ok")
        self.assertEqual(bodies, {key(str(32 + at)): bytes([97 + at]) for at in range(16)})

    async def test_a_controller_that_is_disabled_drops_its_commands(self) -> None:
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

    async def test_a_call_that_is_turned_down_ends_its_command(self) -> None:
        call, calls = self.gateway.engine.submit, []

        def second_is_bad(asked: Any, answer: Any) -> Any:
            calls.append(asked)
            if len(calls) == 2:
                raise BadRequestError("bad on purpose")
            return call(asked, answer)

        self.gateway.engine.submit = second_is_bad
        await self.play(
            "send v1 read 7 - 3\nexpect n1 GET 7\nsend n1 200\nexpect n1 GET 9\nsend n1 200\n"
            "expect v1 internal"
        )

    async def test_connect_is_checked(self) -> None:
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

    async def test_a_host_that_keeps_no_keep_alive_is_let_go(self) -> None:
        raw = capsules.connect_capsule(
            1, 0, 32, 80, 0xFFFF, self.gateway.config.nvme.target.subsystem, "nqn.h"
        )
        await self.play(
            f"send v1 hex {IC_REQ}{raw.hex()}\nexpect v1 ic_resp\nexpect v1 resp success\nexpect v1 end"
        )
        self.assertEqual(self.gateway.nvme.controllers, {})

    async def test_a_host_that_ends_the_connection_is_let_go(self) -> None:
        raw = pdu.term_req(pdu.PduType.H2C_TERM_REQ, PduError(FatalErrorStatus.SEQUENCE_ERROR, "x"))
        await self.play(f"send v1 hex {IC_REQ}{raw.hex()}\nexpect v1 ic_resp\nexpect v1 end")

    async def test_more_commands_than_the_queue_holds_end_the_connection(self) -> None:
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

    async def test_write_data_beyond_what_may_be_held_is_to_be_tried_again(self) -> None:
        with unittest.mock.patch("shaletiller.net.nvme.io_commands.MAX_WRITE_DATA_BYTES", 4096):
            await self.play(
                "send v1 write 1 a\nexpect n1 PUT 1\nsend v2 write 2 b\nexpect v2 interrupted\n"
                "send n1 200\nexpect v1 ok\nsend v2 write 2 b\nexpect n1 PUT 2\nsend n1 200\n"
                "expect v2 ok"
            )
        self.assertEqual(self.gateway.nvme.write_data_bytes, 0)


class Back(Scenario):
    """HTTP clients and NVMe hosts before an NVMe box that holds shard 1."""

    servers = ("b1", "n2")

    async def test_http_requests_reach_the_box(self) -> None:
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

    async def test_a_box_that_stalls_in_a_command_is_waited_for(self) -> None:
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nwait 200\nsend b1 ok\nexpect c1 200\nexpect b1 nothing"
        )

    async def test_a_box_that_stalls_past_the_deadline_fails_its_write_once(self) -> None:
        await self.play(
            "send c1 PUT 5 a timeout=150\nexpect b1 write 5 a\nwait 200\nexpect c1 502\nexpect b1 left 5"
        )
        self.assertEqual(len((await self.party("b1")).writes), 1)

    async def test_a_write_cut_after_its_capsule_fails_and_is_never_sent_again(self) -> None:
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nclose b1\nexpect c1 502\nwait 100\nexpect b1 nothing"
        )
        self.assertEqual(len((await self.party("b1")).writes), 1)

    async def test_a_read_that_is_cut_is_tried_again(self) -> None:
        await self.play(
            "send c1 GET 5\nexpect b1 read 5\nclose b1\nexpect b1 read 5\nsend b1 ok a\nexpect c1 200"
        )

    async def test_a_box_that_is_gone_refuses(self) -> None:
        box = await self.party("b1")
        await box.close()
        await box.front.stop(0.1)
        await self.play("send c1 PUT 5 a timeout=400\nexpect c1 503")

    async def test_an_nvme_host_reaches_an_nvme_box(self) -> None:
        await self.play(
            "send v1 write 9 deep\nexpect b1 write 9 deep\nsend b1 ok\nexpect v1 ok\n"
            "send v1 read 9\nexpect b1 read 9\nsend b1 ok deep\nexpect v1 ok deep"
        )

    async def test_a_client_that_leaves_closes_the_boxs_connection(self) -> None:
        await self.play("send c1 GET 5\nexpect b1 read 5\nclose c1\nexpect b1 left 5")

    async def test_a_body_larger_than_a_block_is_not_sent(self) -> None:
        box = await self.party("b1")
        await self.play(f"send c1 PUT 5 {'z' * 5000}\nexpect c1 502")
        self.assertEqual(box.writes, [])

    async def test_a_write_that_the_box_did_not_begin_goes_again(self) -> None:
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nsend b1 not_ready\nexpect b1 write 5 a\n"
            "send b1 ok\nexpect c1 200"
        )

    async def test_a_write_that_the_box_fails_is_failed(self) -> None:
        await self.play(
            "send c1 PUT 5 a\nexpect b1 write 5 a\nsend b1 fault\nexpect c1 502\nexpect b1 nothing"
        )

    async def test_an_association_is_kept_and_closes_when_idle(self) -> None:
        for number in range(3):
            await self.play(f"send c1 GET {number}\nexpect b1 read {number}\nsend b1 ok\nexpect c1 200")
        box, back = await self.party("b1"), self.gateway._nvme_clients["b1"]
        self.assertEqual(len(box.front.controllers), 1)
        back._idle_s = 0.0
        back._close_stale()
        await self.play("wait 50")
        self.assertEqual(box.front.controllers, {})


class LargeBlocks(Scenario):
    servers = ("b1",)
    box_block = 65536

    async def test_a_write_larger_than_a_capsule_goes_by_r2t(self) -> None:
        body = "z" * 65536
        await self.play(
            f"send c1 PUT 5 {body}\nexpect b1 write 5 {body}\nsend b1 ok\nexpect c1 200\n"
            f"send c1 GET 5\nexpect b1 read 5\nsend b1 ok {body}\nexpect c1 200 {body}"
        )


class WrongBlocks(Scenario):
    servers = ("b1",)

    async def test_a_box_of_another_block_size_gets_no_command(self) -> None:
        box = await self.party("b1")
        space = box.front.namespaces[1]
        box.front.namespaces[1] = type(space)(1, 1000, "r", "w", "p", space.volume, 0, block_bytes=8192)
        await self.play("send c1 PUT 5 a timeout=300\nexpect c1 503\nexpect b1 nothing")


class Mixed(Scenario):
    """Both kinds of clients, both kinds of servers, and servers that cut, stall and turn away."""

    servers = ("n1", "b2")

    async def test_no_write_runs_twice_and_every_request_is_answered(self) -> None:
        dice = random.Random(11)
        node, box = await self.party("n1"), await self.party("b2")

        ran: Counter[str] = Counter()

        async def node_script(server: Server, found: Any) -> None:
            first, heads, _, writer, _ = found
            kind = dice.random()
            if first.startswith("PUT") and not 0.1 <= kind < 0.2:
                ran[heads["request-id"]] += 1
            await asyncio.sleep(0.2 if kind > 0.95 else 0.002)
            server.current = writer  # only now: others were served meanwhile
            if kind < 0.1:
                await server.close()
            elif kind < 0.2:
                await server.send("503", **{"Not-Started": "1"})
            else:
                await server.send("200", "ok")

        def box_script(server: Box, call: Any, answer: Any) -> None:
            kind = dice.random()
            if kind < 0.1:
                asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(server.close()))
            else:
                wait_s = 0.2 if kind < 0.15 else 0.002
                asyncio.get_running_loop().call_later(
                    wait_s, answer, FinalResponse(FinalResult.SERVED, b"ok")
                )

        node.script, box.script = node_script, box_script
        statuses: Counter[str] = Counter()

        async def client(name: str) -> None:
            for number in range(12):
                party = await self.party(name)
                write = dice.random() < 0.5
                body = [f"{name}w{number}"] if write else []
                await party.send(
                    "PUT" if write else "GET",
                    str(self.count()),
                    *body,
                    shard="1" if dice.random() < 0.5 else "2",
                    timeout="600",
                )
                first, _, _ = await asyncio.wait_for(read_message(party.reader), 2.0)
                statuses[first.split()[1]] += 1

        async def host(name: str) -> None:
            party = await self.party(name)
            for _ in range(12):
                if dice.random() < 0.5:
                    await party.send("write", str(self.count() % 1000), f"{name}x")
                else:
                    await party.send("read", str(self.count() % 1000))
                done, _ = await asyncio.wait_for(party.result, 2.0)
                statuses[Status(done.status).name] += 1

        names = [client(f"c{n}") for n in range(6)] + [host(f"v{n}") for n in range(6)]
        await asyncio.gather(*names)
        ran.update(f"{target} {body!r}" for target, body in box.writes)
        self.assertEqual(sum(statuses.values()), 12 * 12)
        self.assertEqual([each for each, count in ran.items() if count > 1], [])
        self.assertGreater(statuses["200"], 30)
        self.assertGreater(statuses["SUCCESS"], 30)
        self.assertEqual(self.gateway.engine.exchanges, {})
