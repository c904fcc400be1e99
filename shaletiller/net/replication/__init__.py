"""Replication adapters: connect `shaletiller.replication` to the links, the store and the engine.

- agent: composition, start and stop, metrics.
- port: messages, timer and persistence of the replication node.
- storage: opening of the store.
- writes: intents and outcomes of client writes.
- commands: operator commands, that is ejections and drains.
- endpoint_lists: the endpoint list, cached for a start without discovery.
- lease_tables: the lease tables of the limits granted by this gateway.
"""
