"""What the decisions know: requests and nodes, the settings in force, and what answers have taught.

Nothing is decided here; the decisions are in `shaletiller.policy`."""
