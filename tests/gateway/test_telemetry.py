"""Tests of the OTLP export: its contents, and a collector that does not respond."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import ExportMetricsServiceRequest
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest

from tests.support.scenario import Scenario, Server


class Export(Scenario):
    """A collector that receives the exports."""

    servers = ("n1", "o1")

    async def environment(self) -> dict[str, str]:
        self.exports: list[tuple[str, bytes]] = []
        collector = self.parties["o1"]

        async def receive(server: Server, request: Any) -> None:
            request_line, _, body, server.current, _ = request
            self.exports.append((request_line.split()[1], body))
            await server.send("200")

        collector.script = receive
        return {
            "OTEL_EXPORTER_OTLP_ENDPOINT": f"http://127.0.0.1:{collector.port}",
            "OTEL_TRACES_SAMPLER_ARG": "1",
            "OTEL_METRIC_EXPORT_INTERVAL": "60000",
        }

    async def test_counts_and_spans_reach_the_collector(self) -> None:
        """A read is retried and served, a write fails.

        The collector receives a span for each request and attempt, the counts by result, and the durations.
        """
        await self.play(
            "send c1 GET 1\nexpect n1 GET 1\nclose n1\nexpect n1 GET 1\nsend n1 200\n"
            "expect c1 200\n"
            "send c1 PUT 2 a\nexpect n1 PUT 2 a\nclose n1\nexpect c1 502"
        )
        await self.gateway.telemetry.stop()
        spans = [
            span
            for path, body in self.exports
            if path == "/v1/traces"
            for resource in ExportTraceServiceRequest.FromString(body).resource_spans
            for scope in resource.scope_spans
            for span in scope.spans
        ]
        attempts = [
            next(item.value.string_value for item in span.attributes if item.key == "outcome")
            for span in spans
            if span.name == "attempt"
        ]
        self.assertEqual(sorted(attempts), ["ok", "reset", "reset"])
        roots = {span.name: span for span in spans if span.name != "attempt"}
        self.assertEqual({name: span.status.code for name, span in roots.items()}, {"read": 0, "write": 2})
        self.assertTrue(
            all(
                span.parent_span_id in {root.span_id for root in roots.values()}
                for span in spans
                if span.name == "attempt"
            )
        )
        metrics = {
            metric.name: metric
            for path, body in self.exports
            if path == "/v1/metrics"
            for resource in ExportMetricsServiceRequest.FromString(body).resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        }
        counts = {
            point.attributes[0].value.string_value: point.as_int
            for point in metrics["shaletiller.requests"].sum.data_points
        }
        self.assertEqual(counts, {"served": 1, "failed": 1})
        points = metrics["shaletiller.request.duration"].histogram.data_points
        self.assertEqual(sum(point.count for point in points), 2)


class SilentCollector(Scenario):
    """A collector that accepts requests and never responds."""

    servers = ("n1", "o1")

    async def environment(self) -> dict[str, str]:
        async def ignore(server: Server, request: Any) -> None: ...

        self.parties["o1"].script = ignore
        return {
            "OTEL_EXPORTER_OTLP_ENDPOINT": f"http://127.0.0.1:{self.parties['o1'].port}",
            "OTEL_TRACES_SAMPLER_ARG": "1",
            "OTEL_METRIC_EXPORT_INTERVAL": "20",
        }

    async def test_a_silent_collector_delays_no_request_and_no_stop(self) -> None:
        """The collector accepts connections and never responds.

        Requests are not delayed, and the exporter stops in time.
        """
        slowest = 0.0
        for number in range(30):
            started = time.monotonic()
            await self.play(f"send c1 GET {number}\nexpect n1 GET {number}\nsend n1 200\nexpect c1 200")
            slowest = max(slowest, time.monotonic() - started)
        self.assertLess(slowest, 0.5)
        await asyncio.wait_for(self.gateway.telemetry.stop(), 5.0)


class NoTelemetry(Scenario):
    """A gateway without an OTLP endpoint."""

    async def test_telemetry_is_off_without_an_endpoint(self) -> None:
        """Without an OTLP endpoint the gateway has no exporter."""
        self.assertIsNone(self.gateway.telemetry)
