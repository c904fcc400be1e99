"""Exports metrics and traces of the engine over OTLP/HTTP, with OpenTelemetry's SDK.

The export runs on the SDK's own threads.  Its queues are bounded and data beyond the bound is dropped, so
that no request waits for the export.  The names and descriptions of metrics, spans and labels must not
change, because dashboards depend on them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator, Mapping

from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import SpanKind, Status, StatusCode, set_span_in_context

from shaletiller.clock import Clock
from shaletiller.config import TelemetryConfig
from shaletiller.core.engine import Engine
from shaletiller.core.model import Attempt, Exchange, FinalResult

logger = logging.getLogger(__name__)

# Maximum spans that wait for their export, and maximum spans of one export.  Larger values keep more spans of
# a burst; smaller values use less memory.
MAX_QUEUED_SPANS = 1024
MAX_EXPORTED_SPANS = 256
EXPORT_TIMEOUT_S = 2.0  # a batch is lost if the collector does not respond within this time
# How long a shutdown waits for the last export: more than EXPORT_TIMEOUT_S.  A larger value delays the end of
# the process while the collector is unreachable; a smaller value loses exports to a slow collector.
SHUTDOWN_TIMEOUT_S = 3.0
MS_PER_S = 1000
NS_PER_MS = 1_000_000

ATTEMPT_PREFIX = "attempt."  # prefix of the engine's counters of attempts by outcome
FORWARDS = "forwards"  # a counter for the operators' call STATS; it is not exported
CLIENT_DISCONNECTED = "left"  # the label of a request whose client disconnected before its response


def _request_counts(counters: Mapping[str, int]) -> Iterator[Observation]:
    # The counters are copied because the export runs on another thread.
    for name, count in dict(counters).items():
        if "." not in name and name != FORWARDS:
            yield Observation(count, {"answer": name})


def _attempt_counts(counters: Mapping[str, int]) -> Iterator[Observation]:
    for name, count in dict(counters).items():
        if name.startswith(ATTEMPT_PREFIX):
            yield Observation(count, {"outcome": name.removeprefix(ATTEMPT_PREFIX)})


class OtlpExporter:
    """Exports the counters of an engine, and traces of a sample of its requests.

    :param name: the gateway's name, which is exported as `service.instance.id`.
    """

    def __init__(self, config: TelemetryConfig, name: str, engine: Engine, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        resource = Resource.create({"service.name": "shaletiller", "service.instance.id": name})
        self._meter_provider = _meter_provider(config, resource)
        self._tracer_provider = _tracer_provider(config, resource)
        self._tracer = self._tracer_provider.get_tracer("shaletiller")
        meter = self._meter_provider.get_meter("shaletiller")
        self._observe_engine(meter)
        self._duration = meter.create_histogram(
            "shaletiller.request.duration", unit="ms", description="From taking in to the final answer"
        )

    def _observe_engine(self, meter: Meter) -> None:
        meter.create_observable_counter(
            "shaletiller.requests", [self._observe_requests], description="Requests by final answer"
        )
        meter.create_observable_counter(
            "shaletiller.attempts", [self._observe_attempts], description="Attempts by outcome"
        )
        meter.create_observable_gauge(
            "shaletiller.requests.held",
            [self._observe_in_flight],
            description="Requests without a final answer",
        )

    def _observe_requests(self, _: CallbackOptions) -> Iterable[Observation]:
        return _request_counts(self._engine.counters)

    def _observe_attempts(self, _: CallbackOptions) -> Iterable[Observation]:
        return _attempt_counts(self._engine.counters)

    def _observe_in_flight(self, _: CallbackOptions) -> Iterable[Observation]:
        return [Observation(len(self._engine.exchanges))]

    def record_request(self, exchange: Exchange) -> None:
        """Record the duration of a request and, if it is sampled, its span with a child for each attempt."""
        now_ms = self._clock.now_ms()
        call = exchange.call
        result = CLIENT_DISCONNECTED if exchange.result is None else exchange.result.value
        labels = {"class": call.request_class, "plan": call.plan, "answer": result}
        self._duration.record(now_ms - exchange.accepted_ms, labels)
        span = self._tracer.start_span(
            call.request_class,
            kind=SpanKind.SERVER,
            start_time=int(exchange.accepted_ms * NS_PER_MS),
            attributes={**labels, "shard": call.shard, "units": call.units},
        )
        if span.is_recording():
            if exchange.result is FinalResult.FAILED:
                span.set_status(Status(StatusCode.ERROR))
            context = set_span_in_context(span)
            for attempt in exchange.attempts:
                self._record_attempt(attempt, context, now_ms)
        span.end(int(now_ms * NS_PER_MS))

    def _record_attempt(self, attempt: Attempt, context: Context, now_ms: float) -> None:
        span = self._tracer.start_span(
            "attempt",
            context,
            kind=SpanKind.CLIENT,
            start_time=int(attempt.sent_ms * NS_PER_MS),
            attributes={"node": attempt.node},
        )
        if attempt.outcome is not None:
            span.set_attribute("outcome", attempt.outcome.value)
        span.end(int((attempt.ended_ms or now_ms) * NS_PER_MS))

    async def stop(self) -> None:
        """Export the queued data outside the event loop, for at most `SHUTDOWN_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        providers = (self._tracer_provider, self._meter_provider)
        exports = [loop.run_in_executor(None, provider.shutdown) for provider in providers]
        _, unfinished = await asyncio.wait(exports, timeout=SHUTDOWN_TIMEOUT_S)
        if unfinished:
            logger.warning(
                "telemetry: data lost: the last export did not end within %g s", SHUTDOWN_TIMEOUT_S
            )


def _meter_provider(config: TelemetryConfig, resource: Resource) -> MeterProvider:
    reader = PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=_url(config, "metrics"), timeout=EXPORT_TIMEOUT_S),
        export_interval_millis=config.interval_ms,
        export_timeout_millis=EXPORT_TIMEOUT_S * MS_PER_S,
    )
    return MeterProvider([reader], resource=resource)


def _tracer_provider(config: TelemetryConfig, resource: Resource) -> TracerProvider:
    provider = TracerProvider(sampler=TraceIdRatioBased(config.sample_ratio), resource=resource)
    provider.add_span_processor(
        BatchSpanProcessor(
            OTLPSpanExporter(endpoint=_url(config, "traces"), timeout=EXPORT_TIMEOUT_S),
            max_queue_size=MAX_QUEUED_SPANS,
            max_export_batch_size=MAX_EXPORTED_SPANS,
            schedule_delay_millis=config.interval_ms,
        )
    )
    return provider


def _url(config: TelemetryConfig, signal: str) -> str:
    return f"{config.endpoint.rstrip('/')}/v1/{signal}"
