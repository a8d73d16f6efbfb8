"""TWICE: an order runs on two backend servers.

Some answers of some backend servers have no length and go on for 9 MiB. The
backend server has run the order; the gateway drops the answer at 8 MiB and
sends the same order to the next backend server.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

import harness  # noqa: E402

SERVICE = "tanker-app"
SERVERS = 5
GATEWAYS = 3
ORDERS = 200
ORDERS_PER_S = 40
DEADLINE_MS = 6000
LONG_BYTES = 9 * 1024 * 1024
# Doses of the trouble: 3 of 5 backend servers (0.6), one answer in 20 (0.05),
# for as long as the orders are sent (5 s).
SPOILED_SERVERS = 3
SPOILED_EACH = 20
SPOILED_FIRST = 7


def spoiling(searcher):
    """Every 20th answer has no length and is too long."""
    answers = 0

    async def behave(request, writer):
        nonlocal answers
        answers += 1
        if answers % SPOILED_EACH != SPOILED_FIRST:
            return False
        searcher.bed.record.add(f"server {searcher.id} answers "
                                f"id={request.id} with {LONG_BYTES} bytes")
        head = ["HTTP/1.1 200 OK", "Connection: close"]
        head += [f"{name}: {value}"
                 for name, value in searcher.fields(request.id)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        writer.write(bytes(LONG_BYTES))
        await writer.drain()
        writer.close()
        return True

    return behave


async def case(bed, has_trouble):
    bed.store.put("config", "main", harness.config(
        7, [harness.route("orders", "/orders/", type="non_idempotent",
                          service=SERVICE)],
        [harness.service(SERVICE)]))
    for index in range(SERVERS):
        searcher = await bed.add_searcher(SERVICE, ("widzew", "baluty")
                                          [index % 2], work_s=0.02)
        if has_trouble and index < SPOILED_SERVERS:
            searcher.behave = spoiling(searcher)
    await bed.add_gateways(GATEWAYS)
    orders = []
    for number in range(ORDERS):
        orders.append(asyncio.create_task(bed.send(
            bed.gateways[number % GATEWAYS], "POST", "/orders/1",
            DEADLINE_MS, b"two drums")))
        await asyncio.sleep(1 / ORDERS_PER_S)
    broken = 0
    answered = 0
    for order in orders:
        request_id, answer = await order
        answered += answer.status == 200
        runs = [searcher.id for searcher in bed.searchers
                for _, run_id in searcher.runs if run_id == request_id]
        if len(runs) > 1:
            broken += 1
            bed.record.say(f"order id={request_id} ran {len(runs)} times, on "
                           f"{', '.join(runs)}; its caller got {answer}")
    bed.record.say(f"{ORDERS} orders, {answered} answered with 200, "
                   f"{broken} ran more than once")
    if answered < ORDERS // 2:
        raise harness.NotRun("too few orders were served")
    return broken == 0


harness.run(HERE, case)
