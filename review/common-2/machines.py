"""A stand-in of the calls about machines, with orders that are carried out late."""

import asyncio
import time

from http_stub import Answer, Call, Server
from stand_ins import Minion, Record

ANSWER_SECONDS = 0.004


class Machines:
    """The platform's machines; each runs one minion at a time."""

    def __init__(self, record: Record, maintenance_seconds: float):
        self.record = record
        self.maintenance = maintenance_seconds
        self.minions: dict[str, Minion] = {}
        self.states: dict[str, str] = {}
        # The wave for which each machine had its latest upkeep.
        self.latest_waves: dict[str, int] = {}
        # The highest generation number that each machine has seen.
        self.fences: dict[str, int] = {}
        self.begun: dict[tuple[str, int], float] = {}
        # Machines that each wave asks for.
        self.waves: dict[int, dict] = {}
        # How many of the next orders get no answer and are carried out late.
        self.late_orders = 0
        self.late_seconds = 0.0
        self.tasks: set[asyncio.Task] = set()
        # (time, machine, wave, machines of the wave that were down) of each upkeep.
        self.upkeeps: list[tuple[float, str, int, list[str]]] = []
        self.orders = 0
        self.server = Server(self.handle)

    def add(self, machine: str, minion: Minion):
        """Add a machine that is up."""
        self.minions[machine] = minion
        self.states[machine] = "up"

    async def handle(self, call: Call) -> Answer:
        """Answer a call."""
        if call.path == "/-/machines":
            await asyncio.sleep(ANSWER_SECONDS)
            return Answer(200, {"machines": self._listed(), "nextPageToken": None})
        if call.path == "/-/machine-upkeep":
            body = call.json()
            token = int(call.headers.get("zinniatrestle-fencing-token", "0"))
            holder = call.headers.get("zinniatrestle-lease-holder", "")
            machine, wave = body["machine"], body["wave"]
            self.orders += 1
            if self.late_orders:
                self.late_orders -= 1
                self.record.write(
                    "order", machine=machine, holder=holder, fence=token, answer="none"
                )
                self._later(machine, wave, holder, token)
                return Answer(0)
            answer = self.upkeep(machine, wave, holder, token)
            self.record.write(
                "order",
                machine=machine,
                holder=holder,
                fence=token,
                answer=f"{answer.status}:{(answer.body or {}).get('reason', '')}",
            )
            return answer
        return Answer(404)

    def _later(self, *order):
        async def carry_out():
            await asyncio.sleep(self.late_seconds)
            answer = self.upkeep(*order)
            self.record.write("late-order", machine=order[0], status=answer.status)

        task = asyncio.create_task(carry_out())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _listed(self) -> list[dict]:
        listed = []
        for machine, minion in self.minions.items():
            entry = {
                "machine": machine,
                "pool": minion.entry["service"],
                "state": self._state(machine),
                "zone": minion.entry["zone"],
                "labels": minion.entry["labels"],
                "capacity": minion.entry["capacity"],
            }
            if minion.alive:
                entry["id"] = minion.id
            listed.append(entry)
        return listed

    def _state(self, machine: str) -> str:
        """Return a machine's state; one whose minion has crashed is down."""
        state = self.states[machine]
        if state == "up" and not self.minions[machine].alive:
            return "down"
        return state

    def upkeep(self, machine: str, wave: int, holder: str, token: int) -> Answer:
        """Begin a machine's upkeep; everything that runs there ends."""
        if machine not in self.minions:
            return Answer(400, {})
        if token < self.fences.get(machine, 0):
            return Answer(409, {"reason": "fence"})
        self.fences[machine] = token
        if machine not in self.waves.get(wave, {}).get("machines", ()):
            return Answer(409, {"reason": "wave"})
        if (machine, wave) in self.begun:
            return Answer(200, {})
        if self.states[machine] != "up" or not self.minions[machine].alive:
            return Answer(409, {"reason": "busy"})
        down = [
            other
            for other in self.waves[wave]["machines"]
            if self.states.get(other) == "upkeep"
            and self.latest_waves.get(other) == wave
        ]
        self.begun[machine, wave] = time.monotonic()
        self.states[machine] = "upkeep"
        self.latest_waves[machine] = wave
        self.upkeeps.append((self.record.now(), machine, wave, down))
        self.record.write(
            "upkeep", machine=machine, wave=wave, holder=holder, fence=token, down=down
        )
        minion = self.minions[machine]
        minion.end(drop_entry=True)
        task = asyncio.create_task(self._return(machine, minion, wave))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return Answer(200, {})

    async def _return(self, machine: str, minion: Minion, wave: int):
        await asyncio.sleep(self.maintenance)
        await minion.begin(f"{minion.id}-{wave}")
        self.states[machine] = "up"
        self.record.write("returned", machine=machine, minion=minion.id)
