"""The platform's store of PROTOCOL.md: items with revisions, ranges and watches over HTTP/1.1."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
HISTORY_S = 20.0
ANSWER_S = 0.004
MACHINES = 40


class Store:
    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.items = {}  # key -> (revision, created, value)
        self.history = []  # (time, revision, key, value or None)
        self.forgotten = 0
        self.revision = 1
        self.changed = asyncio.Event()
        self.connections = {}  # connection -> {"peer", "silent"}
        self.watches = {}  # ip of the caller -> time of its last watch call

    async def start(self):
        """Listens at one address for each machine, which tells the callers apart: on loopback, all
        callers have the same address."""
        first = self.ip.rsplit(".", 1)[0]
        addresses = [f"{first}.{n}" for n in range(1, MACHINES + 1)]
        self.server = await asyncio.start_server(self.serve, addresses, self.port)

    def put(self, key, value, quiet=False):
        """Writes an item. A quiet write changes nothing that watches report: only a counter of a
        heartbeat was raised."""
        raw = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        if quiet and key in self.items:
            revision, created, _ = self.items[key]
            self.items[key] = (revision, created, raw)
            return revision
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (self.revision, created, raw)
        self.note(key, raw)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(key, None)

    def note(self, key, raw):
        self.history.append((time.monotonic(), self.revision, key, raw))
        old = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < old:
            self.forgotten = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def silence_idle(self, idle_s):
        """Something between both ends loses track of the open connections that have carried nothing
        for a while: they stay open at both ends, and nothing more arrives on them. New connections
        work, and so do those in use."""
        idle = [s for s in self.connections.values()
                if not s["silent"] and not s["busy"] and time.monotonic() - s["used"] >= idle_s]
        for state in idle:
            state["silent"] = True
        return sorted(state["peer"] for state in idle)

    async def serve(self, reader, writer):
        state = {"peer": writer.get_extra_info("sockname")[0], "silent": False, "busy": False,
                 "used": time.monotonic()}
        self.connections[writer] = state
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if state["silent"]:
                    await asyncio.sleep(300)
                state["busy"] = True
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target, state)
                if state["silent"]:
                    await asyncio.sleep(300)
                raw = json.dumps(body).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(raw)}\r\n\r\n").encode() + raw)
                await writer.drain()
                state["busy"], state["used"] = False, time.monotonic()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def answer(self, target, state):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/kv-watch":
            return await self.watch(query, state)
        await asyncio.sleep(ANSWER_S)
        if url.path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and (not after or k > after))
            items = [self.item(k, *self.items[k]) for k in keys[:PAGE_ITEMS]]
            return 200, {"items": items, "has_more": len(keys) > PAGE_ITEMS, "as_of": self.revision}
        if url.path == "/kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return 404, {"as_of": self.revision}
            return 200, {**self.item(key, *self.items[key]), "as_of": self.revision}
        return 404, {}

    @staticmethod
    def item(key, revision, created, raw):
        return {"key": key, "value": base64.b64encode(raw).decode(), "revision": revision,
                "created": created, "lease": 0}

    async def watch(self, query, state):
        after, wait = int(query["after"]), int(query["wait_ms"]) / 1000
        self.watches[state["peer"]] = time.monotonic()
        end = time.monotonic() + wait
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [e for e in self.history if e[1] > after and e[2].startswith(query.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        await asyncio.sleep(ANSWER_S)
        body = []
        for _, revision, key, raw in events:
            if raw is None:
                body.append({"key": key, "revision": revision, "tombstone": True})
            else:
                body.append(self.item(key, revision, revision, raw))
        as_of = events[-1][1] if events else max(after, self.revision if not self.history else after)
        return 200, {"events": body, "as_of": as_of}
