"""What the gateways of a fleet hold together: who is there, shares of limits, verdicts on storage nodes.

No module here reads a socket, a file or a clock: each is driven by the time it is given and by messages.
What is guaranteed, and what that rests on: docs/fleet.md."""
