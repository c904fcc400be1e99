"""State of the decisions: requests, upstreams and volumes, the settings in force, and learned estimates.

Nothing is decided here; the decisions are in `shaletiller.policy`.
"""
