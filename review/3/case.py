"""RECOVER: after all processes were killed, one unreadable entry keeps every
gateway out of service for good.

Another writer's entry for a backend server holds a number that is too large,
which its encoder wrote as Infinity. The gateways reject the store's whole list
for it. Running ones keep what they knew; restarted ones know no backend server
and answer nothing but 503.
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import harness  # noqa: E402

SERVICE = "tanker-app"
SERVERS = 5
GATEWAYS = 6
REQUESTS_PER_S = 25
DEADLINE_MS = 6000
CALM_S = 5.0
DOWN_S = 0.5
RECOVERY_S = 12.0
WATCH_S = 10.0
SERVED_MIN = 0.25

ODD_ENTRIES = {
    "infinity": b'{"service":"tanker-app","address":"%s","zone":"widzew",'
                b'"version":"v1","slots":4,"state":"ready",'
                b'"warmup_left_ms":Infinity,"seq":4,"born":1}',
    # Other bytes that cannot be read: a MessagePack map.
    "bytes": b"\x82\xa7service\xaatanker-app\xa5slots\x04",
}


async def load(bed, seconds):
    """Returns the share of the requests that were served."""
    sent = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sent.append(asyncio.create_task(bed.send(
            bed.gateways[len(sent) % GATEWAYS], "GET", "/record/1",
            DEADLINE_MS)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    answers = [answer for _, answer in await asyncio.gather(*sent)]
    served = sum(answer.status == 200 and
                 harness.field(answer.fields, "x-response-stamp") is not None
                 for answer in answers)
    return served / len(answers)


def write_config(bed, version):
    bed.store.put("config", "main", harness.config(
        version, [harness.route("record", "/record/", service=SERVICE,
                                timeout_ms=6000 + version)],
        [harness.service(SERVICE)]))
    bed.record.say(f"configuration {version} is acknowledged")


async def case(bed, has_trouble):
    write_config(bed, 7)
    for index in range(SERVERS):
        await bed.add_searcher(SERVICE, ("widzew", "baluty")[index % 2])
    await bed.add_gateways(GATEWAYS)
    if has_trouble:
        kind = os.environ.get("ODD", "infinity")
        bed.record.say(f"another writer leaves an odd entry: {kind}")
        raw = ODD_ENTRIES[kind]
        if b"%s" in raw:
            raw %= f"{bed.ip(99)}:8080".encode()
        bed.store.put("servers", "i-odd", None, raw=raw)
    before = await load(bed, CALM_S)
    write_config(bed, 9)
    for gateway in bed.gateways:
        gateway.signal(signal.SIGKILL)
        gateway.process.wait()
    await asyncio.sleep(DOWN_S)
    for gateway in bed.gateways:
        gateway.start()
    bed.record.say("all processes were killed and run again")
    during = await load(bed, RECOVERY_S)
    after = await load(bed, WATCH_S)
    ready = [await gateway.is_ready() for gateway in bed.gateways]
    bed.record.say(f"served before {before:.3f}, in the {RECOVERY_S:.0f} s "
                   f"after the restart {during:.3f}, later {after:.3f}; "
                   f"{sum(ready)} of {GATEWAYS} gateways are ready")
    if before < SERVED_MIN:
        raise harness.NotRun("too few requests were served before")
    return after >= SERVED_MIN


harness.run(HERE, case)
