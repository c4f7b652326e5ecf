"""A lock-step group of model replicas as PROTOCOL.md describes it, on one machine a rank.

All ranks execute each pass together. At the begin of each pass the maps of all ranks are compared.
"""

import asyncio
import json
import random
import time
from urllib.parse import urlsplit

import wire

SETS, EXPERTS, PLACEMENTS, SPARE = 6, 64, 11, 4
EXPERT_MB, LINK_MBPS = 580.0, 92000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
SLOTS = 12
PASS_S = 0.025
# Choices of one request in one pass and set: 40 for each of the 5 tokens.
CHOICES = 200
EVENTS = 28


class Rank:
    def __init__(self, group, rank, address, port, name):
        self.group, self.rank, self.address, self.port, self.name = group, rank, address, port, name
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.version, self.map = 0, group.first_map
        self.prepared = None
        self.armed = None
        self.held = None
        self.copying = None
        self.highest = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.requests = []
        # After how long orders are carried out that get no answer, and until when there are such: from
        # the next order until that one is carried out. No spell begins while the time is 0.
        self.late_s, self.late_until = 0.0, None
        self.on_unanswered = None
        # Decides for an order whether it gets no answer, and after how long it is then carried out.
        self.delay = None
        self.unanswered = self.answered = 0

    def entry(self, service):
        return {
            "service": service,
            "address": f"{self.address}:{self.port}",
            "zone": self.group.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
            "born": self.born,
        }

    def finish_copy(self):
        if self.copying and time.monotonic() >= self.copying[2]:
            self.prepared = self.copying[:2]
            self.copying = None

    def report(self):
        self.finish_copy()
        group = self.group
        state = "open" if group.is_open else "broken"
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.copying is not None,
            "sequence": self.sequence,
            "waiting": max(len(self.requests) - SLOTS, 0),
            "running": min(len(self.requests), SLOTS),
            "kvUsed": 900 * len(self.requests),
            "kvTotal": 372000,
            "handles": 0,
            "born": self.born,
            "pace": 1.0,
            "group": {"name": "g0", "epoch": group.epoch, "rank": self.rank, "state": state},
            "size": len(group.ranks),
            "step": group.step,
            "mapping": self.version,
            "prepared": self.prepared[0] if self.prepared else None,
            "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
            "held": self.held,
        }

    def order(self, order):
        """Carries an order out; returns the status."""
        self.finish_copy()
        if order.get("epoch", self.group.epoch) != self.group.epoch:
            return 409
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        status = self.apply(order)
        if status == 202 and self.group.counts_orders:
            self.sequence += 1
        return status

    def apply(self, order):
        operation, version, step = order["operation"], order.get("version"), order.get("step")
        if operation == "prepare":
            if self.prepared and self.prepared == (version, order["mapping"]):
                return 200
            if version <= self.highest or self.armed or self.copying:
                return 409
            own = [lists[self.rank] for lists in self.map]
            new = [len(set(lists[self.rank]) - set(have)) for lists, have in zip(order["mapping"], own)]
            if max(new) > SPARE:
                return 409
            self.highest = version
            done = time.monotonic() + sum(new) * COPY_S
            self.copying = (version, order["mapping"], done)
            return 202
        if operation == "arm":
            if self.armed == (version, step):
                return 200
            if not self.prepared or self.prepared[0] != version or self.armed or step <= self.group.step:
                return 409
            self.armed = (version, step)
            return self.group.done
        if operation == "disarm":
            if self.version == version:
                return 409
            if not self.armed or self.armed[0] != version:
                return 200
            self.armed = None
            return self.group.done
        if operation == "hold":
            if self.held == step:
                return 200
            if self.held is not None or step <= self.group.step:
                return 409
            self.held = step
            return self.group.done
        if operation == "go":
            if self.held != step:
                return 200
            self.held = None
            return self.group.done
        return 400

    async def handle(self, method, target, head, body, writer):
        identity = [("X-Request-Id", head.get("x-request-id"))] if head.get("x-request-id") else []
        path = urlsplit(target)
        expected = head.get("x-expect-instance")
        if expected and expected != self.name:
            writer.write(wire.response(421, "Misdirected", b"", identity + [("At-Server", self.name)]))
            return True
        if path.path in ("/report", "/picked"):
            answer = self.report() if path.path == "/report" else self.picked("lists" in path.query)
            headers = identity + [("Content-Type", "application/json")]
            writer.write(wire.response(200, "OK", json.dumps(answer).encode(), headers))
            return True
        if path.path == "/order":
            return await self.handle_order(json.loads(body), identity, writer)
        if path.path == "/health":
            headers = identity + [("X-Replica-Id", self.name)]
            writer.write(wire.response(200, "OK", b"", headers))
            return True
        return await self.stream(head, identity, writer)

    async def handle_order(self, order, identity, writer):
        record = self.group.record
        text = f"rank {self.rank}: {order['operation']} version {order.get('version')}"
        text += f" step {order.get('step')} expected {order.get('expected')}"
        delay = self.delay(order) if self.delay else 0.0
        if self.late_s and self.late_until is None:
            self.late_until = time.monotonic() + self.late_s
        if self.late_until and time.monotonic() < self.late_until:
            delay = self.late_s
        if delay:
            self.unanswered += 1
            record(f"order unanswered, to be carried out in {delay:.1f} s: {text}")

            def carry_out():
                record(f"order carried out late, {self.order(order)}: {text}")

            asyncio.get_running_loop().call_later(delay, carry_out)
            if self.on_unanswered:
                self.on_unanswered(order)
            await asyncio.sleep(30)
            return False
        self.answered += 1
        status = self.order(order)
        record(f"order answered {status}: {text}")
        reasons = {200: "OK", 202: "Accepted", 409: "Conflict", 400: "Bad Request"}
        writer.write(wire.response(status, reasons[status], b"{}", identity))
        return True

    def picked(self, lists):
        if not lists:
            return {"step": self.group.step, "epoch": self.group.epoch, "expertCounts": self.counts}
        own = [of_set[self.rank] for of_set in self.map]
        return {"mapping": {"version": self.version, "experts": own}, "prepared": None}

    async def stream(self, head, identity, writer):
        if not self.group.is_open or len(self.requests) >= 2 * SLOTS:
            writer.write(wire.response(503, "Full", b"", identity + [("X-Not-Executed", "1")]))
            return True
        queue = asyncio.Queue()
        self.requests.append(queue)
        try:
            begun = False
            for number in range(self.group.events):
                await queue.get()
                if not begun:
                    begun = True
                    stamp = f"{self.name}.{self.group.step}"
                    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
                    lines += ["Transfer-Encoding: chunked", f"X-Server-Stamp: {stamp}"]
                    lines += [f"{name}: {value}" for name, value in identity]
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                event = f"id: {number}\ndata: {'x' * 50}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.requests.remove(queue)


class Group:
    """The ranks, the passes, and the check of the maps."""

    def __init__(self, zone, record, seed):
        self.zone, self.record = zone, record
        self.random = random.Random(seed)
        self.ranks = []
        self.first_map = None
        self.epoch, self.step, self.is_open = 0, 0, False
        self.broken_rule = None
        # Events of an answer, and the status of orders that are done at once: of 202 and 200 only the
        # first one, for an order that begins something, counts in `sequence`.
        self.events = EVENTS
        self.done = 202
        self.counts_orders = True
        self.passes = 0
        self.switched_at = time.monotonic()
        self.samples = []

    def add(self, addresses, port):
        size = len(addresses)
        lists = [list(range(rank, EXPERTS, size)) for rank in range(size)]
        self.first_map = [[list(of_rank) for of_rank in lists] for _ in range(SETS)]
        for rank, address in enumerate(addresses):
            self.ranks.append(Rank(self, rank, address, port, f"i-{rank}{rank}f{port}"))

    def shift_demand(self):
        """Other experts are in demand from now on."""
        shares = []
        for _ in range(SETS):
            weights = [1 / (place + 1) ** 0.9 for place in range(EXPERTS)]
            self.random.shuffle(weights)
            total = sum(weights)
            shares.append([w / total for w in weights])
        self.samples = []
        for _ in range(60):
            sample = []
            for of_set in shares:
                for share in of_set:
                    mean = CHOICES * share
                    sample.append(max(0, round(self.random.gauss(mean, mean**0.5))))
            self.samples.append(sample)

    def open(self):
        self.epoch, self.is_open = self.epoch + 1, True

    async def run(self):
        while True:
            await asyncio.sleep(PASS_S)
            if not self.is_open or not any(rank.requests for rank in self.ranks):
                continue
            if any(rank.held is not None and rank.held <= self.step + 1 for rank in self.ranks):
                continue
            self.begin_pass()

    def begin_pass(self):
        self.step += 1
        self.passes += 1
        for rank in self.ranks:
            rank.finish_copy()
            if rank.armed and rank.armed[1] <= self.step:
                rank.version = rank.armed[0]
                rank.map = rank.prepared[1]
                rank.armed = rank.prepared = None
                self.switched_at = time.monotonic()
                self.record(f"pass {self.step}: rank {rank.rank} switches to version {rank.version}")
        first = self.ranks[0]
        for rank in self.ranks[1:]:
            if (rank.version, rank.map) != (first.version, first.map) and not self.broken_rule:
                places = [(s, r) for s in range(SETS) for r in range(len(self.ranks))]
                differ = [(s, r) for s, r in places if rank.map[s][r] != first.map[s][r]]
                self.broken_rule = (
                    f"MAP: pass {self.step} begins while rank 0 has version {first.version} and rank "
                    f"{rank.rank} version {rank.version}, whose lists differ for (set, rank) {differ}"
                )
                self.record(self.broken_rule)
        for rank in self.ranks:
            running = rank.requests[:SLOTS]
            if running:
                sample = self.random.choice(self.samples)
                rank.counts = [c + len(running) * s for c, s in zip(rank.counts, sample)]
            for queue in running:
                queue.put_nowait(None)
