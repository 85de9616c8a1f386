/**
 * The connection of the scheduler to one worker: renews the lease of everything that runs there and
 * passes on what the worker reports.
 *
 * A renewal waits at the worker for an end, so that ends are known at once. Ends that were reported
 * are confirmed to the worker with the next renewal, and only after they have been stored.
 */
import type { Clock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { WorkerEntry, WorkerReport, WorkerClient } from '../model/mod.ts';

/** The connection to one worker. */
export interface WorkerLink {
  run(signal: AbortSignal): Promise<void>;
  /**
   * Lease end for an order that is sent now, on the worker's clock; undefined while it does not
   * answer, since any order sent to a silent worker would put off the time at which it is dead, and
   * while leases may not be renewed, since a start renews them too.
   */
  leaseUntilMs(): number | undefined;
  /** Monotonic time after which nothing runs there any more unless the lease is renewed. */
  deadAtMs(): number;
}

/** What a link uses and whom it tells. */
export interface LinkOptions {
  workers: WorkerClient;
  clock: Clock;
  entry(): WorkerEntry;
  fencingToken: number;
  /** Lease that is asked for. */
  leaseMs: number;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Monotonic time until which a predecessor's orders may keep runs alive. */
  predecessorUntilMs: number;
  /** Whether leases still may be renewed. */
  mayRenew(): boolean;
  /** Takes a report; resolves with true once the ends in it are stored. */
  onReport(report: WorkerReport, sentAtMs: number): Promise<boolean>;
  onSilence(rejection: Rejection): void;
  onFenced(): void;
}

const renewWaitMs = 1_000;
/** A renewal waits this long for the ends before it to be stored. */
const storeWaitMs = 400;
const retryMs = 150;
/** A worker's clock may run slower than ours by this factor. */
export const clockSlowness = 1.025;
const deadSlackMs = 100;

/**
 * Makes the link to a worker.
 *
 * @example
 * const link = makeWorkerLink({ workers, clock, entry: () => worker.entry, fencingToken: 4, ... });
 * await link.run(signal);
 */
export function makeWorkerLink(options: LinkOptions): WorkerLink {
  const { workers, clock, entry, fencingToken, leaseMs, onReport, onSilence, onFenced } = options;
  let lastSeen = 0;
  let bornMs: number | undefined;
  /** The worker's clock and our time when it was read, at the latest; unknown while it is silent. */
  let reading: { workerMs: number; atMs: number } | undefined;
  let deadAtMs = options.predecessorUntilMs;

  function leaseUntilMs(): number | undefined {
    if (!reading || !options.mayRenew()) return undefined;
    const nowMs = clock.now();
    deadAtMs = Math.max(deadAtMs, nowMs + leaseMs * clockSlowness + deadSlackMs);
    return Math.floor(reading.workerMs + (nowMs - reading.atMs) + leaseMs);
  }

  async function take(report: WorkerReport, sentAtMs: number): Promise<void> {
    if (bornMs !== undefined && report.incarnationStartMs !== bornMs) {
      lastSeen = 0;
      // An order with a lease end by the former clock, which may lie far ahead, may have arrived.
      const longestMs = options.maxLeaseMs * clockSlowness + deadSlackMs;
      deadAtMs = Math.max(deadAtMs, clock.now() + longestMs);
    }
    bornMs = report.incarnationStartMs;
    reading = { workerMs: report.clockMs, atMs: clock.now() };
    const newest = Math.max(0, ...report.ended.map(({ sequence }) => sequence));
    const storing = onReport(report, sentAtMs).then((isStored) => {
      if (isStored && report.incarnationStartMs === bornMs) lastSeen = Math.max(lastSeen, newest);
    });
    // Leases are renewed also while the store does not answer.
    await Promise.race([storing, clock.sleep(storeWaitMs)]);
  }

  async function renew(): Promise<void> {
    const sentAtMs = clock.now();
    const until = leaseUntilMs();
    const result = await workers.renewLease(entry(), {
      fencingToken,
      // After a silence the worker may be another incarnation, which numbers its ends anew.
      lastSeen: until === undefined ? 0 : lastSeen,
      ...(until === undefined ? {} : { leaseUntilMs: until }),
      waitMs: until === undefined ? 0 : renewWaitMs,
    });
    if (typeof result !== 'string') {
      await take(result, sentAtMs);
      return;
    }
    if (result === Rejection.Fenced) {
      onFenced();
      return;
    }
    reading = undefined;
    onSilence(result);
    await clock.sleep(retryMs);
  }

  return {
    leaseUntilMs,
    deadAtMs: () => deadAtMs,
    async run(signal) {
      while (!signal.aborted) {
        if (options.mayRenew()) await renew();
        else await clock.sleep(retryMs, signal);
      }
    },
  };
}
