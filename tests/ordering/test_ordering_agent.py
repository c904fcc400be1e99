"""Tests of the agent of the order in one process."""

from __future__ import annotations

import asyncio
import socket
import tempfile
import unittest
import unittest.mock
from dataclasses import replace
from pathlib import Path

from shaletiller.clock import SettableClock
from shaletiller.core.engine import Engine
from shaletiller.core.model import ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.net.ordering.agent import OrderingAgent
from shaletiller.net.ordering.link import link_name
from shaletiller.ordering.coordinator import Role
from shaletiller.settings.model import Settings
from tests.support.scenario import Scenario
from tests.support.scheduler_host import SAFE, settings

TIMEOUT_MS = 400.0
CALL = ClientCall("r1", "read", "basic", "v1", "x", 2.0, 0, 1, TIMEOUT_MS, False, "GET", "/api?key=x")
UNORDERED = settings(classes=(SAFE,))
ORDERED = settings(classes=(replace(SAFE, ordered=True),))


class OrderingAgentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.name = link_name(folder.name, "g0", ("127.0.0.1", 1))
        self.clock = SettableClock(1000.0)
        self.engine = Engine(ORDERED, 1, self.clock)
        self.responses: list[FinalResponse] = []
        self.begun: list[str] = []

    def make_agent(self, known: Settings) -> OrderingAgent:
        agent = OrderingAgent(self.engine, self.clock, known, self.name)
        self.addAsyncCleanup(agent.close)
        return agent

    def request(self, agent: OrderingAgent) -> Exchange:
        exchange = self.engine._accept(CALL, self.responses.append)
        agent.request_turn(exchange, lambda: self.begun.append(exchange.call.id))
        return exchange

    def is_bound(self) -> bool:
        """Whether a process has bound the name of the link."""
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                probe.bind(self.name)
            except OSError:
                return True
            return False

    async def wait_for_role(self, agent: OrderingAgent, role: Role) -> None:
        async with asyncio.timeout(10.0):
            while agent._coordinator.role is not role:
                await asyncio.sleep(0.001)

    async def test_a_gateway_without_ordered_classes_has_no_link(self) -> None:
        """Guards against sockets and figures at sites that need no order."""
        agent = self.make_agent(UNORDERED)
        await agent.start(UNORDERED)
        self.assertEqual((agent.stats(), self.is_bound()), ({}, False))

    async def test_a_reload_that_orders_a_class_opens_the_link(self) -> None:
        """Guards against processes that keep an order of their own after SIGHUP has ordered a class."""
        agent = self.make_agent(UNORDERED)
        await agent.start(UNORDERED)
        agent.apply_settings(ORDERED)
        self.request(agent)
        self.assertEqual(self.begun, [], "it waits until the order is decided on")
        await self.wait_for_role(agent, Role.OWNER)
        self.assertEqual((self.begun, self.is_bound()), (["r1"], True))

    async def test_a_request_without_a_turn_is_rejected_at_half_of_its_time(self) -> None:
        """Guards against requests that wait for a process that stands still until it is too late to retry."""
        owner = socket.socket(socket.AF_UNIX)
        self.addCleanup(owner.close)
        owner.bind(self.name)
        owner.listen()  # it accepts nothing: connections wait in the kernel
        agent = self.make_agent(ORDERED)
        agent.apply_settings(ORDERED)
        await self.wait_for_role(agent, Role.FOLLOWER)
        self.request(agent)
        self.clock.advance(TIMEOUT_MS / 2 - 1)
        self.assertEqual((self.responses, agent.stats()["order.waiting"]), ([], 1))
        self.clock.advance(1)
        self.assertEqual([response.result for response in self.responses], [FinalResult.REJECTED])
        self.assertEqual(self.engine.counters.get("reasons.declined.no_turn"), 1)
        self.assertEqual(self.begun, [])

    async def test_without_unix_sockets_it_serves_alone(self) -> None:
        """Guards against ordered requests that are all rejected where Unix sockets are not allowed."""
        with unittest.mock.patch("socket.socket.bind", side_effect=PermissionError("not allowed")):
            agent = self.make_agent(ORDERED)
            await agent.start(ORDERED)
        self.request(agent)
        self.assertEqual(self.begun, ["r1"])

    async def test_a_message_that_cannot_be_read_ends_only_its_link(self) -> None:
        """Guards against an owner that stops granting turns after a message that it cannot read."""
        owner = self.make_agent(ORDERED)
        await owner.start(ORDERED)
        with socket.socket(socket.AF_UNIX) as broken:
            broken.setblocking(False)
            broken.connect(self.name)
            broken.send(b'{"type":"hello"}\n{"type":"nonsense"}\n')
            async with asyncio.timeout(10.0):
                while await asyncio.get_running_loop().sock_recv(broken, 4096):
                    pass
        follower = self.make_agent(ORDERED)
        await follower.start(ORDERED)
        self.assertEqual(follower._coordinator.role, Role.FOLLOWER)
        self.assertEqual(owner.stats()["order.followers"], 1)

    async def test_a_follower_becomes_the_owner_at_the_end_of_the_owner(self) -> None:
        """Guards against requests that wait after the process that decided on the order has ended."""
        first, second = self.make_agent(ORDERED), self.make_agent(ORDERED)
        await first.start(ORDERED)
        await second.start(ORDERED)
        self.assertEqual(second._coordinator.role, Role.FOLLOWER)
        await first.close()
        await self.wait_for_role(second, Role.OWNER)
        self.request(second)
        self.assertEqual(self.begun, ["r1"], "after a farewell there is no quiet period")


class ReadyWithOrder(Scenario):
    async def asyncSetUp(self) -> None:
        start = OrderingAgent.start

        async def call_and_start(agent: OrderingAgent, known: Settings) -> None:
            assert self.gateway.admin is not None
            self.response_before = await self.gateway.admin.execute("READY")
            await start(agent, known)

        with unittest.mock.patch.object(OrderingAgent, "start", call_and_start):
            await super().asyncSetUp()

    async def test_it_is_not_ready_before_it_listens(self) -> None:
        """Guards against a READY that says yes while the start waits for the process that it replaces."""
        self.assertEqual(self.response_before, ["error no: not ready"])
        await self.play("send a1 READY\nexpect a1 done yes")


def test_the_link_is_that_of_one_gateway_alone(tmp_path: Path) -> None:
    """Guards against gateways of one machine that wait for each other."""
    names = {
        link_name(str(folder), gateway, (host, port))
        for folder in (tmp_path, tmp_path / "other")
        for gateway in ("g1", "g2")
        for host in ("127.0.0.1", "127.0.0.2")
        for port in (9000, 9001)
    }
    assert len(names) == 16
    assert link_name(f"{tmp_path}/../{tmp_path.name}", "g1", ("127.0.0.1", 9000)) in names
