"""Gives a process its share of a core as a quota.

The pages give a machine a share of a core; where it is a quota, the core runs
at full speed until the quota is used up, and then not at all for the rest of
that tenth of a second.
"""

import asyncio
import signal

from standins import vms

PERIOD_S = 0.1
_POLL_S = 0.002


async def limit_processor(vm: vms.Vm, share: float) -> None:
    """Hold a VM's process to its share until cancelled."""
    loop = asyncio.get_running_loop()
    try:
        while vm.status is None:
            ends_at = loop.time() + PERIOD_S
            used = _read_used_s(vm.pid)
            while loop.time() < ends_at:
                if _read_used_s(vm.pid) - used >= share * PERIOD_S:
                    vm.send_signal(signal.SIGSTOP)
                    break
                await asyncio.sleep(_POLL_S)
            await asyncio.sleep(max(0.0, ends_at - loop.time()))
            vm.send_signal(signal.SIGCONT)
    finally:
        vm.send_signal(signal.SIGCONT)


def _read_used_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    try:
        with open(f'/proc/{pid}/schedstat') as file:
            return int(file.read().split()[0]) / 1e9
    except (OSError, ValueError, IndexError):
        return 0.0
