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
export type AskFrom = (host: string, question: AdviceRequest) => ReturnType<Adviser>;

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
  take(expectedMs: number, isUrgent?: boolean): AdviceSlot | undefined;
  /** Makes the call and gives the place back. */
  ask(
    slot: AdviceSlot,
    question: Pick<AdviceRequest, 'step' | 'workers'>,
  ): Promise<GrantedTickets | undefined>;
}

interface HostLoad {
  /** Time that the short calls under way take at the service. */
  shortMs: number;
  /** Long calls under way. */
  long: number;
  /** All calls under way. */
  calls: number;
  avoidUntilMs: number;
}

/** Calls that take longer are long. */
const longCallMs = 250;
/** Share of the hosts that may make long calls at a time, rounded up. */
const longShare = 0.4;
/** A host gets further short calls while those under way take less time than this. */
const shortQueueMs = 60;
const timeoutFactor = 2;
const marginMs = 600;
const avoidFailedMs = 1_000;

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
  askViaHost: AskFrom;
}): AdvicePool {
  const { clock, hosts, askViaHost: askFrom } = options;
  const loads = new Map<string, HostLoad>();

  function loadOf(host: string): HostLoad {
    let load = loads.get(host);
    if (!load) {
      load = { shortMs: 0, long: 0, calls: 0, avoidUntilMs: 0 };
      loads.set(host, load);
    }
    return load;
  }

  function soundHosts(): string[] {
    const nowMs = clock.now();
    const all = hosts();
    const sound = all.filter((host) => loadOf(host).avoidUntilMs <= nowMs);
    return sound.length > 0 ? sound : all;
  }

  function takeLong(candidates: string[]): string | undefined {
    const inUse = candidates.filter((host) => loadOf(host).long > 0).length;
    const most = Math.ceil(candidates.length * longShare);
    if (inUse >= most) return undefined;
    const free = candidates.filter((host) => loadOf(host).long === 0);
    return free.sort((a, b) => loadOf(a).shortMs - loadOf(b).shortMs)[0];
  }

  function takeShort(candidates: string[]): string | undefined {
    const free = candidates.filter(
      (host) => loadOf(host).long === 0 && loadOf(host).shortMs < shortQueueMs,
    );
    return free.sort((a, b) => loadOf(a).shortMs - loadOf(b).shortMs)[0];
  }

  function isHalfIdle(candidates: string[]): boolean {
    const idle = candidates.filter((host) => loadOf(host).calls === 0);
    return idle.length * 2 > candidates.length;
  }

  return {
    take(expectedMs, isUrgent = true) {
      const isLong = expectedMs >= longCallMs;
      const candidates = soundHosts();
      if (!isUrgent && !isHalfIdle(candidates)) return undefined;
      const host = isLong ? takeLong(candidates) : takeShort(candidates);
      if (host === undefined) return undefined;
      loadOf(host).calls += 1;
      if (isLong) loadOf(host).long += 1;
      else loadOf(host).shortMs += expectedMs;
      return { host, expectedMs };
    },

    async ask({ host, expectedMs }, question) {
      const timeoutMs = expectedMs * timeoutFactor + marginMs;
      const result = await askFrom(host, { ...question, timeoutMs });
      const load = loadOf(host);
      load.calls -= 1;
      if (expectedMs >= longCallMs) load.long -= 1;
      else load.shortMs -= expectedMs;
      return result.caseOf<GrantedTickets | undefined>({
        Left: () => {
          load.avoidUntilMs = clock.now() + avoidFailedMs;
          return undefined;
        },
        Right: (tickets) => tickets,
      });
    },
  };
}
