"""A configuration whose new route has a priority above 255: no instance takes it over, nor any later
configuration with that route."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from net import Flow  # noqa: E402
from world import BOUNDS, World, ZONES, main  # noqa: E402

FEED = ("127.1.0.1", 8443)
OLD = ("127.1.0.2", 9000)
NEW = ("127.1.0.2", 9001)
LATER = ("127.1.0.2", 9002)
BOUND_S = BOUNDS["config_apply_ms"] / 1000
PER_S = 20
# VARIANT=name: the new route has an ordinary priority, and its service has a capital letter.
VARIANT = os.environ.get("VARIANT", "priority")


class Case(World):
    requests = 0

    async def play(self):
        for zone, count in zip(ZONES, (5, 5, 4)):
            for _ in range(count):
                await self.add_backend("buzz", zone, 30.0)
        await self.add_hosts(4)
        self.added, self.dropped = {}, {}
        feed = self.route(*FEED, "buzz")
        if VARIANT == "name":
            service = "Buzz" if self.trouble else "buzz-2"
            await self.add_backend(service, ZONES[0], 30.0)
            least = self.route(*NEW, service)
        else:
            least = self.route(*NEW, "buzz", priority=1000 if self.trouble else 3)
        self.configure([feed, self.route(*OLD, "buzz")])
        await self.start_instances()
        end = self.loop.time() + 40
        clients = [asyncio.ensure_future(self.clients(route, end)) for route in (FEED, OLD, NEW, LATER)]
        await asyncio.sleep(8)
        self.added[NEW] = self.dropped[OLD] = self.configure([feed, least])
        await asyncio.sleep(12)
        self.added[LATER] = self.configure([feed, least, self.route(*LATER, "buzz")])
        await asyncio.gather(*clients)

    async def clients(self, service, end):
        tasks = []
        while self.loop.time() < end:
            host = self.hosts[len(tasks) % len(self.hosts)]
            tasks.append(asyncio.ensure_future(self.client(host, service)))
            await asyncio.sleep(self.rng.expovariate(PER_S))
        await asyncio.gather(*tasks)

    async def client(self, host, service):
        flow = Flow(host, service)
        opened = await flow.connect()
        if opened is True:
            self.requests += 1
            result = await flow.request(f"q{self.requests}", 1.5)
            if result != "answered":
                self.record.line(f"request q{self.requests} not answered: {result}")
            flow.close()
            return
        self.record.count("not opened")
        flow.forget()
        late = min(self.state(flow.key)["sent"].values()) - self.added.get(service, float("inf"))
        if opened == "reset by an instance" and late > BOUND_S:
            self.record.broke("CONFIG", f"flow {flow.key} was refused {late:.3f} s after the acknowledgement of the "
                                        f"configuration that adds its route")

    def flow_opened(self, backend, key):
        if key[2:] in self.dropped:
            state = self.state(key)
            taken = next(s for s in state["syns"] if s[1] == backend.id)
            late = state["sent"][taken[3]] - self.dropped[key[2:]]
            if late > BOUND_S:
                self.record.broke("CONFIG", f"flow {key} was opened at {backend.id} by a packet sent {late:.3f} s after the "
                                            f"acknowledgement of the configuration that drops its route")


if __name__ == "__main__":
    sys.exit(main(Case, 118))
