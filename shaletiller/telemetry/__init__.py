"""OTLP export, off unless an endpoint is configured; OpenTelemetry's library is loaded only then."""
