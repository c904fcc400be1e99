"""Tests run on the event loop that the program runs on."""

import asyncio

import uvloop

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
