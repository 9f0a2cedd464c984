"""Backends are cut off for 2.6 s. More than `settle_window_ms` after they are back, instances still
reset the flows that were idle meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import net  # noqa: E402
import world  # noqa: E402
from net import Flow  # noqa: E402
from world import BOUNDS, World, ZONES, main  # noqa: E402

FEED = ("127.1.0.1", 8443)
# Users that pause for a second on average, and users that pause for 4 to 11 s.
BUSY, CALM = 290, 120
PLAY_S = float(os.environ.get("PLAY_S", "85"))
# Time between the starts of two cuts, how long one lasts (site: at most 12 s), and how many of the 14
# backends it takes (site: a share of 0.35 at most).
STEP_S, CUT_S, CUT = 9.0, 2.6, 4
# Clients close a flow well before `flow_max_s`.
FLOW_S = 45.0


class Backend(net.Backend):
    cut = False
    back = -1e9  # when its last cut ended

    def receive(self, raw, addr):
        if not self.cut:
            super().receive(raw, addr)

    def transmit(self, raw, ip):
        if not self.cut:
            super().transmit(raw, ip)


world.Backend = Backend


class Case(World):
    requests = 0

    async def play(self):
        for zone, count in zip(ZONES, (5, 5, 4)):
            for _ in range(count):
                await self.add_backend("buzz", zone, 30.0)
        self.configure([self.route(*FEED, "buzz")])
        await self.add_hosts(4)
        await self.start_instances()
        end = self.loop.time() + PLAY_S
        users = [asyncio.ensure_future(self.user(self.hosts[i % len(self.hosts)], end, i < BUSY))
                 for i in range(BUSY + CALM)]
        await asyncio.sleep(8)
        first = 0
        while self.loop.time() < end - 10:
            if self.trouble:
                await self.cut([self.backends[(first + 3 * i) % len(self.backends)] for i in range(CUT)])
            await asyncio.sleep(STEP_S - (CUT_S if self.trouble else 0))
            first += 1
        await asyncio.gather(*users)

    async def cut(self, backends):
        self.record.line("cut off: " + " ".join(b.id for b in backends))
        for backend in backends:
            backend.cut = True
        await asyncio.sleep(CUT_S)
        for backend in backends:
            backend.cut, backend.back = False, self.now()
        self.record.line("back: " + " ".join(b.id for b in backends))

    def client_reset(self, flow, own, sender):
        """A reset counts only if the flow's backend had no disruption in the settle window."""
        state = self.state(flow.key)
        owner = state["backend"]
        if owner and (owner.cut or self.now() - owner.back < BOUNDS["settle_window_ms"] / 1000):
            self.record.line(f"flow {flow.key}: reset within the settle window of its backend, which is allowed")
            state["done"] = True
        elif owner and own:
            self.record.line(f"flow {flow.key}: its backend {owner.id} is back since {self.now() - owner.back:.1f} s")
        super().client_reset(flow, own, sender)

    async def user(self, host, end, busy):
        await asyncio.sleep(self.rng.random() * 5)
        while self.loop.time() < end - 3:
            flow = Flow(host, FEED)
            if await flow.connect() is not True:
                self.record.count("not opened")
                flow.forget()
                continue
            oldest = min(end - 2, self.loop.time() + FLOW_S)
            while self.loop.time() < oldest and not flow.ended:
                self.requests += 1
                name = f"q{self.requests}"
                result = await flow.request(name, 1.5)
                if result != "answered":
                    self.record.count(f"ended: {result}")
                    self.record.line(f"request {name} not answered: {result}")
                    break
                await asyncio.sleep(self.rng.expovariate(1.0) if busy else self.rng.uniform(4, 11))
            flow.close()


if __name__ == "__main__":
    sys.exit(main(Case, 118))
