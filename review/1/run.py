"""Rolling restarts while clients hold long flows: an open flow has to stay at its backend."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from net import Flow  # noqa: E402
from world import World, ZONES, main  # noqa: E402

FEED = ("127.1.0.1", 8443)
USERS = 500
PLAY_S = 88.0
GAP_S = 2.0
DEADLINE_S = 1.5


class Case(World):
    requests = 0
    # What a half-open backend does with a packet that does not acknowledge its answer: it resets the
    # flow, or with MISMATCH=ignore it ignores the packet.
    ignore_mismatch = os.environ.get("MISMATCH") == "ignore"
    # How often a backend repeats its answer to an opening that nobody has acknowledged.
    opening_retries = int(os.environ.get("OPENING_RETRIES", "8"))

    async def play(self):
        for zone, count in zip(ZONES, (5, 5, 4)):
            for _ in range(count):
                await self.add_backend("buzz", zone, 30.0)
        self.configure([self.route(*FEED, "buzz")])
        await self.add_hosts(4)
        await self.start_instances()
        end = self.loop.time() + PLAY_S
        users = [asyncio.ensure_future(self.user(self.hosts[i % len(self.hosts)], end)) for i in range(USERS)]
        if self.trouble:
            await asyncio.sleep(5)
            while self.loop.time() < end - 12:
                await self.roll()
        await asyncio.gather(*users)
        self.record.line(f"in rotation at the end: {len(self.router.in_rotation())}")

    async def roll(self):
        """roll_term: all machines, one after the other, each GAP_S."""
        steps = []
        for instance in self.instances:
            steps.append(asyncio.ensure_future(instance.stop_and_start()))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*steps)
        await asyncio.sleep(1.5)

    async def user(self, host, end):
        await asyncio.sleep(self.rng.random() * 5)
        while self.loop.time() < end - 3:
            flow = Flow(host, FEED)
            opened = await flow.connect()
            if opened is not True:
                self.record.count("not opened")
                flow.forget()
                continue
            for _ in range(10):
                self.requests += 1
                name = f"q{self.requests}"
                result = await flow.request(name, DEADLINE_S)
                if result != "answered":
                    self.record.count(f"ended: {result}")
                    self.record.line(f"request {name} not answered: {result}")
                    break
                if self.loop.time() > end - 2:
                    break
                await asyncio.sleep(self.rng.expovariate(1.0))
                if flow.ended:
                    break
            flow.close()


if __name__ == "__main__":
    sys.exit(main(Case, 118))
