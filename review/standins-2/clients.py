"""Clients that send streaming requests on kept connections and read each answer to its end."""

import asyncio
import random
import time

import wire


class Clients:
    def __init__(self, address, port, host, path, key, record):
        self.address, self.port, self.host, self.path, self.key = address, port, host, path, key
        self.record = record
        self.whole = self.other = 0
        self.events = 28

    async def run(self, number, pause=None):
        """One client, which goes on until it is cancelled. It waits for `pause` before each request."""
        reader = writer = None
        while True:
            await (pause() if pause else asyncio.sleep(random.uniform(0.05, 0.3)))
            identity = f"{random.getrandbits(64):016x}"
            began = time.monotonic()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.address, self.port)
                writer.write(self.request(identity))
                outcome, closes = await asyncio.wait_for(self.answer(reader, identity), 8)
                if closes:
                    writer.close()
                    writer = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
                outcome = f"broken: {type(error).__name__}"
                if writer:
                    writer.close()
                writer = None
            if outcome == "whole":
                self.whole += 1
            else:
                self.other += 1
            took = (time.monotonic() - began) * 1000
            self.record(f"client {number} request {identity}: {outcome} after {took:.0f} ms")

    def request(self, identity):
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Request-Id: {identity}",
            f"X-Key: {self.key}",
            "X-Model: m",
            "X-Token-Usage: 800,140",
            f"X-Prompt-Prefix: 5c1e07a2:40,{identity[:8]}:760",
            "X-Request-Deadline-Ms: 8000",
            "Content-Length: 4",
        ]
        return ("\r\n".join(lines) + "\r\n\r\nbody").encode()

    async def answer(self, reader, identity):
        head = await wire.read_head(reader)
        if head is None:
            raise ConnectionResetError
        status = int(head.line.split(" ")[1])
        closes = head.get("connection", "").lower() == "close"
        if status != 200:
            await wire.read_body(reader, head)
            return f"status {status}", closes
        if head.get("x-request-id") != identity:
            raise ValueError("answer to another request")
        data = b"".join([chunk async for chunk in wire.read_chunks(reader)])
        return "whole" if data.count(b"\n\n") == self.events else "short", closes
