"""A fleet of entries in three zones before a plain service, each with a port of the store of its own."""

import asyncio
import json
import shutil
import tempfile
import time

import programs
import store
import wire

ZONES = ["keller-nord", "keller-mitte", "keller-sued"]
SERVICE, HOST, PATH, KEY = "huvo22b", "ficu95.example", "/puxa403/", "n2ctnfzs989anu6wsjnb"
SLOTS, WORK_S = 6, 0.03
STORE_ADDRESS = "127.0.20.200"


def configuration(version):
    route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": PATH,
        "routeType": "unsafe",
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": SERVICE,
        "maxAttempts": 1,
        "public": False,
    }
    service = {"name": SERVICE, "healthPath": "/health", "maxConns": 400}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    tenants = [{"name": "hule930", "apiKeys": [KEY]}]
    return {"version": version, "routes": [route], "services": [service], "limits": limits, "tenants": tenants}


class Replica:
    """A plain replica, which notes when each request arrives and from which entry."""

    def __init__(self, address, port, zone, record):
        self.address, self.port, self.zone, self.record = address, port, zone, record
        self.name = f"i-{address.rsplit('.', 1)[1]}c{port}"
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.running = 0
        self.server = None
        self.writers = set()

    def entry(self):
        return {
            "service": SERVICE,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def start(self):
        self.server = await wire.serve(self.address, self.port, self.handle)

    def exit(self):
        """Ends as a process does: all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle(self, method, target, head, body, writer):
        self.writers.add(writer)
        identity = [("X-Request-Id", head.get("x-request-id", ""))]
        if head.get("x-expect-instance", self.name) != self.name:
            writer.write(wire.response(421, "Misdirected", b"", identity))
            return True
        if self.running >= SLOTS * 4:
            writer.write(wire.response(503, "Full", b"", identity + [("X-Not-Executed", "1")]))
            return True
        self.arrivals.append((time.monotonic(), head.get("x-request-id", "")))
        self.running += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.running -= 1
        load = f"{self.running},0,{SLOTS}"
        headers = identity + [("X-Server-Stamp", f"{self.name}.1"), ("X-Replica-Load", load)]
        writer.write(wire.response(200, "OK", b"x" * 800, headers))
        return True


class Fleet:
    def __init__(self, record_path, entries, drain_ms):
        self.file = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="papaya-review-")
        ips = [f"127.0.20.{1 + n}" for n in range(entries)]
        first = programs.free_port([*ips, "127.0.20.101", STORE_ADDRESS])
        self.front, ready, control, inner = first, first + 1, first + 2, first + 3
        self.store, self.store_port = store.Store(), first + 10
        self.is_cut = [False] * entries
        self.replicas, self.replica_port, self.addresses_used = [], first + 4, 0
        seeds = ",".join(f"{ip}:{control}" for ip in ips[:3])
        self.entries = []
        for number, ip in enumerate(ips):
            fields = programs.common_fields(f"front-{number}", ip, ZONES[number % 3]) | {
                "listen.front": f"{ip}:{self.front}",
                "listen.ready": f"{ip}:{ready}",
                "listen.control": f"{ip}:{control}",
                "internalPorts.0": inner,
                "seedAddrs": seeds,
                "provider.address": f"{STORE_ADDRESS}:{self.store_port + number}",
                "bounds.drainMs": drain_ms,
            }
            self.entries.append(programs.Program("entry", fields, self.folder))
        self.ips = ips
        self.answers = []
        self.sent = {}
        self.tasks = []

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    async def start(self):
        for number in range(len(self.ips)):

            async def handle(method, target, head, body, writer, number=number):
                while self.is_cut[number]:
                    await asyncio.sleep(0.01)
                return await self.store.handle(method, target, head, body, writer)

            await wire.serve(STORE_ADDRESS, self.store_port + number, handle)
        self.store.put("op/config", configuration(7))
        for zone in ZONES:
            await self.add_replica(zone)
        for program in self.entries:
            program.start()
        await asyncio.sleep(7)
        for number in range(len(self.ips)):
            self.tasks.append(asyncio.create_task(self.client(number)))

    def role(self, number):
        """The part that an entry takes in reading the store, as it logged last."""
        role = "independent"
        with open(f"{self.folder}/front-{number}.log", encoding="utf-8", errors="replace") as log:
            for line in log:
                if "role in reading the store changed" in line:
                    role = json.loads(line)["role"]
        return role

    def backs(self, number):
        """How often an entry's calls for the configuration have begun to succeed again."""
        with open(f"{self.folder}/front-{number}.log", encoding="utf-8", errors="replace") as log:
            return sum("succeed again" in line and '"configuration"' in line for line in log)

    async def add_replica(self, zone):
        """Starts a replica at an address that was not used before."""
        self.addresses_used += 1
        address = f"127.0.20.{100 + self.addresses_used}"
        replica = Replica(address, self.replica_port, zone, self.record)
        await replica.start()
        self.store.put(f"servers/{replica.name}", replica.entry())
        self.replicas.append(replica)

    async def wait(self, condition, seconds):
        """Whether `condition` comes true within `seconds`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not condition():
            await asyncio.sleep(0.02)
        return condition()

    async def client(self, number):
        """Books at one entry, one request after the other, on a kept connection."""
        reader = writer = None
        count = 0
        while True:
            await asyncio.sleep(0.02)
            count += 1
            identity = f"{number:02x}{count:014x}"
            self.sent[identity] = (number, time.monotonic())
            lines = [
                f"POST {PATH}2f HTTP/1.1",
                f"Host: {HOST}",
                f"X-Request-Id: {identity}",
                f"X-Key: {KEY}",
                "X-Request-Deadline-Ms: 2500",
                "Content-Length: 4",
            ]
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.ips[number], self.front)
                writer.write(("\r\n".join(lines) + "\r\n\r\nbody").encode())
                head = await asyncio.wait_for(wire.read_head(reader), 3)
                status = head.line.split(" ")[1]
                await wire.read_body(reader, head)
                if head.get("connection", "").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, AttributeError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = "broken"
                if writer:
                    writer.close()
                writer = None
            self.answers.append((time.monotonic(), number, status))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for program in self.entries:
            program.kill()
        self.file.write("\nlog lines of the entries on the store and the replicas:\n")
        for program in self.entries:
            with open(f"{self.folder}/{program.name}.log", encoding="utf-8", errors="replace") as log:
                wanted = ("role in reading", "calls to the store", "upstream is leaving", "record is missing")
                for line in log:
                    if any(word in line for word in wanted):
                        self.file.write(f"{program.name} {line}")
        self.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)
