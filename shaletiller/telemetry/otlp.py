"""Metrics and traces of the engine by OpenTelemetry's SDK, over OTLP/HTTP.

The export runs on the SDK's own threads and its queues are bounded: what does not fit is dropped, and no
request waits for it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import SpanKind, Status, StatusCode, set_span_in_context

from shaletiller.clock import Clock
from shaletiller.config import Telemetry as TelemetryConfig
from shaletiller.core.engine import Engine
from shaletiller.core.model import Exchange, FinalResult

logger = logging.getLogger(__name__)

MOST_SPANS = 1024
MOST_BATCH = 256
EXPORT_S = 2.0  # a collector that does not answer by then has lost the batch
STOP_S = 3.0
NS_PER_MS = 1_000_000


def _observed(counts: Mapping[str, int], prefix: str, label: str) -> Iterable[Observation]:
    """The counts of one family; copied first, for the export runs on another thread."""
    for name, count in dict(counts).items():
        attempt = name.startswith("attempt.")
        answer = "." not in name and name != "forwards"  # the operators' figures are of their own
        if (attempt, answer) == (prefix == "attempt.", prefix == ""):
            yield Observation(count, {label: name.removeprefix(prefix)})


class Otlp:
    """Attached to an engine, it reports what the engine has ended."""

    def __init__(self, config: TelemetryConfig, name: str, engine: Engine, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        resource = Resource.create({"service.name": "shaletiller", "service.instance.id": name})
        base = config.endpoint.rstrip("/")
        reader = PeriodicExportingMetricReader(
            OTLPMetricExporter(endpoint=f"{base}/v1/metrics", timeout=EXPORT_S),
            export_interval_millis=config.interval_ms,
            export_timeout_millis=EXPORT_S * 1000,
        )
        self._meters = MeterProvider([reader], resource=resource)
        self._tracers = TracerProvider(sampler=TraceIdRatioBased(config.sample), resource=resource)
        self._tracers.add_span_processor(
            BatchSpanProcessor(
                OTLPSpanExporter(endpoint=f"{base}/v1/traces", timeout=EXPORT_S),
                max_queue_size=MOST_SPANS,
                max_export_batch_size=MOST_BATCH,
                schedule_delay_millis=config.interval_ms,
            )
        )
        self._tracer = self._tracers.get_tracer("shaletiller")
        meter = self._meters.get_meter("shaletiller")
        meter.create_observable_counter(
            "shaletiller.requests", [self._requests], description="Requests by final answer"
        )
        meter.create_observable_counter(
            "shaletiller.attempts", [self._attempts], description="Attempts by outcome"
        )
        meter.create_observable_gauge(
            "shaletiller.requests.held", [self._held], description="Requests without a final answer"
        )
        self._duration = meter.create_histogram(
            "shaletiller.request.duration", unit="ms", description="From taking in to the final answer"
        )
        engine.relay.seen = self._ended

    def _requests(self, _: CallbackOptions) -> Iterable[Observation]:
        return _observed(self._engine.counts, "", "answer")

    def _attempts(self, _: CallbackOptions) -> Iterable[Observation]:
        return _observed(self._engine.counts, "attempt.", "outcome")

    def _held(self, _: CallbackOptions) -> Iterable[Observation]:
        return [Observation(len(self._engine.table))]

    def _ended(self, exchange: Exchange) -> None:
        """A request is over: its figures, and a span with one below it for each attempt."""
        now_ms = self._clock.now_ms()
        call = exchange.call
        answer = "left" if exchange.final is None else exchange.final.value
        labels = {"class": call.request_class, "plan": call.plan, "answer": answer}
        self._duration.record(now_ms - exchange.taken_ms, labels)
        span = self._tracer.start_span(
            call.request_class,
            kind=SpanKind.SERVER,
            start_time=int(exchange.taken_ms * NS_PER_MS),
            attributes={**labels, "shard": call.shard, "units": call.units},
        )
        if span.is_recording():
            if exchange.final is FinalResult.FAILED:
                span.set_status(Status(StatusCode.ERROR))
            context = set_span_in_context(span)
            for attempt in exchange.attempts:
                child = self._tracer.start_span(
                    "attempt",
                    context,
                    kind=SpanKind.CLIENT,
                    start_time=int(attempt.sent_ms * NS_PER_MS),
                    attributes={"node": attempt.node},
                )
                if attempt.outcome is not None:
                    child.set_attribute("outcome", attempt.outcome.value)
                child.end(int((attempt.ended_ms or now_ms) * NS_PER_MS))
        span.end(int(now_ms * NS_PER_MS))

    async def stop(self) -> None:
        """Send what is left, for a short while and off the event loop."""
        loop = asyncio.get_running_loop()
        work = [loop.run_in_executor(None, each.shutdown) for each in (self._tracers, self._meters)]
        _, late = await asyncio.wait(work, timeout=STOP_S)
        if late:
            logger.warning("telemetry: the last export did not end in time")
