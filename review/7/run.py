"""Kills the lead of a group while its first order of a new map is unanswered, see claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, f"{HERE}/../standins-2")
sys.dont_write_bytecode = True

import deployment  # noqa: E402

RANKS, CLIENTS = 8, 20
LATE_S = 2.8
# Time from a change of the map to that of demand.
SETTLED_S = 1.4
RESTART_S = 0.5


async def play(trouble):
    world = deployment.Deployment(f"{HERE}/record.txt", RANKS, seed=None)
    group = world.group
    try:
        await world.start(CLIENTS)
        first = group.ranks[0]
        if not await world.wait(lambda: all(r.version > 0 for r in group.ranks), 20):
            return 2, "the group never changed its map"
        await world.wait(lambda: time.monotonic() >= group.switched_at + SETTLED_S, 20)
        world.record("other experts are in demand")
        group.shift_demand()
        if trouble:
            killed = asyncio.Event()

            def on_unanswered(order):
                if order["operation"] == "prepare" and not killed.is_set():
                    killed.set()

            first.late_s, first.on_unanswered = LATE_S, on_unanswered
            try:
                await asyncio.wait_for(killed.wait(), 6)
            except asyncio.TimeoutError:
                return 2, "the lead planned no map in time"
            await asyncio.sleep(0.02)
            world.record("SIGKILL of the agent that gave the last order, of rank 0")
            world.agents[0].kill()
            await asyncio.sleep(RESTART_S)
            world.agents[0].start()
            world.record("the agent of rank 0 is started again")
        await world.wait(lambda: group.broken_rule, 14)
        if group.broken_rule:
            return 1, group.broken_rule
        if world.clients.whole < 20:
            return 2, f"only {world.clients.whole} requests were served"
        return 0, f"all {group.passes} passes began with one map"
    finally:
        whole, other = world.clients.whole, world.clients.other
        world.record(f"{whole} requests answered whole, {other} otherwise, {group.passes} passes")
        world.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code, text = asyncio.run(play(os.environ.get("TROUBLE", "1") != "0"))
    print(text, flush=True)
    # Without the clean-up of connections that are still open.
    os._exit(code)
