"""A small deployment: the store, the routers, backends and clients as stand-ins, and the project's
own programs as separate processes, started as the deploy file says."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from net import BACKEND_RETRIES, Backend, ClientHost, Links, Record, Router
from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PORTS = {"datagram": 8172, "ready": 8167, "control": 8166, "store": 8169, "server": 8080}
ZONES = ["addis-a", "addis-b", "addis-c"]
HEARTBEAT_S = 1.2
BOUNDS = {"settle_window_ms": 4000, "drain_ms": 3000, "config_apply_ms": 3000, "rollback_slack_ms": 250,
          "flow_reorder_ms": 2000, "flow_max_s": 60, "grace_s": 6}
RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not be run; it shows nothing."""


def render(template, fields):
    """Fills a template as DEPLOY.md describes: values, sections over lists and tables."""
    def value(name, scope):
        if name == ".":
            return scope.get(".")
        found = scope
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if part.isdigit() and int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def text(v):
        if v is None:
            return ""
        if isinstance(v, list):
            return ",".join(map(str, v))
        return json.dumps(v) if isinstance(v, (dict, bool)) else str(v)

    def fill(part, scope):
        def section(m):
            entries = value(m.group(1), scope)
            if isinstance(entries, dict):
                pairs = list(entries.items())
            elif isinstance(entries, list):
                pairs = list(enumerate(entries))
            else:
                pairs = [(None, None)] if entries else []
            return "".join(fill(m.group(2), {**scope, "@": k, ".": e}) for k, e in pairs)
        part = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, part, flags=re.S)
        return re.sub(r"\{\{([\w.@]+)\}\}", lambda m: text(scope.get("@") if m.group(1) == "@" else value(m.group(1), scope)), part)

    return fill(template, fields)


class Instance:
    """One process of the project on its own address."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.settings = os.path.join(world.folder, f"{name}.settings")
        self.log = open(os.path.join(world.folder, f"{name}.log"), "ab")
        self.process = None
        self.store_ip = self.ip.replace(".1.", ".4.", 1)

    def write_settings(self, first):
        w = self.world
        fields = {"node_name": self.name, "role": w.role, "machine_class": "edge", "serves": ["edge", "control_plane"],
                  "ip": self.ip, "zone": self.zone, "region": "addis", "internal_port_range": [7720, 7735],
                  "seed_nodes": [f"{i.ip}:{PORTS['control']}" for i in w.seeds()], "bootstrap": first,
                  "in_fault_budget": False, "discovery": "platform", "entry_mode": "bgp_announce",
                  "heartbeat_ms": 1200, "hash_mode": "steady", "forwarding_mode": "echo",
                  "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
                  "zones": {z: "addis" for z in ZONES},
                  "listen_addrs": {"datagram_addr": f"{self.ip}:{PORTS['datagram']}", "ready": f"{self.ip}:{PORTS['ready']}",
                                   "control": f"{self.ip}:{PORTS['control']}"},
                  "limits": {"cpu_share": 0.055, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                             "link_mbps": 1000.0, "disk_mb": 0},
                  "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                  "platform": {"address": f"{self.store_ip}:{PORTS['store']}", "forwarding_mode": "read", "writes_per_s": 400,
                               "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000}}
        with open(os.path.join(ROOT, w.template), encoding="utf-8") as f:
            text = render(f.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)

    def start(self, first=False):
        self.write_settings(first)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["TANAGERPROXY_BOOT"] = self.settings
        self.process = subprocess.Popen(self.world.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.world.record.line(f"instance {self.name} {self.ip} started")

    def signal(self, number):
        self.world.record.line(f"instance {self.name} {self.ip} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, limit):
        end = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def stop_and_start(self):
        """A planned stop: SIGTERM, SIGKILL after grace_s, and the start of a new process."""
        self.signal(signal.SIGTERM)
        if not await self.ended(BOUNDS["grace_s"]):
            self.signal(signal.SIGKILL)
            await self.ended(2)
        await asyncio.sleep(RESTART_S)
        self.start()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class World:
    """The base of a case: the deployment, and the checks of FLOW that all cases share."""

    ignore_mismatch = False
    opening_retries = BACKEND_RETRIES

    def __init__(self, case, seed, per_zone=(3, 3, 2), loss=0.001):
        self.rng = random.Random(seed)
        self.links = Links(seed + 1, loss=loss)
        self.per_zone = per_zone
        self.ports = PORTS
        self.case = case
        self.instances, self.backends, self.hosts = [], [], []
        self.leaving = []  # backends that drain
        self.zone_of = {}
        self.tasks = []
        self.version = 0
        self.backend_count = 0
        self.flows = {}  # key -> the flow's state as backends and clients saw it
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            deploy = tomllib.load(f)
        self.role, role = next(iter(deploy["roles"].items()))
        self.command, self.template = role["run"].split(" "), role["template"]

    def now(self):
        return self.loop.time() - self.epoch

    def seeds(self):
        firsts = {}
        for i in self.instances:
            firsts.setdefault(i.zone, i)
        return list(firsts.values())

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        self.loop = asyncio.get_running_loop()
        self.epoch = self.loop.time()
        self.record = Record(os.path.join(self.case, "record.txt"), self.now)
        self.folder = tempfile.mkdtemp(prefix="review-")
        await self.claim_network()
        self.router = Router(self)
        for z, (zone, count) in enumerate(zip(ZONES, self.per_zone)):
            for n in range(count):
                ip = f"127.{self.net}.1.{10 * z + n + 1}"
                self.zone_of[ip] = zone
                self.instances.append(Instance(self, f"edge-{zone}-{n + 1}", ip, zone))

    async def claim_network(self):
        """Takes a free 127.N.0.0/16 by listening at its store's address."""
        nets = list(range(20, 250))
        random.shuffle(nets)
        for self.net in nets:
            self.store = Store(f"127.{self.net}.4.1", PORTS["store"])
            try:
                await self.store.start()
                return
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    async def add_backend(self, service, zone, work_ms):
        self.backend_count += 1
        index = self.backend_count
        number = self.rng.randrange(1 << 32, 1 << 40)
        backend = Backend(self, number, f"127.{self.net}.3.{index}", PORTS["server"], service, zone, work_ms)
        await backend.start()
        self.zone_of[backend.ip] = zone
        self.backends.append(backend)
        self.store.put(f"servers/{backend.id}", backend.entry())
        return backend

    async def watch_lag(self):
        """Records how late this process handles its events, since that delays all stand-ins."""
        self.lag = 0.0
        while True:
            before = self.loop.time()
            await asyncio.sleep(0.01)
            late = self.loop.time() - before - 0.01
            self.lag = max(self.lag, late)
            if late > 0.03:
                self.record.count("stand-ins late by over 30 ms")

    async def heartbeats(self):
        """Backends write their entries each heartbeat; only the counter changes, unless another
        writer has changed the entry meanwhile."""
        self.beat = asyncio.Event()
        while True:
            self.beat.set()
            self.beat = asyncio.Event()
            for backend in [b for b in self.backends + self.leaving if b.alive]:
                key = f"servers/{backend.id}"
                entry = backend.entry()
                same = False
                if key in self.store.items:
                    try:
                        present = json.loads(self.store.items[key][2])
                        same = {**present, "seq_no": 0} == {**entry, "seq_no": 0} and "seq_no" in present
                    except ValueError:
                        pass
                self.store.put(key, entry, quiet=same)
            await asyncio.sleep(HEARTBEAT_S)

    def configure(self, routes, idle_ms=15_000):
        self.version += self.rng.randrange(1, 5)
        services = sorted({r["service"] for r in routes})
        config = {"config_version": self.version, "routes": routes,
                  "services": [{"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False}
                               for s in services],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                             "idle_timeout_ms": idle_ms}}
        self.store.put("op/config", config)
        self.record.line(f"config {self.version} acknowledged: "
                         + " ".join(f"{r['hostname']}{r['prefix']}={r['service']}" for r in routes))
        return self.now()

    @staticmethod
    def route(ip, port, service, kind="idempotent", timeout=1500, aim=150, priority=2):
        return {"name": f"r-{port}", "hostname": ip, "prefix": f"/{port}/", "route_type": kind, "timeout_ms": timeout,
                "target_latency_ms": aim, "priority": priority, "service": service, "retry_attempts": 2}

    async def add_hosts(self, per_zone):
        for z, zone in enumerate(ZONES):
            for n in range(per_zone):
                host = ClientHost(self, f"127.{self.net}.2.{10 * z + n + 1}", zone)
                await host.start()
                self.hosts.append(host)

    async def start_instances(self):
        for instance in self.instances:
            instance.start(first=True)
        for instance in self.instances:
            self.tasks.append(self.router.add(instance.ip, instance.zone))
        self.tasks.append(asyncio.ensure_future(self.heartbeats()))
        self.tasks.append(asyncio.ensure_future(self.watch_lag()))
        end = self.loop.time() + 15
        while len(self.router.in_rotation()) < len(self.instances):
            if self.loop.time() > end:
                raise CannotRun("the instances are not ready after 15 s")
            await asyncio.sleep(0.05)

    def finish(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
            instance.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.line(f"largest delay of the stand-ins: {getattr(self, 'lag', 0) * 1000:.0f} ms")
        self.record.close()

    # What clients and backends saw.

    def state(self, key):
        return self.flows.setdefault(key, {"backend": None, "resets": set(), "others": [], "told": False, "done": False,
                                           "syns": [], "closed": False})

    def arrival(self, backend, key, packet, via):
        from net import SYN
        state = self.state(key)
        if packet.flags & SYN:
            state["syns"].append((self.now(), backend.id, via, packet.ack))
            return
        owner = state["backend"]
        if owner is None or not owner.alive or state["done"]:
            return
        if backend is owner:
            state["others"].clear()
            return
        state["others"].append((self.now(), backend.id, via, packet.echo))
        if not state["told"]:
            state["told"] = True
            self.record.line(f"flow {key}: a packet for {owner.id} with echo {packet.echo:08x} reached {backend.id} through {via}; "
                             f"its openings: {state['syns']}")
            self.loop.call_later(BOUNDS["flow_reorder_ms"] / 1000, self.check_reorder, key, state)

    def check_reorder(self, key, state):
        state["told"] = False
        owner = state["backend"]
        if len(state["others"]) >= 3 and owner.alive and not state["done"]:
            state["done"] = True
            self.record.broke("FLOW", f"(b) flow {key} of backend {owner.id}: packets reached others and none its own "
                                      f"for 2 s: {state['others']}")

    def opened(self, backend, key, flow):
        state = self.state(key)
        if state["backend"] is None:
            state["backend"], state["opened"] = backend, self.now()
            self.record.line(f"flow {key} opens at {backend.id}")
        self.flow_opened(backend, key)

    def flow_opened(self, backend, key):
        """For the case: a flow has opened at a backend."""

    def syn_sent(self, key, copy):
        self.state(key).setdefault("sent", {})[copy] = self.now()

    def closed(self, key):
        self.state(key)["done"] = True

    def gave_up(self, key):
        self.state(key)["done"] = True

    def client_closed(self, flow):
        self.state(flow.key)["done"] = True

    def backend_reset(self, backend, key):
        self.state(key)["resets"].add(backend.id)
        self.record.line(f"backend {backend.id} resets flow {key}, which it does not hold")

    def client_reset(self, flow, own, sender):
        state = self.state(flow.key)
        owner = state["backend"]
        who = f"the instance at {sender}" if own else f"backend {self.backend_at(sender)}"
        self.record.count("resets by instances" if own else "resets by backends")
        if owner is None or state["done"]:
            self.record.line(f"flow {flow.key}: reset by {who} before it opened")
            return
        state["done"] = True
        age = self.now() - state["opened"]
        if own or owner.ip != sender:
            if owner.alive and age > BOUNDS["flow_max_s"]:
                self.record.line(f"flow {flow.key}: reset by {who} at an age of {age:.1f} s, which is allowed")
            elif owner.alive:
                self.record.broke("FLOW", f"(a) flow {flow.key} of the living backend {owner.id} was reset by {who}; "
                                          f"its openings: {state['syns']}")
        else:
            self.record.line(f"flow {flow.key}: reset by its own backend {owner.id}")

    def backend_at(self, ip):
        return next((b.id for b in self.backends + self.leaving if b.ip == ip), ip)

    def sent(self, flow, name):
        self.record.line(f"request {name} sent on {flow.key}")
        self.record.count("sent")

    def run(self, backend, key, name):
        self.record.line(f"request {name} run by {backend.id} ({backend.service})")
        self.record.count("run")
        runs = self.state(key).setdefault("runs", set())
        if name in runs:
            self.record.broke("UNASKED", f"request {name} ran twice")
        runs.add(name)

    def answered(self, flow, name, service):
        self.record.line(f"request {name} answered by {service}")
        self.record.count("answered")


def main(case_class, seconds):
    """Runs a case. Ends with 1 if a rule was broken, 0 if not, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    seed = int(os.environ.get("SEED", "1"))
    world = case_class(folder, seed)
    world.trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        errors = []
        handle = lambda _, context: errors.append(context)  # noqa: E731
        asyncio.get_running_loop().set_exception_handler(handle)
        try:
            await world.start()
            await asyncio.wait_for(world.play(), seconds)
        finally:
            if hasattr(world, "record"):
                world.finish()
        if errors:
            raise CannotRun(f"a stand-in failed: {errors[0]}")

    try:
        asyncio.run(play())
    except Exception:  # noqa: BLE001, any failure of a stand-in means that the case shows nothing
        print(f"could not run:\n{traceback.format_exc()}")
        return 2
    counts = " ".join(f"{k}={v}" for k, v in sorted(world.record.counts.items()))
    rules = {}
    for rule, _ in world.record.broken:
        rules[rule] = rules.get(rule, 0) + 1
    print(f"{'trouble' if world.trouble else 'no trouble'}, seed {seed}: broken {rules or 'nothing'}; {counts}")
    for rule, text in world.record.broken[:5]:
        print(f"  {rule} {text[:400]}")
    return 1 if world.record.broken else 0
