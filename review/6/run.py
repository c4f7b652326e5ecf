"""Leaves the arm orders to the lead's own replica unanswered, between bursts of requests, see claim.txt."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, f"{HERE}/../standins-2")
sys.dont_write_bytecode = True

import deployment  # noqa: E402

RANKS, CLIENTS = 8, 24
PLAY_S, EVENTS = 95, 22
# A burst of requests comes so long after the first order of a spell; without one, after the longer time.
BURST_AFTER_S, BURST_EVERY_S = 2.6, 4.3
# How long orders get no answer, and after how long they are carried out.
SPELL_S, LATE_S = 1.0, (2.0, 12.0)


async def play(trouble):
    world = deployment.Deployment(f"{HERE}/record.txt", RANKS, seed=None)
    group, random_late = world.group, random.Random()
    group.events = world.clients.events = EVENTS
    # `prepare` begins something, a copy; the others are done at once. COUNTED=1 counts all, COUNTED=0 none.
    group.done = 202 if os.environ.get("COUNTED") == "1" else 200
    group.counts_orders = os.environ.get("COUNTED") != "0"
    first = group.ranks[0]
    bell = asyncio.Condition()

    async def pause():
        async with bell:
            await bell.wait()

    spell_end, spelled = 0.0, asyncio.Event()

    def delay(order):
        """From an order to arm on, no order gets an answer for a while."""
        nonlocal spell_end
        now = time.monotonic()
        if order["operation"] == "arm" and now > spell_end + SPELL_S:
            spell_end = now + SPELL_S
            spelled.set()
        return random_late.uniform(*LATE_S) if now < spell_end else 0.0

    try:
        await world.start(CLIENTS, pause)
        if trouble:
            first.delay = delay
        end = time.monotonic() + PLAY_S
        while time.monotonic() < end:
            group.shift_demand()
            world.record(f"burst, other experts are in demand, step {group.step}")
            spelled.clear()
            async with bell:
                bell.notify_all()
            try:
                await asyncio.wait_for(spelled.wait(), BURST_EVERY_S)
                await world.wait(lambda: group.broken_rule, BURST_AFTER_S)
            except asyncio.TimeoutError:
                pass
            if group.broken_rule:
                return 1, group.broken_rule
        if not trouble and first.version == 0:
            return 2, "the group never changed its map"
        if world.clients.whole < 100:
            return 2, f"only {world.clients.whole} requests were served"
        return 0, f"all {group.passes} passes began with one map"
    finally:
        unanswered = sum(rank.unanswered for rank in group.ranks)
        orders = unanswered + sum(rank.answered for rank in group.ranks)
        world.record(f"{world.clients.whole} requests answered whole, {world.clients.other} otherwise")
        world.record(f"{group.passes} passes, {unanswered} of {orders} orders unanswered")
        world.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code, text = asyncio.run(play(os.environ.get("TROUBLE", "1") != "0"))
    print(text, flush=True)
    # Without the clean-up of connections that are still open.
    os._exit(code)
