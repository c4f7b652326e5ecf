"""A small deployment: one entry, one group of eight ranks with their agents, and the store."""

import asyncio
import os
import shutil
import tempfile
import time

import clients
import engines
import programs
import store
import wire

ZONE, SERVICE, HOST, PATH, KEY = "keller-nord", "huvo11a", "ficu95.example", "/lohu930/", "n2ctnfzs989anu6wsjnb"


def configuration(version):
    route = {
        "name": "r-1",
        "host": HOST,
        "pathPrefix": PATH,
        "routeType": "streaming",
        "timeoutMs": 8000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        "sessionAffinity": True,
        "streamResume": True,
        "gapTargetMs": 120,
    }
    engine = {
        "slots": engines.SLOTS,
        "kvTokens": 372000,
        "kvBytes": 96256,
        "linkMbps": engines.LINK_MBPS,
        "stride": 5,
        "models": [{"name": "m"}],
        "step_ms": 5.85,
        "per_seq_ms": 0.355,
        "context_per_k": 0.036,
        "read_per_s": 61200.0,
        "pairs_per_m": 0.325,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 835, "answer": 139},
        "sets": engines.SETS,
        "experts": engines.EXPERTS,
        "placements": engines.PLACEMENTS,
        "spareSlots": engines.SPARE,
        "expertMb": engines.EXPERT_MB,
        "expertShare": 0.85,
        "form_ms": 600.0,
    }
    service = {"name": SERVICE, "healthPath": "/health", "maxConns": 418, "engineName": engine}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    tenants = [{"name": "hule930", "apiKeys": [KEY]}]
    return {"version": version, "routes": [route], "services": [service], "limits": limits, "tenants": tenants}


class Deployment:
    def __init__(self, record_path, ranks, seed):
        self.file = open(record_path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="papaya-review-")
        entry_ip = "127.0.10.1"
        agent_ips = [f"127.0.10.{11 + rank}" for rank in range(ranks)]
        addresses = [entry_ip, *agent_ips, "127.0.10.200"]
        ports = []
        while len(ports) < 6:
            port = programs.free_port(addresses) if not ports else ports[-1] + 1
            ports.append(port)
        self.front, ready, control, inner, ranks_port, app = ports
        self.store, self.group = store.Store(), engines.Group(ZONE, self.record, seed)
        self.group.add(agent_ips, app)
        self.group.shift_demand()
        seeds = f"{entry_ip}:{control}"
        fields = programs.common_fields("front-1", entry_ip, ZONE) | {
            "listen.front": f"{entry_ip}:{self.front}",
            "listen.ready": f"{entry_ip}:{ready}",
            "listen.control": f"{entry_ip}:{control}",
            "internalPorts.0": inner,
            "internalPorts.1": ranks_port,
            "seedAddrs": seeds,
            "provider.address": f"127.0.10.200:{app}",
        }
        self.entry_address = entry_ip
        self.app = app
        self.entry = programs.Program("entry", fields, self.folder)
        self.agents = []
        for rank, ip in enumerate(agent_ips):
            fields = programs.common_fields(f"side-{rank}", ip, ZONE) | {
                "app": f"{ip}:{app}",
                "service": SERVICE,
                "internalPorts.0": inner,
                "internalPorts.1": ranks_port,
                "seedAddrs": seeds,
            }
            self.agents.append(programs.Program("agent", fields, self.folder))
        self.clients = clients.Clients(entry_ip, self.front, HOST, PATH + "2f", KEY, self.record)
        self.tasks = []

    def record(self, text):
        if self.file.closed:
            return
        self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    async def start(self, count, pause=None):
        """Starts all, forms the group as at a first start, and lets `count` clients send."""
        await wire.serve("127.0.10.200", self.app, self.store.handle)
        self.store.put("op/config", configuration(7))
        for rank in self.group.ranks:
            await wire.serve(rank.address, rank.port, rank.handle)
            self.store.put(f"servers/{rank.name}", rank.entry(SERVICE))
        self.tasks.append(asyncio.create_task(self.group.run()))
        for program in [self.entry, *self.agents]:
            program.start()
        await asyncio.sleep(3)
        self.group.open()
        self.record("the group opens")
        await asyncio.sleep(1.5)
        for number in range(count):
            self.tasks.append(asyncio.create_task(self.clients.run(number, pause)))

    async def wait(self, condition, seconds):
        """Whether `condition` comes true within `seconds`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    def stop(self):
        """Ends all processes that were started, and keeps the agents' logs in the record."""
        for task in self.tasks:
            task.cancel()
        for program in [self.entry, *self.agents]:
            program.kill()
        self.file.write("\nagents' log lines on the agreement:\n")
        for program in self.agents:
            with open(f"{self.folder}/{program.name}.log", encoding="utf-8", errors="replace") as log:
                wanted = ("became lead", "phase changed", "new expert map", "stopped leading", "order got")
                for line in log:
                    if any(word in line for word in wanted):
                        self.file.write(f"{program.name} {line}")
        self.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)
