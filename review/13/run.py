"""A rolling restart of the instance through which a flow was opened, before its first request. See claim.txt."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import rig as stand_ins  # noqa: E402
from rig import Backend, Client, now  # noqa: E402

ROUTE = ("127.0.70.1", 8443)
# A backend that has just started is slow: it answers a SYN after this time.
SLOW_SYN_S = 0.12
FLOWS = 12
FLOW_REORDER_S = 2.0
# The platform takes a machine out of rotation after two missed checks, half a second apart.
CHECK_S = 0.5


class SlowBackend(Backend):
    """Answers SYNs late, and repeats each answer that is not acknowledged after 200 ms, doubling up to 1.6 s, eight times.
    A packet that acknowledges another backend's answer is ignored, but its echo is the last one received."""

    def open(self, key, flow, packet):
        if flow is None:
            self.rig.tasks.append(asyncio.ensure_future(self.answer_late(key, packet)))

    async def answer_late(self, key, packet):
        await asyncio.sleep(SLOW_SYN_S)
        super().open(key, self.flows.get(key), packet)
        pause = 0.2
        for _ in range(8):
            await asyncio.sleep(pause)
            pause = min(2 * pause, 1.6)
            flow = self.flows.get(key)
            if flow is None or flow["open"]:
                return
            self.send(packet, stand_ins.SYN | stand_ins.ACK, flow["seq"], flow["next"], flow["echo"])


async def scenario(rig, trouble):
    slow = SlowBackend(rig, "slow", 0xA1000001, f"127.0.{rig.net}.100", "feed")
    quick = [Backend(rig, f"quick-{i}", 0xA1000010 + i, f"127.0.{rig.net}.{101 + i}", "feed") for i in range(2)]
    for backend in [slow, *quick]:
        await backend.start()
    rig.configure(3, [("feed", *ROUTE, "idempotent", "feed")], [("feed", 2000)])
    for index in range(len(rig.ips)):
        rig.start_instance(index)
    await rig.wait_ready(range(len(rig.ips)))
    await asyncio.sleep(5)

    rotation = [rig.ips[0]]
    ip = f"127.0.{rig.net}.150"
    await rig.add_client(ip)
    clients = [Client(rig, ip, 2000 + i, *ROUTE, lambda: rotation[0]) for i in range(FLOWS)]
    for client in clients:
        if not await client.connect():
            raise RuntimeError("a flow did not open")
    flows = {}
    await asyncio.sleep(0.5)
    for client in clients:
        key = (ip, client.sport, *ROUTE)
        owner = [b for b in [slow, *quick] if b.flows.get(key, {}).get("open")]
        half = [b for b in [slow, *quick] if key in b.flows and not b.flows[key]["open"]]
        rig.record(f"flow {client.sport} is open at {[b.name for b in owner]}, half-open at {[b.name for b in half]}")
        if len(owner) == 1:
            flows[client] = owner[0]
    if trouble:
        rig.record("rolling restart: SIGTERM to edge-1")
        rig.processes[0].send_signal(signal.SIGTERM)
        misses = 0
        while misses < 2:
            await asyncio.sleep(CHECK_S)
            misses = 0 if await rig.is_ready(0) else misses + 1
        rotation[0] = rig.ips[1]
        rig.record("edge-1 is out of rotation, its flows go through edge-2")
        while rig.processes[0].poll() is None:
            await asyncio.sleep(0.05)
        rig.record(f"edge-1 ended with {rig.processes[0].returncode}")
        rig.start_instance(0)
    else:
        await asyncio.sleep(3.5)
    seen = {client: {} for client in flows}

    def count(backend):
        receive = backend.receive

        def counted(raw):
            packet = stand_ins.Packet(raw[8:])
            for client in flows:
                if packet.sport == client.sport and int.from_bytes(raw[:8], "big") == backend.number:
                    seen[client].setdefault(backend.name, []).append(now())
            receive(raw)
        backend.transport.get_protocol().handle = counted

    for backend in [slow, *quick]:
        count(backend)
    broken = 0
    await asyncio.gather(*(client.request(f"first-{client.sport}", 4) for client in flows))
    for client, owner in flows.items():
        others = sorted(t for name, times in seen[client].items() if name != owner.name for t in times)
        own = seen[client].get(owner.name, [])
        rig.record(f"flow {client.sport} of {owner.name}: {len(own)} packets reached it, {len(others)} reached others;"
                   f" reset by {client.reset}")
        strayed = any(sum(t <= u < t + FLOW_REORDER_S for u in others) >= 3
                      and not any(t <= u < t + FLOW_REORDER_S for u in own) for t in others)
        broken += strayed or client.reset is not None
    rig.record(f"{broken} of {len(flows)} flows strayed or were reset")
    return broken > 0


stand_ins.run(scenario, FOLDER, instances=3, net=63)
