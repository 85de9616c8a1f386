/**
 * Distributes advice requests over the entry processes.
 *
 * The advice service processes one request at a time for each requesting host, so a request queued
 * behind others gains nothing. It is sent when a host is free, since the most urgent step may change
 * until then. Long requests take at most 0.4 of the hosts, rounded up; the others are left to short
 * ones, which are far more frequent.
 */
import type { Clock } from '../clock/mod.ts';
import type { AdviceRequest, Adviser, GrantedTickets } from '../model/mod.ts';

/** Sends an advice request from the given host. */
export type HostAdviser = (host: string, request: AdviceRequest) => ReturnType<Adviser>;

/** A slot on a host for one request. */
export interface AdviceSlot {
  host: string;
  expectedMs: number;
}

/** Limits and distributes advice requests. */
export interface AdvicePool {
  /**
   * Acquires a slot for a request of the expected duration; undefined when none is free. A request
   * that is not urgent gets a slot only while more than half of the hosts are idle.
   */
  acquire(expectedMs: number, isUrgent?: boolean): AdviceSlot | undefined;
  /** Sends the request and releases the slot; undefined when the request failed. */
  requestTickets(
    slot: AdviceSlot,
    request: Pick<AdviceRequest, 'step' | 'workers'>,
  ): Promise<GrantedTickets | undefined>;
}

interface HostLoad {
  /** Total expected duration of the short requests in flight. */
  shortRequestsMs: number;
  /** Number of long requests in flight. */
  longRequests: number;
  /** Number of all requests in flight. */
  requests: number;
  backoffUntilMs: number;
}

/** Requests that are expected to take at least this long are long. */
const longRequestThresholdMs = 250;
/** Share of the hosts that may have a long request in flight at a time, rounded up. */
const maxLongRequestHostShare = 0.4;
/** A host gets further short requests while those in flight take less time than this in total. */
const maxShortRequestsMs = 60;
const timeoutFactor = 2;
const timeoutMarginMs = 600;
const failedHostBackoffMs = 1_000;

/**
 * Makes the pool; `hosts` returns the names of the current entry processes.
 *
 * @example
 * const slot = pool.acquire(40);
 * const tickets = slot && (await pool.requestTickets(slot, { step, workers }));
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
      load = { shortRequestsMs: 0, longRequests: 0, requests: 0, backoffUntilMs: 0 };
      loadsByHost.set(host, load);
    }
    return load;
  }

  function findAvailableHosts(): string[] {
    const nowMs = clock.now();
    const all = hosts();
    const available = all.filter((host) => getLoad(host).backoffUntilMs <= nowMs);
    return available.length > 0 ? available : all;
  }

  function selectHostForLongRequest(candidates: string[]): string | undefined {
    const inUse = candidates.filter((host) => getLoad(host).longRequests > 0).length;
    const maxInUse = Math.ceil(candidates.length * maxLongRequestHostShare);
    if (inUse >= maxInUse) return undefined;
    const free = candidates.filter((host) => getLoad(host).longRequests === 0);
    return free.sort((a, b) => getLoad(a).shortRequestsMs - getLoad(b).shortRequestsMs)[0];
  }

  function selectHostForShortRequest(candidates: string[]): string | undefined {
    const free = candidates.filter(
      (host) =>
        getLoad(host).longRequests === 0 && getLoad(host).shortRequestsMs < maxShortRequestsMs,
    );
    return free.sort((a, b) => getLoad(a).shortRequestsMs - getLoad(b).shortRequestsMs)[0];
  }

  function isMajorityIdle(candidates: string[]): boolean {
    const idle = candidates.filter((host) => getLoad(host).requests === 0);
    return idle.length * 2 > candidates.length;
  }

  return {
    acquire(expectedMs, isUrgent = true) {
      const isLong = expectedMs >= longRequestThresholdMs;
      const candidates = findAvailableHosts();
      if (!isUrgent && !isMajorityIdle(candidates)) return undefined;
      const host = isLong
        ? selectHostForLongRequest(candidates)
        : selectHostForShortRequest(candidates);
      if (host === undefined) return undefined;
      getLoad(host).requests += 1;
      if (isLong) getLoad(host).longRequests += 1;
      else getLoad(host).shortRequestsMs += expectedMs;
      return { host, expectedMs };
    },

    async requestTickets({ host, expectedMs }, request) {
      const timeoutMs = expectedMs * timeoutFactor + timeoutMarginMs;
      const load = getLoad(host);
      let result: Awaited<ReturnType<HostAdviser>>;
      try {
        result = await askViaHost(host, { ...request, timeoutMs });
      } finally {
        load.requests -= 1;
        if (expectedMs >= longRequestThresholdMs) load.longRequests -= 1;
        else load.shortRequestsMs -= expectedMs;
      }
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
