/**
 * Spreads calls for tickets over the entry processes.
 *
 * The advice service answers one call at a time for each calling host, so calls that take long are
 * kept to a part of the hosts, and each call goes to the host that is free first.
 */
import type { Clock } from '../clock/mod.ts';
import type { Outcome } from '../errors/mod.ts';

/** Tickets, as the service gave them. */
export interface Tickets {
  tickets: [worker: string, ticket: string][];
  validityMs: number;
}

/** Asks the service from one host. */
export type AskFrom = (
  host: string,
  question: { step: string; workers: string[]; timeoutMs: number },
) => Outcome<Tickets>;

/** Calls for tickets. */
export interface AdvicePool {
  ask(question: {
    step: string;
    workers: string[];
    expectedMs: number;
  }): Promise<Tickets | undefined>;
}

const longCallMs = 250;
const marginMs = 500;
const timeoutFactor = 1.5;
const avoidFailedMs = 1_500;

/**
 * Makes the pool; `hosts` names the entry processes of the moment.
 *
 * @example
 * const tickets = await pool.ask({ step, workers, expectedMs: 40 });
 */
export function makeAdvicePool(options: {
  clock: Clock;
  hosts(): string[];
  askFrom: AskFrom;
}): AdvicePool {
  const { clock, hosts, askFrom } = options;
  const freeAtMs = new Map<string, number>();
  const avoidUntilMs = new Map<string, number>();

  function hostsFor(expectedMs: number): string[] {
    const nowMs = clock.now();
    const all = hosts().sort();
    const sound = all.filter((host) => (avoidUntilMs.get(host) ?? 0) <= nowMs);
    const usable = sound.length > 0 ? sound : all;
    if (expectedMs < longCallMs || usable.length < 2) return usable;
    // The last quarter of the hosts answers short calls only.
    return usable.slice(0, Math.ceil((usable.length * 3) / 4));
  }

  function pickHost(expectedMs: number): string | undefined {
    const nowMs = clock.now();
    const waitOf = (host: string) => Math.max(nowMs, freeAtMs.get(host) ?? 0);
    const candidates = hostsFor(expectedMs);
    // Short calls take the hosts from the end, which long calls leave alone.
    if (expectedMs < longCallMs) candidates.reverse();
    return candidates.reduce<string | undefined>(
      (best, host) => (best === undefined || waitOf(host) < waitOf(best) ? host : best),
      undefined,
    );
  }

  return {
    async ask({ step, workers, expectedMs }) {
      const host = pickHost(expectedMs);
      if (host === undefined) return undefined;
      const nowMs = clock.now();
      const startMs = Math.max(nowMs, freeAtMs.get(host) ?? 0);
      freeAtMs.set(host, startMs + expectedMs);
      const timeoutMs = (startMs - nowMs + expectedMs) * timeoutFactor + marginMs;
      const result = await askFrom(host, { step, workers, timeoutMs });
      return result.caseOf<Tickets | undefined>({
        Left: () => {
          avoidUntilMs.set(host, clock.now() + avoidFailedMs);
          return undefined;
        },
        Right: (tickets) => tickets,
      });
    },
  };
}
