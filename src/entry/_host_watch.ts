/**
 * Reads the platform's host list from time to time. The list lags and is a hint: it only decides when
 * a worker that ignores epochs may be taken over from a process whose host is gone.
 */
import type { Clock } from '../clock/mod.ts';
import type { Host, Hosts } from '../hosts/mod.ts';

/** What the host list says. */
export interface HostWatch {
  /** For how long the list has not named the address; undefined while it does, or is not known. */
  goneMs(address: string): number | undefined;
  run(signal: AbortSignal): Promise<void>;
}

const readEveryMs = 10_000;

/** Makes the watch; without a host list it knows nothing. */
export function watchHosts({ hosts, clock }: { hosts?: Hosts; clock: Clock }): HostWatch {
  const lastSeen = new Map<string, number>();
  let firstRead: number | undefined;
  let lastRead = -Infinity;
  const note = (list: Host[]) => {
    lastRead = clock.now();
    firstRead ??= lastRead;
    list.forEach(({ address }) => lastSeen.set(address, lastRead));
  };
  return {
    goneMs(address) {
      if (firstRead === undefined || clock.now() - lastRead > 2 * readEveryMs) return undefined;
      const seen = lastSeen.get(address) ?? firstRead;
      return lastSeen.get(address) === lastRead ? undefined : lastRead - seen;
    },
    async run(signal) {
      while (hosts && !signal.aborted) {
        const listed = await hosts.list();
        listed.ifRight(note);
        await clock.sleep(readEveryMs, signal);
      }
    },
  };
}
