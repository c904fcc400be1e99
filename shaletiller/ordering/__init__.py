"""The order of requests of one object across the processes of one gateway, free of I/O.

While one process replaces another, both take requests.  One of them, the owner, decides on the order for
both; see `docs/ordering.md`.
"""
