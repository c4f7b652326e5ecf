"""The platform's store: keys, pages and watches, read only for the system."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

import wire


class Store:
    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes a value, or removes the key if it is `None`."""
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            item["deleted"] = True
        else:
            created = self.items.get(key, {}).get("created", self.revision)
            text = base64.b64encode(json.dumps(value).encode()).decode()
            item |= {"value": text, "created": created, "leaseId": 0}
            self.items[key] = item
        self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, head, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, answer = 200, {}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            status = 200 if item else 404
            answer = {**(item or {}), "atRev": self.revision}
        elif parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["pathPrefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            answer = {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500}
            answer["atRev"] = self.revision
        elif parts.path == "/kv-watch":
            answer = await self.watch(query)
        else:
            status = 404
        text = json.dumps(answer).encode()
        reason = "OK" if status == 200 else "Not Found"
        writer.write(wire.response(status, reason, text, [("Content-Type", "application/json")]))
        return True

    async def watch(self, query):
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["waitMs"]) / 1000
        while True:
            after, prefix = int(query["after"]), query["pathPrefix"]
            events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - loop.time()
            if events or left <= 0:
                return {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
