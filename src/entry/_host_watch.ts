/**
 * Polls the platform's host list. The list is delayed and serves only as a hint: it only determines
 * when a worker that ignores epochs may be taken over from a process whose host no longer exists.
 */
import type { Clock } from '../clock/mod.ts';
import type { Host, Hosts } from '../hosts/mod.ts';

/** Reports hosts that are missing from the host list. */
export interface HostWatcher {
  /** How long the address has been missing; undefined if listed, or without a recent list. */
  getAbsenceMs(address: string): number | undefined;
  run(signal: AbortSignal): Promise<void>;
}

const readIntervalMs = 10_000;

/** Makes a host watcher; without `hosts` it reports every address as unknown. */
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
    getAbsenceMs(address) {
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
