"""Writers and tailers of several VMs on one log with random faults."""

import random

import anyio
import pytest

from fakes import FakeLog
from foxtailbank import ledger_events as ev
from foxtailbank.clock import SystemClock
from foxtailbank.exceptions import LogUnavailable
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.log_tailer import LogTailer, ResyncFailed
from foxtailbank.log_writer import AppendOutcomeUnknown, LogWriter
from foxtailbank.snapshot import digest_of, encode_parts, image_of
from ledger_entries import call, release

VM_COUNT = 3
KEY_COUNT = 12
LONG_MS = 30_000


async def no_snapshot(next_offset):
    raise ResyncFailed()


class Vm:
    def __init__(self, log, name, seed):
        self.name = name
        self.replay = LedgerReplay(ledger=Ledger())
        self.writer = LogWriter(
            log=log,
            stream="ledger",
            incarnation=name,
            clock=SystemClock(),
            rng=random.Random(seed),
            linger_ms=1,
            max_bytes=300,
            attempt_timeout_ms=20,
            backoff_first_ms=1,
            backoff_max_ms=4,
        )
        self.tailer = LogTailer(
            log=log,
            stream="ledger",
            apply=self.replay.apply,
            resync=no_snapshot,
            clock=SystemClock(),
            rng=random.Random(seed),
            max_bytes=500,
            wait_ms=5,
            response_timeout_ms=20,
            backoff_first_ms=1,
            backoff_max_ms=4,
        )
        self.replay.add_listener(
            lambda envelope, events: self.writer.on_applied(
                envelope.incarnation, envelope.sequence, events
            )
        )
        self.won = []

    async def claim(self, key, timeout_ms):
        """Claim a call; release the claim if it is applied after the timeout."""
        try:
            entry = call(self.name, key=key)
            events = await self.writer.append(
                entry, timeout_ms=timeout_ms, on_late=self.release_claims
            )
        except AppendOutcomeUnknown:
            return
        except LogUnavailable:
            return
        if isinstance(events[0], ev.CallClaimWon):
            self.won.append(key)

    def release_claims(self, events):
        for event in events:
            if isinstance(event, ev.CallClaimWon):
                self.writer.submit(release(self.name, event.key))


async def inject_faults(log, rng):
    """Inject log faults repeatedly; leave the log healthy at the end."""
    for _ in range(25):
        fault = rng.randrange(6)
        if fault == 0:
            log.lose_answers = rng.randint(1, 3)
        elif fault == 1:
            log.refuse_appends = rng.randint(1, 3)
        elif fault == 2:
            log.late_copies = rng.randint(1, 3)
        elif fault == 3:
            log.up = False
        elif fault == 4:
            log.hang = True
        await anyio.sleep(rng.random() * 0.006)
        log.up = True
        log.hang = False
        log.land_late()
    log.lose_answers = log.refuse_appends = log.late_copies = 0


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(6))
async def test_each_call_has_one_claimant_and_all_vms_agree(seed):
    log = FakeLog()
    rng = random.Random(seed)
    vms = [Vm(log, f"vm{number}", seed) for number in range(VM_COUNT)]
    async with anyio.create_task_group() as outer:
        for vm in vms:
            outer.start_soon(vm.writer.run)
            outer.start_soon(vm.tailer.run)
        with anyio.fail_after(LONG_MS / 1000):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(inject_faults, log, rng)
                for key in range(KEY_COUNT):
                    for vm in vms:
                        timeout_ms = rng.choice((5, LONG_MS))
                        tasks.start_soon(vm.claim, f"k{key}", timeout_ms)
            while True:
                for vm in vms:
                    await vm.writer.drain()
                end = len(log.records_by_stream["ledger"])
                if all(vm.tailer.next_offset == end for vm in vms):
                    break
                await anyio.sleep(0.001)
        outer.cancel_scope.cancel()
    digests = {digest_of(encode_parts(image_of(vm.replay.ledger))) for vm in vms}
    assert len(digests) == 1
    holders = {
        key: state.claimant
        for (_, key), state in vms[0].replay.ledger.calls.calls_by_key.items()
    }
    won = [(key, vm.name) for vm in vms for key in vm.won]
    assert len({key for key, _ in won}) == len(won)
    assert dict(won) == {k: v for k, v in holders.items() if v}
