"""Replication on the wire and on disk: the links, the store and the engine for `shaletiller.replication`.

- agent: composition, start and stop, figures.
- port: messages, timer and persistence of the replication node.
- storage: opens the store.
- writes: intents and outcomes of client writes.
- commands: the operators' ejections and drain.
- endpoint_lists: the endpoint list cached for a start without discovery.
- lease_tables: the lease tables of the limits granted here.
"""
