"""Typed messages between the scheduler and the program around it: events in, actions out."""
