"""Faults that a run injects. Each coroutine starts a fault, waits and undoes
it."""

import asyncio
import contextlib
import signal
import time

import ledger as ledgers
import platform_wire as wire
from endpoint import Endpoint
from fleet import DEREGISTRATION_DELAY_S, REUSE_DELAY_S, ZONES
from proxy import Proxy
from store import Store

MIN_DURATION_S, MAX_DURATION_S = 0.3, 3.0
MAX_REREGISTRATION_DELAY_S = 1.8
MIN_LIMIT_S, MAX_LIMIT_S = 5.0, 8.0
MIN_RATE, MAX_RATE = 0.5, 5.0  # requests per second
LIMIT_CHANGE_PROBABILITY = 0.4
MAX_TIME_BETWEEN_LIMITS_S = 4.0


def random_duration(random):
    return random.uniform(MIN_DURATION_S, MAX_DURATION_S)


async def pause_gateway(fleet, random):
    gateway = random.choice(fleet.gateways)
    with fleet.ledger.fault_interval(gateway.name):
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random_duration(random))
        gateway.send_signal(signal.SIGCONT)


async def restart_gateway(fleet, random, number):
    gateway = random.choice(fleet.gateways)
    if gateway.is_stopping:
        return
    with fleet.ledger.fault_interval(gateway.name,
                                     is_planned=number == signal.SIGTERM):
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
    with fleet.ledger.fault_interval(gateway.name):
        gateway.store_link.set_mode(random.choice(Proxy.MODES))
        await asyncio.sleep(random_duration(random))
        gateway.store_link.set_mode("pass")


async def cut_leaders_off(fleet, random):
    """Cuts the leaders of all zones off from the store while the configuration
    changes, which the other gateways have to notice."""
    leaders = [min((gateway for gateway in fleet.gateways
                    if gateway.zone == zone), key=lambda item: item.name)
               for zone in ZONES]
    mode = random.choice(Proxy.MODES)
    with contextlib.ExitStack() as intervals:
        for leader in leaders:
            intervals.enter_context(fleet.ledger.fault_interval(leader.name))
            leader.store_link.set_mode(mode)
        await asyncio.sleep(random.uniform(0, 1))
        await change_configuration(fleet, random)
        await asyncio.sleep(ledgers.APPLY_S + random_duration(random))
        for leader in leaders:
            leader.store_link.set_mode("pass")


async def disturb_front_link(fleet, random):
    gateway = random.choice(fleet.gateways)
    with fleet.ledger.fault_interval("front-" + gateway.name):
        gateway.front_link.set_mode(random.choice(Proxy.MODES))
        await asyncio.sleep(random_duration(random))
        gateway.front_link.set_mode("pass")
        await asyncio.sleep(0.3)


async def disturb_endpoint_link(fleet, random):
    slot = random.choice(fleet.slots)
    name = slot.endpoint.name
    with fleet.ledger.fault_interval(name), \
            fleet.ledger.fault_interval("link-" + name):
        slot.link.set_mode(random.choice(Proxy.MODES))
        await asyncio.sleep(random_duration(random))
        slot.link.set_mode("pass")


async def disturb_endpoint(fleet, random):
    endpoint = random.choice(fleet.slots).endpoint
    with fleet.ledger.fault_interval(endpoint.name):
        endpoint.mode = random.choice(Endpoint.MODES)
        await asyncio.sleep(random_duration(random))
        endpoint.mode = "pass"


async def disturb_store(fleet, random):
    with fleet.ledger.fault_interval("store"):
        fleet.store.set_mode(random.choice(Store.MODES))
        await asyncio.sleep(random_duration(random))
        fleet.store.set_mode("pass")


async def lapse_endpoints(fleet, random):
    """Makes the store unavailable and removes endpoint entries meanwhile. The
    endpoints register again after the store has recovered."""
    with fleet.ledger.fault_interval("store"):
        fleet.store.set_mode("unavailable")
        await asyncio.sleep(random_duration(random))
        removed = [slot.endpoint for slot in fleet.slots
                   if random.random() < 0.5 and not slot.endpoint.is_draining]
        for endpoint in removed:
            fleet.store.remove(wire.ENDPOINTS, endpoint.name)
        fleet.store.set_mode("pass")
        await asyncio.sleep(random.uniform(0.1, MAX_REREGISTRATION_DELAY_S))
        for slot in fleet.slots:
            if slot.endpoint in removed:
                slot.register()


async def forget_history(fleet, random):
    for _ in range(random.randint(1, 3)):
        fleet.store.compact_history()
        await asyncio.sleep(random.uniform(0, 0.5))


async def crash_endpoint(fleet, random):
    slot = random.choice(fleet.slots)
    if slot.endpoint.is_draining:
        return
    slot.endpoint.is_draining = True
    with fleet.ledger.fault_interval(slot.endpoint.name):
        slot.endpoint.stop()
        await asyncio.sleep(DEREGISTRATION_DELAY_S)
    slot.deregister()
    await asyncio.sleep(REUSE_DELAY_S)
    await slot.start()


async def replace_endpoint(fleet, random):
    """Replaces an endpoint after the drain bound. It either registers as
    draining first or is deregistered at once."""
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
    with fleet.ledger.fault_interval(endpoint.name):
        endpoint.stop()
        slot.deregister()
        await asyncio.sleep(REUSE_DELAY_S)
    await slot.start()


async def change_configuration(fleet, random):
    for _ in range(random.randint(1, 3)):
        fleet.write_configuration()
        await asyncio.sleep(random.uniform(0, 0.4))


async def revoke_key(fleet, random):
    fleet.revoke_oldest_key()
    await asyncio.sleep(random_duration(random))


async def evacuate_zone(fleet, random):
    if fleet.ledger.evacuated and fleet.ledger.evacuated[-1][2] is None:
        return
    zone = random.choice(ZONES)
    fleet.store.put(wire.EVACUATIONS, zone, {})
    began_at = time.monotonic()
    fleet.ledger.evacuated.append((zone, began_at, None))
    await asyncio.sleep(ledgers.EVACUATE_S + random_duration(random))
    fleet.ledger.evacuated[-1] = (zone, began_at, time.monotonic())
    fleet.store.remove(wire.EVACUATIONS, zone)


async def limit_endpoints(fleet, random):
    """Endpoints of a service name rate limits; some change theirs once."""
    service, share = random.choice(fleet.slots).service, random.uniform(0.3, 1)
    duration_s = random.uniform(MIN_LIMIT_S, MAX_LIMIT_S)
    change_after_s = random.uniform(0, duration_s / 2)
    limited = [slot.endpoint for slot in fleet.slots
               if slot.service == service and random.random() < share]
    for endpoint in limited:
        endpoint.name_limit(random.uniform(MIN_RATE, MAX_RATE))
    await asyncio.sleep(change_after_s)
    for endpoint in limited:
        if random.random() < LIMIT_CHANGE_PROBABILITY:
            endpoint.name_limit(random.uniform(MIN_RATE, MAX_RATE))
    await asyncio.sleep(duration_s - change_after_s)
    for endpoint in limited:
        endpoint.name_limit(None)


async def limit_endpoints_repeatedly(fleet, random, seconds):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        await limit_endpoints(fleet, random)
        await asyncio.sleep(random.uniform(0, MAX_TIME_BETWEEN_LIMITS_S))


FAULTS = (pause_gateway, kill_gateway, terminate_gateway, reload_gateways,
          disturb_store_link, cut_leaders_off, disturb_front_link, disturb_endpoint_link,
          disturb_endpoint, disturb_store, lapse_endpoints, forget_history,
          crash_endpoint, replace_endpoint, change_configuration, revoke_key,
          evacuate_zone)
