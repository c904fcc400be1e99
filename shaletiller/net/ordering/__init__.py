"""The order of requests across the processes of one gateway: their link, and the agent of this process."""
