"""Packets, router, clients and backends of PROTOCOL.md, as small stand-ins on loopback addresses.

All stand-ins of a run live in one process, so that a run can check what clients and backends saw.
Each link has the delay and the loss of the site sheet.
"""

import asyncio
import hashlib
import random
import struct
import time
import zlib

SYN, FIN, RST, BOUNCED, ACK = 2, 4, 16, 64, 128
HEAD = struct.Struct("<4s4sHHIIIIHB")
DATA_LIMIT = 1200
WINDOW = 16
# Retransmissions: after 200 ms, doubling up to 1.6 s.
RETRY_MIN, RETRY_MAX = 0.2, 1.6
BACKEND_RETRIES = 8
RESET_WINDOW = 76_800


def ip_bytes(ip):
    """Addresses are 32-bit little-endian integers."""
    return bytes(int(p) for p in reversed(ip.split(".")))


def ip_text(raw):
    return ".".join(str(b) for b in reversed(raw))


def after(a, b):
    """Whether position a is after position b in a wrapping stream."""
    return 0 < ((a - b) & 0xFFFFFFFF) < 1 << 31


class Packet:
    __slots__ = ("dst", "src", "sport", "dport", "echo", "seq", "ack", "sum", "flags", "data")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo=0, data=b"", sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.sum = self.expected_sum() if sum_ is None else sum_

    def expected_sum(self):
        text = f"{self.src}:{self.sport}>{self.dst}:{self.dport}/{self.flags & ~BOUNCED}/{self.seq}/{self.ack}/"
        return zlib.crc32(b"key of the ends" + text.encode() + self.data) or 1

    def valid(self):
        return self.sum == self.expected_sum()

    def encode(self):
        head = HEAD.pack(ip_bytes(self.dst), ip_bytes(self.src), self.sport, self.dport, self.echo,
                         self.seq, self.ack, self.sum, len(self.data), self.flags)
        return head + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        dst, src, sport, dport, echo, seq, ack, sum_, length, flags = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        if len(data) != length:
            return None
        return Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, echo, data, sum_)


class Links:
    """Delays and loss of the links, as on the sheet of abay-buzz."""

    def __init__(self, seed, loss=0.001, client_ms=3.0, zone_ms=0.1, cross_ms=3.0):
        self.rng = random.Random(seed)
        self.loss, self.client_ms, self.zone_ms, self.cross_ms = loss, client_ms, zone_ms, cross_ms

    def lost(self):
        return self.rng.random() < self.loss

    def jitter(self, ms):
        return ms / 1000 * (1 + 0.3 * self.rng.random())


class Record:
    """What was sent, answered and run, and which rules were broken."""

    def __init__(self, path, now):
        self.file = open(path, "w", encoding="utf-8")
        self.now = now
        self.broken = []
        self.counts = {}

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def broke(self, rule, text):
        self.broken.append((rule, text))
        self.line(f"BROKEN {rule}: {text}")

    def close(self):
        self.line("counts " + " ".join(f"{k}={v}" for k, v in sorted(self.counts.items())))
        self.line(f"broken {len(self.broken)}")
        self.file.close()


class Router:
    """The platform's routers: GET /ready twice a second, two misses, steady hash by zone."""

    def __init__(self, world):
        self.world = world
        self.nodes = {}  # ip -> dict(zone, misses)

    def add(self, ip, zone):
        self.nodes[ip] = {"zone": zone, "misses": 2}
        return asyncio.ensure_future(self.check(ip))

    async def check(self, ip):
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            ready = False
            try:
                ready = await asyncio.wait_for(self.fetch(ip), 0.45)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            node = self.nodes[ip]
            was = node["misses"] < 2
            node["misses"] = 0 if ready else node["misses"] + 1
            if was != (node["misses"] < 2):
                self.world.record.line(f"router {ip} {'in' if node['misses'] < 2 else 'out of'} rotation")
            await asyncio.sleep(max(0.0, 0.5 - (loop.time() - started)))

    async def fetch(self, ip):
        reader, writer = await asyncio.open_connection(ip, self.world.ports["ready"])
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            return line.split()[1:2] == [b"200"]
        finally:
            writer.close()

    def in_rotation(self, zone=None):
        return [ip for ip, n in self.nodes.items() if n["misses"] < 2 and zone in (None, n["zone"])]

    def route(self, zone, flow):
        own = [ip for ip, n in self.nodes.items() if n["zone"] == zone]
        nodes = self.in_rotation(zone)
        if 2 * len(nodes) < len(own) and nodes:
            nodes = own
        if not nodes:
            nodes = self.in_rotation() or own
        return max(nodes, key=lambda ip: hashlib.blake2b(f"{ip}|{flow}".encode(), digest_size=8).digest())


class Socket(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def bind(ip, port, receive):
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Socket(receive), local_addr=(ip, port))
    return protocol.transport


class Backend:
    """A backend. It runs each request once, after its work time, and answers the client directly."""

    def __init__(self, world, number, ip, port, service, zone, work_ms=30.0):
        self.world, self.number, self.ip, self.port = world, number, ip, port
        self.service, self.zone, self.work_ms = service, zone, work_ms
        self.id = f"i-{number:010x}"
        self.flows = {}
        self.ended = set()
        self.alive = True
        self.born = int(time.time() * 1000)
        self.seq_no = 0
        self.state = "ready"

    async def start(self):
        self.transport = await bind(self.ip, self.port, self.receive)

    def entry(self):
        self.seq_no += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "config_version": "v1", "slots": 2, "state": self.state, "cold_left_ms": 0,
                "seq_no": self.seq_no, "born": self.born}

    def stop(self):
        self.alive = False
        for flow in self.flows.values():
            if flow["timer"]:
                flow["timer"].cancel()
        self.flows.clear()
        self.transport.close()

    def receive(self, raw, addr):
        links = self.world.links
        if not self.alive or links.lost():
            return
        zone = self.world.zone_of.get(addr[0])
        delay = links.jitter(links.zone_ms if zone == self.zone else links.cross_ms)
        self.world.loop.call_later(delay, self.handle, raw, addr[0])

    def handle(self, raw, via):
        if not self.alive or len(raw) < 8:
            return
        intended = int.from_bytes(raw[:8], "big")
        if intended not in (0, self.number):
            return
        packet = Packet.decode(raw[8:])
        if packet is None or not packet.valid():
            self.world.record.broke("UNASKED", f"backend {self.id} got a changed packet through {via}")
            return
        if packet.flags & SYN and packet.flags & ACK:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.world.arrival(self, key, packet, via)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.handle_syn(key, flow, packet, via)
        elif packet.flags & RST:
            if flow:
                self.drop(key)
        elif flow is None and key in self.ended:
            if packet.flags & FIN:
                self.send(key, {"echo": packet.echo}, FIN | ACK, packet.ack, (packet.seq + 1) & 0xFFFFFFFF)
            elif packet.data:
                self.reset(key, packet)
        elif flow is None:
            self.reset(key, packet)
        else:
            self.handle_packet(key, flow, packet, via)

    def drop(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow["timer"]:
            flow["timer"].cancel()

    def handle_syn(self, key, flow, packet, via):
        if flow is None:
            flow = {"iss": self.world.rng.randrange(1 << 32), "open": False, "rcv": (packet.seq + 1) & 0xFFFFFFFF,
                    "echo": packet.echo, "timer": None, "tries": 0, "unacked": 0, "queue": [], "pending": b"",
                    "seen": {}, "client_fin": False, "opened_by": via, "syn_at": self.world.now()}
            flow["snd"] = (flow["iss"] + 1) & 0xFFFFFFFF
            flow["sent"] = flow["snd"]
            flow["out"] = []  # unacknowledged packets: (seq, data, flags)
            self.flows[key] = flow
        flow["echo"] = packet.echo
        if not flow["open"]:
            self.send_syn_ack(key, flow)

    def send_syn_ack(self, key, flow):
        if not self.alive or self.flows.get(key) is not flow or flow["open"]:
            return
        self.send(key, flow, SYN | ACK, flow["iss"], flow["rcv"])
        if flow["timer"]:
            flow["timer"].cancel()
            flow["timer"] = None
        if flow["tries"] < self.world.opening_retries:
            delay = min(RETRY_MAX, RETRY_MIN * 2 ** flow["tries"])
            flow["tries"] += 1
            flow["timer"] = self.world.loop.call_later(delay, self.send_syn_ack, key, flow)
        else:
            self.flows.pop(key, None)

    def reset(self, key, packet):
        self.world.backend_reset(self, key)
        self.send(key, {"echo": packet.echo}, RST, packet.ack, (packet.seq + len(packet.data)) & 0xFFFFFFFF)

    def handle_packet(self, key, flow, packet, via):
        if not flow["open"]:
            if packet.ack != (flow["iss"] + 1) & 0xFFFFFFFF:
                # It acknowledges another backend's answer: for this backend it belongs to a flow
                # that it does not hold.
                if not self.world.ignore_mismatch:
                    self.drop(key)
                    self.reset(key, packet)
                return
            flow["open"] = True
            flow["tries"] = 0
            if flow["timer"]:
                flow["timer"].cancel()
                flow["timer"] = None
            self.world.opened(self, key, flow)
        flow["echo"] = packet.echo
        while flow["out"] and not after((flow["out"][0][0] + max(1, len(flow["out"][0][1]))) & 0xFFFFFFFF, packet.ack):
            flow["out"].pop(0)
            flow["tries"] = 0
        if flow["timer"] and not flow["out"]:
            flow["timer"].cancel()
            flow["timer"] = None
        self.push(key, flow)
        if packet.data:
            if packet.seq == flow["rcv"]:
                flow["rcv"] = (flow["rcv"] + len(packet.data)) & 0xFFFFFFFF
                flow["pending"] += packet.data
                while flow["rcv"] in flow["seen"]:
                    data = flow["seen"].pop(flow["rcv"])
                    flow["rcv"] = (flow["rcv"] + len(data)) & 0xFFFFFFFF
                    flow["pending"] += data
                self.parse(key, flow)
            elif after(packet.seq, flow["rcv"]):
                flow["seen"][packet.seq] = packet.data
            self.send(key, flow, ACK, flow["snd"], flow["rcv"])
        if packet.flags & FIN and packet.seq == flow["rcv"]:
            flow["rcv"] = (flow["rcv"] + 1) & 0xFFFFFFFF
            self.send(key, flow, FIN | ACK, flow["snd"], flow["rcv"])
            self.world.closed(key)
            self.ended.add(key)
            self.drop(key)

    def parse(self, key, flow):
        while True:
            head, mark, rest = flow["pending"].partition(b"\r\n\r\n")
            if not mark:
                return
            fields = dict(l.split(": ", 1) for l in head.decode().split("\r\n")[1:])
            length = int(fields.get("Content-Length", 0))
            if len(rest) < length:
                return
            flow["pending"] = rest[length:]
            request = fields["Tanagerproxy-Attempt-Id"]
            self.world.run(self, key, request)
            work = self.work_ms / 1000 * (0.5 + self.world.rng.random())
            self.world.loop.call_later(work, self.answer, key, flow, request)

    def answer(self, key, flow, request):
        if not self.alive or self.flows.get(key) is not flow:
            return
        body = (f"answer to {request} by {self.service}\n".encode() * 200)[:2000]
        close = "Connection: close\r\n" if self.state == "draining" else ""
        head = (f"HTTP/1.1 200 OK\r\nTanagerproxy-Response-Signature: {self.service}\r\n{close}"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        data = head + body
        for at in range(0, len(data), DATA_LIMIT):
            flow["queue"].append(data[at:at + DATA_LIMIT])
        self.push(key, flow)

    def push(self, key, flow):
        while flow["queue"] and len(flow["out"]) < WINDOW:
            data = flow["queue"].pop(0)
            flow["out"].append((flow["snd"], data))
            self.send(key, flow, ACK, flow["snd"], flow["rcv"], data)
            flow["snd"] = (flow["snd"] + len(data)) & 0xFFFFFFFF
        if flow["out"] and not flow["timer"]:
            self.arm(key, flow)

    def arm(self, key, flow):
        delay = min(RETRY_MAX, RETRY_MIN * 2 ** flow["tries"])
        flow["timer"] = self.world.loop.call_later(delay, self.retransmit, key, flow)

    def retransmit(self, key, flow):
        flow["timer"] = None
        if not self.alive or self.flows.get(key) is not flow or not flow["out"]:
            return
        if flow["tries"] >= BACKEND_RETRIES:
            self.world.gave_up(key)
            self.flows.pop(key, None)
            return
        flow["tries"] += 1
        seq, data = flow["out"][0]
        self.send(key, flow, ACK, seq, flow["rcv"], data)
        self.arm(key, flow)

    def send(self, key, flow, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, flow["echo"], data)
        links = self.world.links
        if not links.lost():
            self.world.loop.call_later(links.jitter(links.client_ms), self.transmit, packet.encode(), src)

    def transmit(self, raw, ip):
        if not self.transport.is_closing():
            self.transport.sendto(raw, (ip, self.world.ports["datagram"]))


class ClientHost:
    """A client's address with one socket for all its flows."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows = {}
        self.next_port = 20_000

    async def start(self):
        self.transport = await bind(self.ip, self.world.ports["datagram"], self.receive)

    def receive(self, raw, addr):
        packet = Packet.decode(raw)
        if packet and packet.dst == self.ip:
            flow = self.flows.get(packet.dport)
            if flow and (packet.src, packet.sport) == flow.service:
                flow.receive(packet, addr[0])

    def send(self, packet, node=None):
        links = self.world.links
        if not links.lost():
            self.world.loop.call_later(links.jitter(links.client_ms), self.forward, packet, node)

    def forward(self, packet, node):
        flow = f"{packet.src}:{packet.sport}>{packet.dst}:{packet.dport}"
        node = node or self.world.router.route(self.zone, flow)
        self.transport.sendto(packet.encode(), (node, self.world.ports["datagram"]))


class Flow:
    """The client's end of one flow. Requests follow one another on it."""

    def __init__(self, host, service, node=None):
        self.host, self.world, self.service, self.node = host, host.world, service, node
        self.port = host.next_port
        host.next_port += 1
        if host.next_port >= 60_000:
            host.next_port = 20_000
        host.flows[self.port] = self
        self.key = (host.ip, self.port, *service)
        self.seq = self.world.rng.randrange(1 << 32)
        self.echo, self.rcv, self.open = 0, 0, False
        self.buffer, self.early, self.unacked = b"", {}, 0
        self.event = asyncio.Event()
        self.ended = None
        self.acked = self.seq
        self.ack_timer = None
        self.opened_at = None

    def packet(self, flags, seq, ack, data=b""):
        echo = 0 if flags & SYN else self.echo
        return Packet(self.host.ip, self.port, *self.service, flags, seq, ack, echo, data)

    def send(self, flags, seq, ack, data=b""):
        if flags & SYN:
            self.world.syn_sent(self.key, ack)
        self.host.send(self.packet(flags, seq, ack, data), self.node)

    def receive(self, packet, sender):
        own = packet.sum == 0 and packet.flags == RST and not packet.data
        if not own and not packet.valid():
            self.world.record.broke("MIXED", f"the client of {self.key} got a changed packet")
            return
        if packet.flags & RST:
            if own and self.open and ((packet.seq - self.rcv + RESET_WINDOW) & 0xFFFFFFFF) > 2 * RESET_WINDOW:
                return
            self.ended = "reset by an instance" if own else "reset by a backend"
            self.world.client_reset(self, own, sender)
            self.event.set()
            return
        # "The last echo that they received on a flow."
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.open:
                self.open = True
                self.rcv = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.acked = self.seq
                self.opened_at = self.world.now()
                self.event.set()
            return
        if not self.open:
            return
        if after(packet.ack, self.acked):
            self.acked = packet.ack
        if packet.data:
            in_order = packet.seq == self.rcv
            if in_order:
                self.take(packet.data)
                while self.rcv in self.early:
                    self.take(self.early.pop(self.rcv))
            elif after(packet.seq, self.rcv):
                self.early[packet.seq] = packet.data
            self.unacked += 1
            if self.unacked >= 2 or not in_order:
                self.send_ack()
            elif not self.ack_timer:
                self.ack_timer = self.world.loop.call_later(0.04, self.send_ack)
        self.event.set()

    def take(self, data):
        self.buffer += data
        self.rcv = (self.rcv + len(data)) & 0xFFFFFFFF

    def send_ack(self):
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None
        self.unacked = 0
        if not self.ended:
            self.send(ACK, self.seq, self.rcv)

    async def wait(self, until):
        self.event.clear()
        left = until - self.world.loop.time()
        if left > 0:
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def connect(self):
        """Opens the flow. Returns True, or the reason why it did not open."""
        start = self.world.loop.time()
        self.started = start
        iss = self.seq
        for count, until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, iss, count)
            while self.world.loop.time() < start + until and not self.open and not self.ended:
                await self.wait(start + until)
            if self.open or self.ended:
                break
        if self.open and not self.ended:
            return True
        self.ended = self.ended or "never opened"
        return self.ended

    async def request(self, name, deadline_s, body=b"", method="GET"):
        """Sends a request and waits for its whole answer. Returns 'answered' or the failure."""
        text = (f"{method} /x HTTP/1.1\r\nHost: x\r\nTanagerproxy-Attempt-Id: {name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.world.sent(self, name)
        chunks = [text[at:at + DATA_LIMIT] for at in range(0, len(text), DATA_LIMIT)]
        starts = []
        for chunk in chunks:
            starts.append(self.seq)
            self.seq = (self.seq + len(chunk)) & 0xFFFFFFFF
        end = self.seq
        deadline = self.world.loop.time() + deadline_s
        interval = RETRY_MIN
        for start, chunk in zip(starts, chunks):
            self.send(ACK, start, self.rcv, chunk)
        again = self.world.loop.time() + interval
        while self.world.loop.time() < deadline and not self.ended:
            answer = self.take_answer()
            if answer is not None:
                self.send_ack()
                return self.check_answer(name, *answer)
            if self.world.loop.time() >= again:
                interval = min(RETRY_MAX, interval * 2)
                again = self.world.loop.time() + interval
                for start, chunk in zip(starts, chunks):
                    if after((start + len(chunk)) & 0xFFFFFFFF, self.acked):
                        self.send(ACK, start, self.rcv, chunk)
            await self.wait(min(deadline, again))
        answer = self.take_answer()
        if answer is not None and not self.ended:
            return self.check_answer(name, *answer)
        return self.ended or "deadline"

    def take_answer(self):
        head, mark, rest = self.buffer.partition(b"\r\n\r\n")
        if not mark:
            return None
        fields = dict(l.split(": ", 1) for l in head.decode().split("\r\n")[1:])
        length = int(fields["Content-Length"])
        if len(rest) < length:
            return None
        self.buffer = rest[length:]
        self.closing = fields.get("Connection") == "close"
        return fields, rest[:length]

    def check_answer(self, name, fields, body):
        text = body.decode()
        if f"answer to {name} by" not in text or len(body) != 2000:
            self.world.record.broke("MIXED", f"request {name} got another answer")
        self.world.answered(self, name, fields["Tanagerproxy-Response-Signature"])
        return "answered"

    def close(self):
        if self.open and not self.ended:
            self.send(FIN | ACK, self.seq, self.rcv)
            self.world.client_closed(self)
        self.forget()

    def forget(self):
        if self.ack_timer:
            self.ack_timer.cancel()
            self.ack_timer = None
        self.ended = self.ended or "closed"
        if self.host.flows.get(self.port) is self:
            del self.host.flows[self.port]
