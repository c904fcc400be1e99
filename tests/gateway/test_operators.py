"""Tests of the functions for operators: process replacement, the admin server and its calls, and reloads."""

from __future__ import annotations

import asyncio
import json
import socket
import time

from shaletiller.clock import Clock
from shaletiller.config import read_config, read_config_again
from shaletiller.gateway import Gateway
from shaletiller.net.listener import Listener
from shaletiller.net.overload_control import OverloadControl
from shaletiller.net.peers import PeerEndpoint
from tests.support.scenario import Scenario


class ProcessReplacement(Scenario):
    """A new process replaces one that is shutting down."""

    async def test_a_second_process_listens_on_the_same_address(self) -> None:
        """An upgrade starts the new process while the old process still listens on the address.

        The new process must be able to listen too, and the old one continues to serve requests.  Without
        SO_REUSEPORT, the new process fails at its start with EADDRINUSE.
        """
        port = self.gateway.http_server.address[1]
        overload = OverloadControl(Clock(), lambda: False)
        other = Listener(lambda request: None, 8, Clock(), lambda *_: False, overload)  # type: ignore[arg-type,return-value]
        other.listen("127.0.0.1", port)
        self.assertEqual(other.address[1], port)
        other.stop_accepting()
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            send n1 200 here
            expect c1 200 here
        """)

    async def test_connections_queued_when_the_listener_closes_are_answered(self) -> None:
        """A client has connected, but the gateway has not yet accepted it when it stops listening.

        The client must still get its response.  Closing a listening socket resets the connections in its
        accept queue.
        """
        http_server = self.gateway.http_server
        listener = http_server._listener._socket
        assert listener is not None
        asyncio.get_running_loop().remove_reader(listener)  # the kernel queues the client
        reader, writer = await asyncio.open_connection(*http_server.address)
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        http_server.stop_accepting()
        line = await asyncio.wait_for(reader.readline(), 2)
        self.assertEqual(line.split()[1], b"200")
        writer.close()
        with socket.socket() as late:
            self.assertNotEqual(late.connect_ex(http_server.address), 0)


class Calls(Scenario):
    """The protocol of the operators' calls."""

    async def test_each_call_gets_one_line_that_begins_with_done_or_error(self) -> None:
        """An operator sends valid calls, an unknown one, and calls for nodes that are not listed."""
        await self.play("""
            send a1 READY
            expect a1 done yes
            send a1 ready
            expect a1 done yes
            send a1 HALT
            expect a1 error unknown call HALT
            send a1 DISABLE
            expect a1 error wants the id of one storage node
            send a1 DISABLE n9
            expect a1 error no: no storage node n9 on the list
            send a1 ENABLE n9
            expect a1 error no: no storage node n9 on the list
        """)

    async def test_an_overlong_line_is_an_error_and_the_gateway_goes_on(self) -> None:
        """An operator's line exceeds the maximum length. It is rejected, and the next call is served."""
        await self.play(f"""
            send a1 DISABLE {"n" * 300}
            expect a1 error line too long
            send a1 READY
            expect a1 done yes
        """)

    async def test_a_silent_caller_does_not_delay_others(self) -> None:
        """Callers connect and never send a call.

        Another caller must get its response without waiting for them: each connection has its own task.
        """
        assert self.gateway.admin is not None
        silent = [await asyncio.open_connection(*self.gateway.admin.address) for _ in range(3)]
        started = time.monotonic()
        await self.play("send a1 READY\nexpect a1 done yes")
        self.assertLess(time.monotonic() - started, 1.0)
        for _, writer in silent:
            writer.close()


class Stats(Scenario):
    """The response to STATS."""

    async def test_stats_counts_results_by_class_attempts_and_requests_in_flight(self) -> None:
        """A read is in flight and is then served; a write fails.

        STATS reports the results by class, the attempts and the requests in flight.
        """
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            send a1 STATS
        """)
        operator = await self.party("a1")
        stats = dict(line.split("=") for line in operator.lines[1:-1])
        self.assertEqual((operator.lines[0], operator.lines[-1]), ("done", "end"))
        self.assertEqual(stats["edge.outstanding"], "1")
        self.assertEqual(stats["edge.forwards"], "1")  # in flight
        await self.play("""
            send n1 200 here
            expect c1 200 here
            send c1 PUT 6 x
            expect n1 PUT 6 x
            send n1 500
            expect c1 502
            send a1 STATS
        """)
        stats = dict(line.split("=") for line in operator.lines[1:-1])
        self.assertEqual(
            stats,
            {
                "edge.results.read.succeeded": "1",
                "edge.results.read.declined": "0",
                "edge.results.read.aborted": "0",
                "edge.results.write.succeeded": "0",
                "edge.results.write.declined": "0",
                "edge.results.write.aborted": "1",
                "edge.forwards": "2",
                "edge.outstanding": "0",
                "edge.discovered": "2",
                "edge.ejected": "0",
                "edge.sighup_applied": "0",
                "edge.sighup_rejected": "0",
                "edge.reasons.aborted.retry_not_allowed": "1",
            },
        )

    async def test_a_faulty_file_at_sighup_is_counted_as_rejected(self) -> None:
        """At one SIGHUP the configuration file is empty, at another it is valid. Each reload is counted."""
        self.config.write_text("")
        self.gateway.handle_sighup(lambda: read_config_again(self.env, self.nvme))
        self.config.write_text(json.dumps(self.config_document))
        self.gateway.handle_sighup(lambda: read_config_again(self.env, self.nvme))
        self.assertEqual(self.gateway.reload_counts, {"applied": 1, "rejected": 1})


class ManualEjection(Scenario):
    """Manual ejections of storage nodes by DISABLE."""

    async def test_a_manually_ejected_node_gets_no_request_until_it_is_enabled(self) -> None:
        """An operator disables the only node of a shard, twice.

        It gets no request until one ENABLE, even after another update of the endpoint list contains it.
        """
        await self.play("""
            send a1 DISABLE n1
            expect a1 done n1
            send a1 DISABLE n1
            expect a1 done n1
            send c1 GET 5 timeout=100
            wait 150
            expect n1 nothing
            send d n1=active   # an update of the list does not lift the ejection
            send c2 GET 6 timeout=100
            wait 150
            expect n1 nothing
            send a1 STATS
        """)
        self.assertIn("edge.ejected=1", (await self.party("a1")).lines)
        await self.play("""
            send a1 ENABLE n1   # one ENABLE reverts two DISABLE
            expect a1 done n1
            send c3 GET 7
            expect n1 GET 7
            send n1 200
            expect c3 200
        """)

    async def test_an_ejection_applies_in_the_next_process(self) -> None:
        """An operator disables a node, and then the process is replaced.

        The new process reads the ejections at its start, before the stored endpoint list: the node stays
        ejected.
        """
        await self.play("send a1 DISABLE n1\nexpect a1 done n1")
        next_process = Gateway(read_config(self.env, self.nvme), self.clock)
        next_process.discovery.start_from_known = lambda: None  # type: ignore[method-assign]
        next_process.ejections.reload()
        self.assertEqual(next_process.engine.ejected, {"n1"})

    async def test_an_ejection_that_the_other_process_lifts_is_lifted_here(self) -> None:
        """Two processes of one gateway run, and the other one receives the operator's ENABLE.

        This process must send requests to the node again.
        """
        await self.play("send a1 DISABLE n1\nexpect a1 done n1")
        other = Gateway(read_config(self.env, self.nvme), self.clock)
        other.ejections.reload()
        other.ejections.remove("n1")
        await self.play("""
            wait 300
            send c1 GET 5
            expect n1 GET 5
        """)


class Draining(Scenario):
    """The calls DRAIN and UNDRAIN."""

    async def test_clients_are_rejected_while_draining_and_accepted_again_afterwards(self) -> None:
        """An operator drains the gateway while one client is idle and one request is in flight.

        Both connections are closed with their responses, and new clients get 503.  After UNDRAIN, clients are
        served again.
        """
        timer = self.gateway.http_server._listener._sweep_timer
        assert timer is not None
        timer.cancel()  # one time in ten, the sweep would close the idle c1 before its request
        await self.play("""
            send c1 GET up
            expect c1 200
            send c2 GET 5
            expect n1 GET 5
            send a1 DRAIN
            expect a1 done
            send c1 GET up
            expect c1 503
            expect c1 end      # its response closes the connection
            send n1 200 data
            expect c2 200 data Connection=close   # the request in flight gets its response
            expect c2 end
            send c3 GET up
            expect c3 503
            send a1 UNDRAIN
            expect a1 done
            send c4 GET up
            expect c4 200
        """)

    async def test_an_idle_connection_is_closed_while_draining(self) -> None:
        """A client keeps its connection idle after a response while the gateway drains.

        The connection must be closed; otherwise the client could delay the draining without limit.
        """
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            send n1 200
            expect c1 200
            send a1 DRAIN
            wait 150
            expect c1 end
        """)

    async def test_a_second_process_receives_datagrams_on_the_same_address(self) -> None:
        """Two processes of an upgrade bind the UDP address for peers. Without SO_REUSEPORT one fails."""
        first, second = PeerEndpoint((), None, lambda *_: None), PeerEndpoint((), None, lambda *_: None)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        await first.start(("127.0.0.1", port))
        await second.start(("127.0.0.1", port))
        first.close()
        second.close()


class Reload(Scenario):
    """Changes of the settings by SIGHUP while requests are in flight."""

    def reload_settings(self, **settings: object) -> None:
        self.config.write_text(
            json.dumps({**self.config_document, "settings": {**self.settings, **settings}})
        )
        self.gateway.handle_sighup(lambda: read_config_again(self.env, self.nvme))

    async def test_a_class_is_added_and_removed_while_requests_in_flight_keep_theirs(self) -> None:
        """Reloads add a request class and remove it again while one of its requests is in flight.

        New requests are accepted according to the present classes; the request in flight keeps its class.
        """
        read, write = self.settings["classes"]
        await self.play("""
            send c1 GET 5 class=read2
            expect c1 400
        """)
        self.reload_settings(classes=[read, write, {**read, "name": "read2"}])
        await self.play("""
            send c2 GET 6 class=read2
            expect n1 GET 6
        """)
        self.reload_settings(classes=[read, write])
        await self.play("""
            send n1 200 data
            expect c2 200 data   # accepted as read2, served as read2
            send c3 GET 7 class=read2
            expect c3 400        # read2 is removed
            send c4 GET 8
            expect n1 GET 8
        """)
        self.assertEqual(self.gateway.reload_counts, {"applied": 2, "rejected": 0})

    async def test_fewer_attempts_apply_to_new_requests(self) -> None:
        """A reload limits requests to one attempt. A read whose node closes the connection is not retried."""
        self.reload_settings(limits={**self.settings["limits"], "max-attempts": 1})
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            close n1
            expect c1 503
            wait 100
            expect n1 nothing
        """)

    async def test_a_faulty_file_is_rejected_completely(self) -> None:
        """Reloads read files with one invalid or missing value, an empty file and a truncated one.

        Each file is rejected as a whole, and requests are served as before.
        """
        read, write = self.settings["classes"]
        faulty: list[object] = [
            {**read, "hard-limit-ms": 0},
            {**read, "hard-limit-ms": "900"},
            {**read, "hard-limit-ms": None},
        ]
        for spec in faulty:
            self.reload_settings(classes=[spec, write])
        self.reload_settings(limits={**self.settings["limits"], "max-attempts": 0})
        self.reload_settings(limits={**self.settings["limits"], "max-attempts": "3"})
        self.reload_settings(
            classes=[{key: value for key, value in read.items() if key != "hard-limit-ms"}, write]
        )
        text = json.dumps(self.config_document)
        for truncated in ("", text[: len(text) // 2]):
            self.config.write_text(truncated)
            self.gateway.handle_sighup(lambda: read_config_again(self.env, self.nvme))
        self.assertEqual(self.gateway.reload_counts, {"applied": 0, "rejected": 8})
        await self.play("""
            send c1 GET 5
            expect n1 GET 5
            send n1 200
            expect c1 200
        """)
