"""shaletiller: cost-based admission control for a host's I/O to a shared disk pool."""
