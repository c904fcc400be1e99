"""The gateway's core: requests, attempts and outcomes, free of any wire."""
