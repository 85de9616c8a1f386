/**
 * Spreads calls for tickets over the entry processes.
 *
 * The advice service answers one call at a time for each calling host, so a call that waits behind
 * others may as well not have been made: it is made when a host is free for it, and until then the
 * most urgent step may change. Long calls leave more than half of the hosts to the short ones, of which
 * there are many more.
 */
import type { Clock } from '../clock/mod.ts';
import type { AdviceRequest, Adviser, GrantedTickets } from '../model/mod.ts';

/** Asks the service from one host. */
export type HostAdviser = (host: string, question: AdviceRequest) => ReturnType<Adviser>;

/** A place on a host for one call. */
export interface AdviceSlot {
  host: string;
  expectedMs: number;
}

/** Calls for tickets. */
export interface AdvicePool {
  /**
   * Takes a free place for a call that takes about so long; undefined when there is none. A call that
   * is not urgent gets one only while half of the hosts make no call.
   */
  acquire(expectedMs: number, isUrgent?: boolean): AdviceSlot | undefined;
  /** Makes the call and gives the place back. */
  requestTickets(
    slot: AdviceSlot,
    question: Pick<AdviceRequest, 'step' | 'workers'>,
  ): Promise<GrantedTickets | undefined>;
}

interface HostLoad {
  /** Time that the short calls under way take at the service. */
  shortCallsMs: number;
  /** Long calls under way. */
  longCalls: number;
  /** All calls under way. */
  calls: number;
  backoffUntilMs: number;
}

/** Calls that take longer are long. */
const longCallThresholdMs = 250;
/** Share of the hosts that may make long calls at a time, rounded up. */
const maxLongCallHostShare = 0.4;
/** A host gets further short calls while those under way take less time than this. */
const maxShortCallsMs = 60;
const timeoutFactor = 2;
const timeoutMarginMs = 600;
const failedHostBackoffMs = 1_000;

/**
 * Makes the pool; `hosts` names the entry processes of the moment.
 *
 * @example
 * const slot = pool.take(40);
 * const tickets = slot && (await pool.ask(slot, { step, workers }));
 */
export function makeAdvicePool(options: {
  clock: Clock;
  hosts(): string[];
  askViaHost: HostAdviser;
}): AdvicePool {
  const { clock, hosts, askViaHost } = options;
  const loadsByHost = new Map<string, HostLoad>();

  function getLoad(host: string): HostLoad {
    let load = loadsByHost.get(host);
    if (!load) {
      load = { shortCallsMs: 0, longCalls: 0, calls: 0, backoffUntilMs: 0 };
      loadsByHost.set(host, load);
    }
    return load;
  }

  function availableHosts(): string[] {
    const nowMs = clock.now();
    const all = hosts();
    const available = all.filter((host) => getLoad(host).backoffUntilMs <= nowMs);
    return available.length > 0 ? available : all;
  }

  function selectLongCallHost(candidates: string[]): string | undefined {
    const inUse = candidates.filter((host) => getLoad(host).longCalls > 0).length;
    const maxInUse = Math.ceil(candidates.length * maxLongCallHostShare);
    if (inUse >= maxInUse) return undefined;
    const free = candidates.filter((host) => getLoad(host).longCalls === 0);
    return free.sort((a, b) => getLoad(a).shortCallsMs - getLoad(b).shortCallsMs)[0];
  }

  function selectShortCallHost(candidates: string[]): string | undefined {
    const free = candidates.filter(
      (host) => getLoad(host).longCalls === 0 && getLoad(host).shortCallsMs < maxShortCallsMs,
    );
    return free.sort((a, b) => getLoad(a).shortCallsMs - getLoad(b).shortCallsMs)[0];
  }

  function areMostIdle(candidates: string[]): boolean {
    const idle = candidates.filter((host) => getLoad(host).calls === 0);
    return idle.length * 2 > candidates.length;
  }

  return {
    acquire(expectedMs, isUrgent = true) {
      const isLong = expectedMs >= longCallThresholdMs;
      const candidates = availableHosts();
      if (!isUrgent && !areMostIdle(candidates)) return undefined;
      const host = isLong ? selectLongCallHost(candidates) : selectShortCallHost(candidates);
      if (host === undefined) return undefined;
      getLoad(host).calls += 1;
      if (isLong) getLoad(host).longCalls += 1;
      else getLoad(host).shortCallsMs += expectedMs;
      return { host, expectedMs };
    },

    async requestTickets({ host, expectedMs }, question) {
      const timeoutMs = expectedMs * timeoutFactor + timeoutMarginMs;
      const result = await askViaHost(host, { ...question, timeoutMs });
      const load = getLoad(host);
      load.calls -= 1;
      if (expectedMs >= longCallThresholdMs) load.longCalls -= 1;
      else load.shortCallsMs -= expectedMs;
      return result.caseOf<GrantedTickets | undefined>({
        Left: () => {
          load.backoffUntilMs = clock.now() + failedHostBackoffMs;
          return undefined;
        },
        Right: (tickets) => tickets,
      });
    },
  };
}
