/**
 * Reads the platform's host list from time to time. The list lags and is a hint: it only decides when
 * a worker that ignores epochs may be taken over from a process whose host is gone.
 */
import type { Clock } from '../clock/mod.ts';
import type { Host, Hosts } from '../hosts/mod.ts';

/** What the host list says. */
export interface HostWatcher {
  /** For how long the list has not named the address; undefined while it does, or is not known. */
  absentMs(address: string): number | undefined;
  run(signal: AbortSignal): Promise<void>;
}

const readIntervalMs = 10_000;

/** Makes the watch; without a host list it knows nothing. */
export function makeHostWatcher({ hosts, clock }: { hosts?: Hosts; clock: Clock }): HostWatcher {
  const lastSeen = new Map<string, number>();
  let firstReadAt: number | undefined;
  let lastReadAt = -Infinity;
  const recordHosts = (list: Host[]) => {
    lastReadAt = clock.now();
    firstReadAt ??= lastReadAt;
    list.forEach(({ address }) => lastSeen.set(address, lastReadAt));
  };
  return {
    absentMs(address) {
      if (firstReadAt === undefined || clock.now() - lastReadAt > 2 * readIntervalMs)
        return undefined;
      const seenAt = lastSeen.get(address) ?? firstReadAt;
      return lastSeen.get(address) === lastReadAt ? undefined : lastReadAt - seenAt;
    },
    async run(signal) {
      while (hosts && !signal.aborted) {
        const listed = await hosts.list();
        listed.ifRight(recordHosts);
        await clock.sleep(readIntervalMs, signal);
      }
    },
  };
}
