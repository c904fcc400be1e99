"""Typed messages of the scheduler: the events that it handles, and the actions that it returns."""
