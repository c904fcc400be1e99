"""A store that lasts: an append-only log in segments, with group commit, snapshots and checked recovery."""
