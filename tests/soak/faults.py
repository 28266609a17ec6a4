"""What goes wrong in a run. Each fault begins, lasts and is undone."""

import asyncio
import signal
import time

import ledger as ledgers
import platform_wire as wire
from endpoint import Endpoint
from fleet import HEARTBEATS_MISSED_S, REUSE_AFTER_S, ZONES
from proxy import Proxy
from store import Store

SHORTEST_S, LONGEST_S = 0.3, 3.0
LAPSED_S = 1.8


def draw_time(random):
    return random.uniform(SHORTEST_S, LONGEST_S)


async def pause_gateway(fleet, random):
    gateway = random.choice(fleet.gateways)
    with fleet.ledger.disturbing(gateway.name):
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(draw_time(random))
        gateway.send_signal(signal.SIGCONT)


async def restart_gateway(fleet, random, number):
    gateway = random.choice(fleet.gateways)
    if gateway.is_stopping:
        return
    with fleet.ledger.disturbing(gateway.name):
        gateway.send_signal(signal.SIGCONT)
        await gateway.stop(number)
        await asyncio.sleep(random.uniform(0, 1.5))
        await gateway.start()
        await asyncio.sleep(1)


async def kill_gateway(fleet, random):
    await restart_gateway(fleet, random, signal.SIGKILL)


async def terminate_gateway(fleet, random):
    await restart_gateway(fleet, random, signal.SIGTERM)


async def reload_gateways(fleet, random):
    for _ in range(random.randint(1, 4)):
        random.choice(fleet.gateways).send_signal(signal.SIGHUP)
        await asyncio.sleep(random.uniform(0, 0.2))


async def disturb_store_link(fleet, random):
    gateway = random.choice(fleet.gateways)
    with fleet.ledger.disturbing(gateway.name):
        gateway.store_link.set_mode(random.choice(Proxy.MODES))
        await asyncio.sleep(draw_time(random))
        gateway.store_link.set_mode("pass")


async def disturb_front_link(fleet, random):
    gateway = random.choice(fleet.gateways)
    with fleet.ledger.disturbing("front-" + gateway.name):
        gateway.front_link.set_mode(random.choice(Proxy.MODES))
        await asyncio.sleep(draw_time(random))
        gateway.front_link.set_mode("pass")
        await asyncio.sleep(0.3)


async def disturb_endpoint_link(fleet, random):
    slot = random.choice(fleet.slots)
    slot.link.set_mode(random.choice(Proxy.MODES))
    await asyncio.sleep(draw_time(random))
    slot.link.set_mode("pass")


async def disturb_endpoint(fleet, random):
    endpoint = random.choice(fleet.slots).endpoint
    endpoint.mode = random.choice(Endpoint.MODES)
    await asyncio.sleep(draw_time(random))
    endpoint.mode = "pass"


async def disturb_store(fleet, random):
    with fleet.ledger.disturbing("store"):
        fleet.store.set_mode(random.choice(Store.MODES))
        await asyncio.sleep(draw_time(random))
        fleet.store.set_mode("pass")


async def lapse_endpoints(fleet, random):
    """The store is away, drops entries, and they come back after it."""
    with fleet.ledger.disturbing("store"):
        fleet.store.set_mode("unavailable")
        await asyncio.sleep(draw_time(random))
        lapsed = [slot.endpoint for slot in fleet.slots
                  if random.random() < 0.5 and not slot.endpoint.is_draining]
        for endpoint in lapsed:
            fleet.store.remove(wire.ENDPOINTS, endpoint.name)
        fleet.store.set_mode("pass")
        await asyncio.sleep(random.uniform(0.1, LAPSED_S))
        for slot in fleet.slots:
            if slot.endpoint in lapsed:
                slot.register()


async def forget_history(fleet, random):
    for _ in range(random.randint(1, 3)):
        fleet.store.forget_history()
        await asyncio.sleep(random.uniform(0, 0.5))


async def crash_endpoint(fleet, random):
    slot = random.choice(fleet.slots)
    if slot.endpoint.is_draining:
        return
    slot.endpoint.is_draining = True
    slot.endpoint.stop()
    await asyncio.sleep(HEARTBEATS_MISSED_S)
    slot.deregister()
    await asyncio.sleep(REUSE_AFTER_S)
    await slot.start()


async def replace_endpoint(fleet, random):
    """Leaves after the drain bound, with or without saying so before."""
    slot = random.choice(fleet.slots)
    endpoint = slot.endpoint
    if endpoint.is_draining:
        return
    endpoint.is_draining = True
    if random.random() < 0.7:
        slot.register()
    else:
        slot.deregister()
    fleet.ledger.draining_since[endpoint.name] = time.monotonic()
    await asyncio.sleep(ledgers.DRAIN_S + 0.7)
    endpoint.stop()
    slot.deregister()
    await asyncio.sleep(REUSE_AFTER_S)
    await slot.start()


async def change_configuration(fleet, random):
    for _ in range(random.randint(1, 3)):
        fleet.write_configuration()
        await asyncio.sleep(random.uniform(0, 0.4))


async def revoke_key(fleet, random):
    fleet.revoke_oldest_key()
    await asyncio.sleep(draw_time(random))


async def evacuate_zone(fleet, random):
    if fleet.ledger.evacuated and fleet.ledger.evacuated[-1][2] is None:
        return
    zone = random.choice(ZONES)
    fleet.store.put(wire.EVACUATIONS, zone, {})
    begun = time.monotonic()
    fleet.ledger.evacuated.append((zone, begun, None))
    await asyncio.sleep(ledgers.EVACUATE_S + draw_time(random))
    fleet.ledger.evacuated[-1] = (zone, begun, time.monotonic())
    fleet.store.remove(wire.EVACUATIONS, zone)


FAULTS = (pause_gateway, kill_gateway, terminate_gateway, reload_gateways,
          disturb_store_link, disturb_front_link, disturb_endpoint_link,
          disturb_endpoint, disturb_store, lapse_endpoints, forget_history,
          crash_endpoint, replace_endpoint, change_configuration, revoke_key,
          evacuate_zone)
