"""Instances freeze and wake, one at a time. One that wakes reads an old opening and answers another
instance's question about that flow, which sends a packet of the open flow to a wrong backend."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from net import Flow  # noqa: E402
from world import BOUNDS, World, ZONES, main  # noqa: E402

ORDERS = ("127.1.0.1", 8080)
# 2.6 times the 84 requests a second of the site, as in its bursts.
USERS = 210
PLAY_S = float(os.environ.get("PLAY_S", "102"))
# Time between the starts of two freezes, and how long one lasts (site: at most 3.5 s).
STEP_S, FREEZE_S = 2.4, 1.4
# The request has two packets (site: 900 bytes on average, 5,400 at most).
BODY = b"x" * 1300


class Case(World):
    requests = 0

    async def play(self):
        self.disturbed = {}  # address of an instance -> end of its last freeze
        for zone, count in zip(ZONES, (5, 5, 4)):
            for _ in range(count):
                await self.add_backend("buzz", zone, 39.0)
        self.configure([self.route(*ORDERS, "buzz", kind="non_idempotent", timeout=2000, aim=200, priority=1)])
        await self.add_hosts(4)
        await self.start_instances()
        end = self.loop.time() + PLAY_S
        users = [asyncio.ensure_future(self.user(self.hosts[i % len(self.hosts)], end)) for i in range(USERS)]
        await asyncio.sleep(5)
        turn = 0
        while self.loop.time() < end - 6:
            if self.trouble:
                await self.freeze(self.instances[turn % len(self.instances)])
            await asyncio.sleep(STEP_S - (FREEZE_S if self.trouble else 0))
            turn += 3
        await asyncio.gather(*users)

    async def freeze(self, instance):
        self.disturbed[instance.ip] = float("inf")
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        instance.signal(signal.SIGCONT)
        self.disturbed[instance.ip] = self.now()

    def in_touch(self, ip):
        return self.now() - self.disturbed.get(ip, -1e9) >= BOUNDS["settle_window_ms"] / 1000

    def client_reset(self, flow, own, sender):
        """A reset counts only if the instances that had a part in it are in touch."""
        state = self.state(flow.key)
        takers = [sender] if own else [via for _, _, via, _ in state["others"]]
        if takers and not any(self.in_touch(ip) for ip in takers):
            self.record.line(f"flow {flow.key}: reset through instances that are not in touch, which is allowed")
            state["done"] = True
        super().client_reset(flow, own, sender)

    async def user(self, host, end):
        await asyncio.sleep(self.rng.random())
        while self.loop.time() < end - 4:
            flow = Flow(host, ORDERS)
            if await flow.connect() is True:
                self.requests += 1
                name = f"q{self.requests}"
                result = await flow.request(name, 2.0, BODY, "POST")
                if result != "answered":
                    self.record.count(f"ended: {result}")
                    self.record.line(f"request {name} on {flow.key} not answered: {result}")
                flow.close()
            else:
                self.record.count("not opened")
                flow.forget()
            await asyncio.sleep(self.rng.expovariate(1 / 0.9))


if __name__ == "__main__":
    sys.exit(main(Case, 118))
