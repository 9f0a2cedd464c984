"""Backends that are full lose the flows that they have. See claim.txt."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import rig as stand_ins  # noqa: E402
from rig import Backend, Client  # noqa: E402

ROUTE = ("127.0.70.1", 8443)
BACKENDS = 2
MAX_CONNS = 12
NEW_USERS = 24
# Pause of the users that have a flow, between two requests.
PAUSE_S = 2.0


async def scenario(rig, trouble):
    backends = [Backend(rig, f"feed-{i}", 0xA1000001 + i, f"127.0.{rig.net}.{100 + i}", "feed", max_conns=MAX_CONNS)
                for i in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    rig.configure(3, [("feed", *ROUTE, "idempotent", "feed")], [("feed", MAX_CONNS)])
    for index in range(len(rig.ips)):
        rig.start_instance(index)
    await rig.wait_ready(range(len(rig.ips)))
    await asyncio.sleep(5)
    ip = f"127.0.{rig.net}.150"
    await rig.add_client(ip)

    def through(i):
        return lambda: rig.ips[i % len(rig.ips)]

    users = []
    for i in range(6 * BACKENDS * MAX_CONNS):
        if all(len(b.flows) >= MAX_CONNS for b in backends):
            break
        user = Client(rig, ip, 2000 + i, *ROUTE, through(i))
        if await user.connect() and await user.request(f"first-{user.sport}"):
            users.append(user)
    if not all(len(b.flows) >= MAX_CONNS for b in backends):
        raise RuntimeError("the backends are not full")
    rig.record(f"{len(users)} users hold all flows of the backends")
    await asyncio.sleep(PAUSE_S)
    late = []
    if trouble:
        late = [Client(rig, ip, 4000 + i, *ROUTE, through(i)) for i in range(NEW_USERS)]
        attempts = [asyncio.ensure_future(c.connect()) for c in late]
    await asyncio.sleep(1.2)
    await asyncio.gather(*(u.request(f"second-{u.sport}", 2) for u in users))
    if trouble:
        opened = await asyncio.gather(*attempts)
        rig.record(f"{sum(opened)} of {len(late)} new users have a flow")
    logs = "".join(rig.log_of(i) for i in range(len(rig.ips)))
    rig.record(f"reasons in the logs of the instances: "
               f"target-lost {logs.count('target-lost')}")
    reset = sum(u.reset == "the system" for u in users)
    rig.record(f"{reset} of {len(users)} open flows were reset by the system while their backends served")
    return reset > 0


stand_ins.run(scenario, FOLDER, instances=3, net=62)
