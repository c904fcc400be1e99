"""OTLP export of metrics and traces; OpenTelemetry is loaded only if an endpoint is configured."""
