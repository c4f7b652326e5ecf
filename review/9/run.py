"""Cuts one entry from the store for a while; a replica leaves as the cut heals. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, f"{HERE}/../standins-2")
sys.dont_write_bytecode = True

import fleet  # noqa: E402

ENTRIES = 16
DRAIN_MS = int(os.environ.get("DRAIN_MS", "2000"))
CUT_S = 5.5
# Cuts of a reader, each with a replica that leaves.
ROUNDS = 5
# Time from the first answer to a call for the configuration, by the entry's log, to the removal of the
# replica's record.
LEAVES_AFTER_S = 0.3
# Time for which the replica serves beyond `drainMs`.
LINGER_S = 0.4


async def play(trouble):
    world = fleet.Fleet(f"{HERE}/record.txt", ENTRIES, DRAIN_MS)
    try:
        await world.start()
        await asyncio.sleep(2)
        roles = [world.role(n) for n in range(ENTRIES)]
        readers = [n for n in range(ENTRIES) if roles[n] == "reader"]
        world.record(f"readers of the store: {readers}")
        if not readers:
            return 2, f"no entry reads the store for others: {roles}"
        late, lost, latest = {}, 0, 0
        for round_number in range(ROUNDS):
            cut = readers[round_number % len(readers)]
            backs = world.backs(cut)
            if trouble:
                world.is_cut[cut] = True
                world.record(f"entry {cut}, the reader of its zone, is cut from the store")
            await asyncio.sleep(CUT_S)
            world.is_cut[cut] = False
            world.record("the cut heals")
            if trouble and not await world.wait(lambda: world.backs(cut) > backs, 5):
                return 2, "the entry's calls to the store did not succeed again"
            await asyncio.sleep(LEAVES_AFTER_S)
            leaving = world.replicas.pop(0)
            world.store.put(f"servers/{leaving.name}", None)
            left_at = time.monotonic()
            world.record(f"the record of {leaving.name} is removed")
            await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
            leaving.exit()
            world.record(f"{leaving.name} exits")
            await world.add_replica(leaving.zone)
            await asyncio.sleep(1.5)
            for at, identity in leaving.arrivals:
                number, _ = world.sent.get(identity, (None, None))
                ms = round((at - left_at) * 1000)
                # The entry that was cut off is not in touch yet.
                if ms > DRAIN_MS and number not in (None, cut):
                    late.setdefault(number, []).append(ms)
                    world.record(f"booking {identity} of entry {number} came {ms} ms after the removal")
            lost += sum(1 for at, n, status in world.answers if at > left_at and status in ("502", "broken"))
        served = sum(1 for _, _, status in world.answers if status == "200")
        world.record(f"served {served}, lost after the removals {lost}, late arrivals by entry: {late}")
        if served < 1000:
            return 2, f"only {served} bookings were served"
        count = sum(map(len, late.values()))
        if count:
            latest = max(map(max, late.values()))
            return 1, (
                f"DRAIN: {count} bookings by {len(late)} entries in touch reached the replica later than "
                f"{DRAIN_MS} ms after its record was removed, the last one after {latest} ms; {lost} bookings lost"
            )
        return 0, f"no booking reached the replica later than {DRAIN_MS} ms; {lost} bookings lost"
    finally:
        world.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    code, text = asyncio.run(play(os.environ.get("TROUBLE", "1") != "0"))
    print(text, flush=True)
    # Without the clean-up of connections that are still open.
    os._exit(code)
