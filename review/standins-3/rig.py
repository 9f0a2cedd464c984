"""Small stand-ins of the platform for the scripts of review 3: store, backends and clients of PROTOCOL.md, and the
start of instances with the command of the deploy file. All addresses are loopback addresses.

The addresses of a route are only fields of packets. They are loopback addresses as well.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# As in deploy/system.toml.
COMMAND = "target/release/tanager-forwarder"

SYN, FIN, RST, ACK = 2, 4, 16, 128
HEAD = struct.Struct("<4s4sHHIIIIHB")
# A client sends copies of its SYN after these times, and ends its attempt 1.4 s after the first.
SYN_COPIES_S = (0.2, 0.6)
SYN_LIMIT_S = 1.4
RETRY_S, RETRY_MAX_S = 0.2, 1.6
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
# The exit code for a broken rule. Python itself exits with 1 after an error; run.sh maps the codes.
BROKEN = 10

START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():8.3f} s  {text}\n")
        self.file.flush()


def address_bytes(ip):
    return bytes(reversed(socket.inet_aton(ip)))


def checksum(head, data):
    """The sum of the two ends. It leaves out the cookie (echo)."""
    dst, src, sport, dport, _, seq, ack, _, _, flags = head
    fields = struct.pack("<4s4sHHIIB", dst, src, sport, dport, seq, ack, flags)
    return zlib.crc32(b"stand-in" + fields + data) or 1


def encode(src, sport, dst, dport, echo, seq, ack, flags, data=b""):
    head = (address_bytes(dst), address_bytes(src), sport, dport, echo, seq, ack, 0, len(data), flags)
    head = head[:7] + (checksum(head, data),) + head[8:]
    return HEAD.pack(*head) + data


class Packet:
    def __init__(self, raw):
        head = HEAD.unpack_from(raw)
        self.raw = raw
        self.data = raw[HEAD.size:]
        dst, src, self.sport, self.dport, self.echo, self.seq, self.ack, sum_, length, self.flags = head
        self.dst, self.src = (socket.inet_ntoa(bytes(reversed(a))) for a in (dst, src))
        self.valid = sum_ == checksum(head, self.data) and length == len(self.data)
        # A reset of the system's own has the sum 0.
        self.of_system = sum_ == 0


def free_port(kind=socket.SOCK_DGRAM, ip="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self, ip):
        self.ip, self.port = ip, free_port(socket.SOCK_STREAM, ip)
        self.items, self.history, self.revision = {}, [], 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.note(item)

    def touch(self, key, value):
        """A heartbeat that raises only seq_no, which is no change of the entry."""
        if key in self.items:
            self.items[key]["value"] = base64.b64encode(json.dumps(value).encode()).decode()

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self.answer(head.split(b" ", 2)[1].decode())
                raw = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/kv-watch":
            return await self.watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "as_of": self.revision}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                await asyncio.sleep(STORE_ANSWER_S)
                return 200, {"events": events, "as_of": max(self.revision, after)}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, raw, _):
        self.handle(raw)


async def open_socket(ip, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Endpoint(handle), local_addr=(ip, port))
    return transport


class Backend:
    """A backend: it answers each request of a flow after work_s with its name."""

    def __init__(self, rig, name, number, ip, service, slots=2, max_conns=2000, work_s=0.01):
        self.rig, self.name, self.number, self.service = rig, name, number, service
        self.key = f"servers/i-{number:x}"
        self.slots, self.max_conns, self.work_s = slots, max_conns, work_s
        self.address = (ip, free_port(ip=ip))
        self.state, self.beats, self.born = "ready", 0, int(time.time() * 1000)
        self.flows, self.ended = {}, set()

    def entry(self):
        self.beats += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.rig.zone,
                "config_version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "seq_no": self.beats, "born": self.born}

    async def start(self):
        self.transport = await open_socket(*self.address, self.receive)
        self.publish()
        self.rig.tasks.append(asyncio.ensure_future(self.beat()))

    def publish(self):
        self.rig.store.put(self.key, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.rig.store.touch(self.key, self.entry())

    def send(self, packet, flags, seq, ack, echo, data=b""):
        """Answers the client of a packet directly."""
        raw = encode(packet.dst, packet.dport, packet.src, packet.sport, echo, seq, ack, flags, data)
        self.transport.sendto(raw, (packet.src, self.rig.port))

    def receive(self, raw):
        intended = int.from_bytes(raw[:8], "big")
        packet = Packet(raw[8:])
        if intended not in (0, self.number):
            return
        if not packet.valid or packet.flags & SYN and packet.flags & ACK:
            self.rig.record(f"{self.name} gets a packet that its sender did not write so")
            self.rig.forged += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            return self.open(key, flow, packet)
        if flow is None:
            if key not in self.ended or packet.data:
                self.rig.record(f"{self.name} does not hold flow {key[1]} and resets it")
                self.send(packet, RST, packet.ack, 0, packet.echo)
            elif packet.flags & FIN:
                self.send(packet, ACK, packet.ack, packet.seq + 1, packet.echo)
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            if packet.ack != flow["seq"] + 1:
                return
            flow["open"] = True
            self.rig.record(f"{self.name} holds the open flow {key[1]}")
        self.take(key, flow, packet)

    def open(self, key, flow, packet):
        if flow is None:
            if len(self.flows) >= self.max_conns:
                self.rig.record(f"{self.name} is full and does not answer the SYN of {key[1]}")
                return
            flow = {"seq": random.randrange(1 << 30), "next": packet.seq + 1, "open": False, "sent": b"",
                    "echo": packet.echo, "opened_by": now(), "copy": packet.ack}
            self.flows[key] = flow
            self.ended.discard(key)
        flow["echo"] = packet.echo
        self.rig.record(f"{self.name} answers the SYN of {key[1]} (copy {packet.ack})")
        self.send(packet, SYN | ACK, flow["seq"], flow["next"], flow["echo"])

    def take(self, key, flow, packet):
        end = packet.seq + len(packet.data)
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = end
            self.send(packet, ACK, flow["seq"] + 1 + len(flow["sent"]), flow["next"], flow["echo"])
            self.rig.tasks.append(asyncio.ensure_future(self.work(key, flow, packet)))
        elif packet.data and end <= flow["next"]:
            # Data that it has: the acknowledgement or the answer was lost.
            self.send(packet, ACK, flow["seq"] + 1 + len(flow["sent"]), flow["next"], flow["echo"])
        if packet.flags & FIN:
            self.send(packet, ACK | FIN, flow["seq"] + 1 + len(flow["sent"]), packet.seq + 1, flow["echo"])
            self.flows.pop(key, None)
            self.ended.add(key)

    async def work(self, key, flow, packet):
        self.rig.record(f"{self.name} ({self.service}) runs request {packet.data.decode()!r} of flow {key[1]}")
        self.rig.runs.append((now(), self, key, packet.data.decode(), flow["copy"]))
        await asyncio.sleep(self.work_s)
        if self.flows.get(key) is not flow:
            return
        answer = f"{self.name} answers {packet.data.decode()}".encode()
        seq = flow["seq"] + 1 + len(flow["sent"])
        flow["sent"] += answer
        self.send(packet, ACK, seq, flow["next"], flow["echo"], answer)


class Client:
    """A client's flow through the instances that `route` names at the moment."""

    def __init__(self, rig, ip, sport, hostname, dport, route):
        self.rig, self.ip, self.sport, self.route = rig, ip, sport, route
        self.hostname, self.dport = hostname, dport
        self.seq = random.randrange(1 << 30)
        self.echo = self.ack = 0
        self.open, self.reset, self.answers = False, None, b""
        self.event = asyncio.Event()
        self.syns = []
        rig.flows[(ip, sport)] = self

    def send(self, flags, data=b"", ack=None):
        raw = encode(self.ip, self.sport, self.hostname, self.dport, self.echo, self.seq,
                     self.ack if ack is None else ack, flags, data)
        self.rig.clients[self.ip].sendto(raw, (self.route(), self.rig.port))

    def receive(self, packet):
        if packet.flags & RST:
            who = "the system" if packet.of_system else "a backend"
            self.rig.record(f"client flow {self.sport} is reset by {who}")
            self.reset = who
        elif not packet.valid:
            self.rig.record(f"client flow {self.sport} gets a packet that its sender did not write so")
            self.rig.forged += 1
        elif packet.flags & SYN:
            self.echo = packet.echo
            if not self.open:
                self.open, self.ack = True, packet.seq + 1
                self.seq += 1
                self.send(ACK)
        else:
            self.echo = packet.echo
            if packet.data and packet.seq == self.ack:
                self.ack += len(packet.data)
                self.answers += packet.data
                self.send(ACK)
            if packet.ack > self.seq:
                self.seq = packet.ack
        self.event.set()

    async def wait(self, condition, limit):
        end = time.monotonic() + limit
        while not condition() and time.monotonic() < end:
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        return condition()

    async def connect(self):
        """Opens the flow. Returns whether it is open."""
        started = now()
        for copy, at in enumerate((0.0, *SYN_COPIES_S)):
            if await self.wait(lambda: self.open or self.reset, started + at - now()):
                break
            self.syns.append(now())
            self.rig.record(f"client flow {self.sport} sends SYN copy {copy} to {self.hostname}:{self.dport}"
                            f" through {self.route()}")
            self.send(SYN, ack=copy)
        await self.wait(lambda: self.open or self.reset, started + SYN_LIMIT_S - now())
        return self.open and not self.reset

    async def request(self, text, limit=3.0):
        """Sends a request and returns its answer, or None."""
        before, end, pause = len(self.answers), time.monotonic() + limit, RETRY_S
        seq = self.seq
        self.rig.record(f"client flow {self.sport} sends request {text!r} through {self.route()}")
        while time.monotonic() < end and not self.reset:
            if self.seq == seq:
                self.send(ACK, text.encode())
            wait = min(pause, end - time.monotonic())
            if await self.wait(lambda: len(self.answers) > before or self.reset, wait):
                break
            pause = min(pause * 2, RETRY_MAX_S)
        answer = self.answers[before:].decode() or None
        self.rig.record(f"client flow {self.sport}: answer {answer!r}")
        return answer

    def close(self):
        self.send(FIN | ACK)


class Rig:
    """A small deployment of one zone."""

    zone = "zone-a"

    def __init__(self, folder, instances=2, net=60):
        self.folder = Path(folder)
        self.record = Record(folder)
        self.net = net
        self.store = Store(f"127.0.{net}.1")
        self.ips = [f"127.0.{net}.{10 + i}" for i in range(instances)]
        self.port, self.beacons = self.common_port(socket.SOCK_DGRAM, 2)
        self.ready, self.views, self.metrics = self.common_port(socket.SOCK_STREAM, 3)
        self.clients, self.flows, self.tasks, self.runs = {}, {}, [], []
        self.processes, self.forged = {}, 0
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))

    def common_port(self, kind, count):
        """Ports that are free at all addresses: they are the same on all machines."""
        found = []
        while len(found) < count:
            port = free_port(kind, self.ips[0])
            if port in found:
                continue
            try:
                for ip in [*self.ips, f"127.0.{self.net}.200"]:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
                found.append(port)
            except OSError:
                pass
        return found

    def settings(self, index):
        """The template platform/node.yaml, filled in as the platform does."""
        ip = self.ips[index]
        seeds = "".join(f'  - "{s}:{self.views}"\n' for s in self.ips[:3])
        return (f'instance:\n  name: "edge-{index + 1}"\n  zone: "{self.zone}"\n  capacity: "0.5"\n'
                f'listen:\n  clients: "{ip}:{self.port}"\n  ready: "{ip}:{self.ready}"\n'
                f'  views: "{ip}:{self.views}"\n  beacons: "{ip}:{self.beacons}"\n'
                f'  metrics: "{ip}:{self.metrics}"\nzones:\n  - "{self.zone}"\nseeds:\n{seeds}'
                f'store: "{self.store.ip}:{self.store.port}"\nwarmup:\nlog:\n  output: stdout\n'
                '  format: json\n  level: info\n')

    def start_instance(self, index):
        path = self.temp / f"node-{index}.yaml"
        path.write_text(self.settings(index))
        log = open(self.temp / f"log-{index}.txt", "a", encoding="utf-8")
        env = {"TANAGERPROXY_BOOT": str(path), "PATH": os.environ.get("PATH", ""), "HOME": str(self.temp)}
        process = subprocess.Popen([str(ROOT / COMMAND)], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.processes[index] = process
        self.record(f"instance edge-{index + 1} started at {self.ips[index]}")

    async def is_ready(self, index):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ips[index], self.ready), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, indexes, limit=20):
        end = time.monotonic() + limit
        for index in indexes:
            while not await self.is_ready(index):
                if time.monotonic() > end:
                    raise RuntimeError(f"instance {index + 1} is not ready")
                await asyncio.sleep(0.1)
            self.record(f"instance edge-{index + 1} is ready")

    async def add_client(self, ip):
        def handle(raw):
            if len(raw) >= HEAD.size:
                packet = Packet(raw)
                flow = self.flows.get((packet.dst, packet.dport))
                if flow:
                    flow.receive(packet)
        self.clients[ip] = await open_socket(ip, self.port, handle)

    def configure(self, version, routes, services):
        """Routes: (name, hostname, port, kind, service)."""
        self.store.put("op/config", {
            "config_version": version,
            "routes": [{"name": n, "hostname": h, "prefix": f"/{p}/", "route_type": k, "timeout_ms": 1500,
                        "target_latency_ms": 150, "priority": 2, "service": s, "retry_attempts": 2}
                       for n, h, p, k, s in routes],
            "services": [{"name": s, "health_path": "/health", "max_conns": c, "protocol": "h1", "tls": False}
                         for s, c in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        self.record(f"the store acknowledges configuration {version}")
        return now()

    def log_of(self, index):
        return (self.temp / f"log-{index}.txt").read_text(encoding="utf-8")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.temp, ignore_errors=True)


def run(scenario, folder, limit=110, **options):
    """Plays a scenario and exits with BROKEN, 0 if the rule held, or 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        rig = Rig(folder, **options)
        try:
            await rig.store.start()
            result = await asyncio.wait_for(scenario(rig, trouble), limit)
            rig.record("RULE BROKEN" if result else "rule held")
            return BROKEN if result else 0
        except Exception as error:  # The case could not run.
            rig.record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            rig.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = asyncio.run(play())
    sys.exit(code)
