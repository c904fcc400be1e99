"""The protocol-independent core of the gateway: requests, attempts and outcomes."""
