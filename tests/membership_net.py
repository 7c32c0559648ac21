"""Simulated network that delivers heartbeats between membership states."""

import heapq
import random

from foxtailbank import heartbeat_writer, membership, peer_codec, vm_list
from foxtailbank import membership_actions as actions
from foxtailbank import peer_messages as pm

STEP_MS = 50
SECRET = b"s" * 32


class SimulatedNetwork:
    """Membership states by VM id, with loss, delay and cut links between them."""

    def __init__(self, zones, *, seed=1, loss=0.0, config=None, seeds=None):
        self.rng = random.Random(seed)
        self.config = config
        self.loss = loss
        self.now_ms = 0
        self.is_cut = lambda sender, recipient: False
        self.paused = set()
        self.events = []
        self.sent_bytes_by_vm_id = {}
        self.encode = False
        self._queue = []
        self._count = 0
        self.state_by_vm_id = {}
        self.zone_by_vm_id = {vm: zone for zone, vms in zones.items() for vm in vms}
        self.zones = tuple(zones)
        contacts = [vms[0] for vms in zones.values()][:seeds]
        for vm_id in self.zone_by_vm_id:
            self.start(vm_id, contacts=contacts)
            if seeds is None:
                self.list_vms(vm_id)

    def start(self, vm_id, *, incarnation=1, contacts=()):
        record = pm.MemberRecord(
            vm_id=vm_id,
            zone=self.zone_by_vm_id[vm_id],
            address=f"{vm_id}:1",
            incarnation=incarnation,
        )
        state = membership.Membership(
            own=record,
            rng=random.Random(f"{vm_id}-{incarnation}"),
            now_ms=self.now_ms,
            config=self.config,
            zones=self.zones,
        )
        for contact in contacts:
            state.add_seed(address=f"{contact}:1")
        self.state_by_vm_id[vm_id] = state
        return state

    def list_vms(self, vm_id, vm_ids=None):
        """Pass the platform's list to a state."""
        vms = [
            vm_list.Vm(
                vm_id=listed_id,
                role=vm_list.VmRole.ENTRY,
                zone=self.zone_by_vm_id[listed_id],
                address=f"{listed_id}:1",
            )
            for listed_id in vm_ids or self.zone_by_vm_id
        ]
        self.execute(
            vm_id, self.state_by_vm_id[vm_id].on_vm_list(vms, now_ms=self.now_ms)
        )

    def stop(self, vm_id):
        del self.state_by_vm_id[vm_id]

    def run(self, duration_ms, until=None):
        """Advance the time; return when the condition first held, or None."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver()
            for vm_id, state in list(self.state_by_vm_id.items()):
                if vm_id not in self.paused and state.next_due_ms() <= self.now_ms:
                    self.execute(vm_id, state.tick(now_ms=self.now_ms))
            if until is not None and until():
                return self.now_ms
        return None

    def execute(self, vm_id, results):
        for action in results:
            if not isinstance(action, actions.SendHeartbeat):
                self.events.append((self.now_ms, vm_id, action))
                continue
            size = heartbeat_writer.size_bytes(action.payload)
            if self.encode:
                datagram = peer_codec.seal_datagram(action.payload, secret=SECRET)
                assert len(datagram) + heartbeat_writer.UDP_HEADER_BYTES <= size
                size = len(datagram) + heartbeat_writer.UDP_HEADER_BYTES
            total = self.sent_bytes_by_vm_id.get(vm_id, 0)
            self.sent_bytes_by_vm_id[vm_id] = total + size
            recipient = action.to.removesuffix(":1")
            if self.rng.random() < self.loss or self.is_cut(vm_id, recipient):
                continue
            self._count += 1
            due_ms = self.now_ms + self.rng.randrange(1, 40)
            entry = (due_ms, self._count, recipient, action.payload)
            heapq.heappush(self._queue, entry)

    def _deliver(self):
        held = []
        while self._queue and self._queue[0][0] <= self.now_ms:
            entry = heapq.heappop(self._queue)
            recipient = entry[2]
            if recipient in self.paused:
                held.append(entry)
            elif recipient in self.state_by_vm_id:
                state = self.state_by_vm_id[recipient]
                self.execute(
                    recipient, state.on_heartbeat(entry[3], now_ms=self.now_ms)
                )
        for entry in held:
            heapq.heappush(self._queue, entry)

    def has_converged(self, vm_ids=None):
        """Return whether all states see exactly these VMs as live."""
        wanted = sorted(vm_ids or self.state_by_vm_id)
        return all(
            sorted(vm.vm_id for vm in state.view.live(now_ms=self.now_ms)) == wanted
            for state in self.state_by_vm_id.values()
        )


def fleet(zone_count, per_zone):
    return {
        f"zone-{z}": [f"vm-{z}-{i}" for i in range(per_zone)] for z in range(zone_count)
    }
