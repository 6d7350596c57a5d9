"""A small installation of the users' platform on loopback, with real daemons.

The store and the workers are stand-ins in this process; the daemons are processes of
their own. Each worker and each daemon's link to the store has a relay that can cut
connections or stop forwarding on them.
"""

import asyncio
import signal
from pathlib import Path

from bench.processes import ProcessManager, free_port
from standins.fleet_store import FleetStore
from standins.fleet_worker import EVENT_INTERVAL_SECONDS, HEALTH_PATH, FleetWorker
from standins.relay import Relay

__all__ = ["ACCOUNTS", "COLD_RULES", "FleetSite", "HOMES", "REGIONS", "ROUTES"]

ACCOUNTS = {"studio": "key-studio", "printer": "key-printer"}
REVOKED_KEY = "key-revoked"
REVOKE_MILLISECONDS = 4000
DRAIN_MILLISECONDS = 2000
EVACUATE_MILLISECONDS = 3000
GRACE_SECONDS = 8
HOST = "api.example"
MODELS = ("small", "middle", "large")
DESK_SLOTS = 16
# How long the workers of each service are cold, and the requests a second that one of
# them tolerates meanwhile, in the words of the configuration.
COLD_RULES = {
    "engines": {"HealthPath": HEALTH_PATH, "ColdS": 6.0, "ColdPerS": 4.0},
    "desk": {"HealthPath": HEALTH_PATH, "ColdS": 5.0, "ColdPerS": 8.0},
}
# The regions of failure domains, and those that routes and accounts allow. Requests
# have no region left, where a route and an account allow no common one.
REGIONS = {"zone-1": "north", "zone-2": "south", "zone-3": "south"}
HOMES = {"fetch": ("north",), "save": ("north", "south"), "printer": ("south",)}
HEARTBEAT_INTERVAL_SECONDS = 0.6
# A worker that crashed starts again after this time.
WORKER_RESTART_SECONDS = 2.0

ROUTES = {
    "stream": {"Kind": "streaming", "Sizes": list(MODELS), "CanResume": True},
    "fetch": {"Kind": "idempotent"},
    "save": {"Kind": "non_idempotent"},
}


class FleetSite:
    """The store, the workers and the daemons of one run.

    With ``own_links`` each daemon reaches each worker by a relay of its own. Engines
    take ``engine_slots`` requests at once and ``event_seconds`` for each event. With
    ``spread`` each daemon's failure domain has a worker of each service. With ``cold``
    workers are cold after a start. With ``homes`` they and the daemons lie in two
    regions, and some routes and accounts allow only one. The configuration has
    ``added_routes`` that no caller asks for. ``settings`` are further lines of the
    daemons' settings files, and ``limits`` those on clients in the configuration. Each
    daemon may open ``descriptors`` at most, if that is given.
    """

    def __init__(
        self,
        *,
        folder: Path,
        daemons: int = 3,
        variables: dict[str, str] | None = None,
        own_links: bool = False,
        engine_slots: int = 16,
        event_seconds: float = EVENT_INTERVAL_SECONDS,
        spread: bool = False,
        cold: bool = False,
        homes: bool = False,
        added_routes: int = 0,
        settings: dict[str, object] | None = None,
        limits: dict[str, object] | None = None,
        descriptors: int | None = None,
    ):
        self.folder = folder
        self.variables = variables or {}
        self.own_links = own_links
        self.engine_slots = engine_slots
        self.event_seconds = event_seconds
        self.spread = spread
        self.cold = cold
        self.homes = homes
        self.added_routes = added_routes
        self.settings = settings or {}
        self.limits = limits or {}
        self.descriptors = descriptors
        self.store = FleetStore()
        self.process_manager = ProcessManager(folder=folder)
        self.workers: list[FleetWorker] = []
        self.relays: dict[str, Relay] = {}
        self.relay_ports: dict[str, int] = {}
        self.relay_servers: dict[str, asyncio.Server] = {}
        self.crashed: set[str] = set()
        self.restart_tasks: set[asyncio.Task] = set()
        self.daemon_names = [f"daemon-{number}" for number in range(1, daemons + 1)]
        self.ports = {
            name: {listener: free_port() for listener in ("front", "ready", "peer")}
            for name in self.daemon_names
        }
        self.keys = {**ACCOUNTS, "guest": REVOKED_KEY}
        self.version = 0
        self.heartbeat_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start everything without waiting until the daemons are ready."""
        address = await self.store.start()
        numbers = range(1, (len(self.daemon_names) if self.spread else 2) + 1)
        for prefix, service in (("engine", "engines"), ("desk", "desk")):
            for number in numbers:
                zone = f"zone-{number}" if self.spread else "a"
                await self._start_worker(f"{prefix}-{number}", service, zone)
        self.publish_configuration()
        for name in self.daemon_names:
            if self.own_links:
                address = await self._start_own_links(name)
            port = await self._start_relay(
                f"store-{name}", int(address.rpartition(":")[2])
            )
            self._write_settings(name, store_port=port)
            self.start_daemon(name)
        self.heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop all daemons and stand-ins."""
        await asyncio.to_thread(self.process_manager.stop)
        self.heartbeat_task.cancel()
        for task in self.restart_tasks:
            task.cancel()
        for server in self.relay_servers.values():
            server.close()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()

    def start_daemon(self, name: str) -> None:
        """Start one daemon's process."""
        self.process_manager.start(
            name,
            "linnetladder.fleet",
            environment={
                "LINNETLADDER_BOOT": str(self.folder / f"{name}.conf"),
                **self.variables,
            },
            descriptors=self.descriptors,
        )

    async def restart(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a daemon, wait for its exit and start it again."""
        self.process_manager.send(name, signal_number)
        await asyncio.to_thread(self.process_manager.wait, name)
        self.start_daemon(name)

    def publish_configuration(self) -> int:
        """Write the next configuration to the store and return its version number."""
        self.version += 1
        self.store.put("op/config", self._configuration())
        return self.version

    def front_url(self, name: str) -> str:
        """Return the URL at which a daemon accepts clients' requests."""
        return f"http://127.0.0.1:{self.ports[name]['front']}"

    def ready_url(self, name: str) -> str:
        """Return the URL of a daemon's readiness check."""
        return f"http://127.0.0.1:{self.ports[name]['ready']}/-/readyz"

    def add_unstarted_worker(self) -> FleetWorker:
        """Return a worker that belongs to the site but is never started."""
        worker = FleetWorker(name="planted", service="desk", store=self.store)
        self.workers.append(worker)
        return worker

    def runs(self) -> list[dict]:
        """Return the records of all requests that workers ran."""
        return [run for worker in self.workers for run in worker.runs]

    async def _start_own_links(self, daemon: str) -> str:
        """Return the address of the store for a daemon with links of its own."""
        addresses = {}
        for worker in self.workers:
            port = int(worker.address.rpartition(":")[2])
            port = await self._start_relay(f"{worker.name}/{daemon}", port)
            addresses[worker.name] = f"127.0.0.1:{port}"
        return await self.store.start(worker_addresses=addresses)

    def own_links_of(self, daemon: str) -> list[str]:
        """Return the names of a daemon's links to the workers."""
        return [name for name in self.relays if name.endswith(f"/{daemon}")]

    def refuse_connections(self, link: str) -> None:
        """Refuse new connections on a link; open ones live on."""
        self.relay_servers[link].close()

    async def accept_connections(self, link: str) -> None:
        """Accept connections on a link again, which may have been cut."""
        self.relays[link].is_cut = False
        await self._listen(link, self.relay_ports[link])

    def crash_worker(self, name: str) -> None:
        """End a worker's connections and refuse new ones until it starts again.

        Further calls do nothing meanwhile.
        """
        if name in self.crashed:
            return
        self.crashed.add(name)
        self.refuse_connections(name)
        self.relays[name].cut()
        task = asyncio.ensure_future(self._restart_worker(name))
        self.restart_tasks.add(task)
        task.add_done_callback(self.restart_tasks.discard)

    async def _restart_worker(self, name: str) -> None:
        await asyncio.sleep(WORKER_RESTART_SECONDS)
        worker = next(worker for worker in self.workers if worker.name == name)
        await self.accept_connections(name)
        worker.restart(was_unreachable=True)
        self.crashed.discard(name)

    async def _start_worker(self, name: str, service: str, zone: str) -> None:
        worker = FleetWorker(
            name=name,
            service=service,
            store=self.store,
            zone=zone,
            cold_seconds=COLD_RULES[service]["ColdS"] if self.cold else 0.0,
            slots=self.engine_slots if service == "engines" else DESK_SLOTS,
            event_seconds=self.event_seconds,
        )
        await worker.start()
        port = await self._start_relay(name, int(worker.address.rpartition(":")[2]))
        worker.advertised = f"127.0.0.1:{port}"
        worker.on_crash = self.crash_worker
        worker.register()
        self.workers.append(worker)

    async def _start_relay(self, name: str, to_port: int) -> int:
        port = free_port()
        self.relays[name] = Relay(host="127.0.0.1", port=to_port)
        self.relay_ports[name] = port
        await self._listen(name, port)
        return port

    async def _listen(self, name: str, port: int) -> None:
        self.relay_servers[name] = await asyncio.start_server(
            self.relays[name].handle, "127.0.0.1", port
        )

    async def _send_heartbeats(self) -> None:
        while True:
            for worker in self.workers:
                worker.register()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _configuration(self) -> dict:
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "TimeoutMs": 6000,
                "GoalMs": 1000,
                "Attempts": 1 if name == "save" else 3,
                "Service": "engines" if name == "stream" else "desk",
                **fields,
                **self._homes_of(name),
            }
            for name, fields in ROUTES.items()
        ]
        routes += [
            {**routes[0], "Name": f"r-{number:07x}", "PathPrefix": f"/added{number}/"}
            for number in range(self.added_routes)
        ]
        models = [
            {"Name": model, "Cost": cost}
            for model, cost in zip(MODELS, (0.02, 0.16, 0.31), strict=True)
        ]
        return {
            "Version": self.version,
            "Routes": routes,
            "Services": [
                {
                    "Name": "engines",
                    "Engine": {"Slots": self.engine_slots, "Models": models},
                    **(COLD_RULES["engines"] if self.cold else {}),
                },
                {"Name": "desk", **(COLD_RULES["desk"] if self.cold else {})},
            ],
            "Tenants": [
                {"Name": name, "ApiKeys": [key], **self._homes_of(name)}
                for name, key in self.keys.items()
            ],
            "Limits": self.limits,
        }

    def _homes_of(self, name: str) -> dict:
        """Return the field with the regions that a route or an account allows."""
        if not self.homes or name not in HOMES:
            return {}
        return {"AllowedRegions": list(HOMES[name])}

    def _write_settings(self, name: str, *, store_port: int) -> None:
        ports = self.ports[name]
        lines = [
            f"Node={name}",
            f"Zone=zone-{name[-1]}",
            "Ip=127.0.0.1",
            *(
                f"Zones.{zone}={REGIONS[zone] if self.homes else 'here'}"
                for zone in (f"zone-{other[-1]}" for other in self.daemon_names)
            ),
            f"Listen.Front=127.0.0.1:{ports['front']}",
            f"Listen.Ready=127.0.0.1:{ports['ready']}",
            f"PortRange={ports['peer']},{ports['peer']}",
            f"Provider.Address=127.0.0.1:{store_port}",
            f"Bounds.RevokeMs={REVOKE_MILLISECONDS}",
            f"Bounds.DrainMs={DRAIN_MILLISECONDS}",
            f"Bounds.EvacuateMs={EVACUATE_MILLISECONDS}",
            f"Bounds.GraceS={GRACE_SECONDS}",
            *(f"{field}={value}" for field, value in self.settings.items()),
        ]
        (self.folder / f"{name}.conf").write_text("\n".join(lines) + "\n")
