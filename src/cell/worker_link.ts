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
  leasesExpireAtMs(): number;
}

/** What a link uses and whom it tells. */
export interface WorkerLinkOptions {
  workers: WorkerClient;
  clock: Clock;
  entry(): WorkerEntry;
  fencingToken: number;
  /** Lease that is asked for. */
  leaseMs: number;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Monotonic time until which a predecessor's orders may keep runs alive. */
  predecessorLeasesEndAtMs: number;
  /** Whether leases still may be renewed. */
  mayRenew(): boolean;
  /** Takes a report; resolves with true once the ends in it are stored. */
  onReport(report: WorkerReport, sentAtMs: number): Promise<boolean>;
  onRenewalFailed(rejection: Rejection): void;
  onFenced(): void;
}

const renewalWaitMs = 1_000;
/** A renewal waits this long for the ends before it to be stored. */
const maxStoreWaitMs = 400;
const retryDelayMs = 150;
/** A worker's clock may run slower than ours by this factor. */
export const maxClockDriftFactor = 1.025;
const expiryMarginMs = 100;

/**
 * Makes the link to a worker.
 *
 * @example
 * const link = makeWorkerLink({ workers, clock, entry: () => worker.entry, fencingToken: 4, ... });
 * await link.run(signal);
 */
export function makeWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { workers, clock, entry, fencingToken, leaseMs, onReport, onRenewalFailed, onFenced } =
    options;
  let lastStoredSequence = 0;
  let incarnationStartMs: number | undefined;
  /** The worker's clock and our time when it was read, at the latest; unknown while it is silent. */
  let clockReading: { workerMs: number; atMs: number } | undefined;
  let leasesExpireAtMs = options.predecessorLeasesEndAtMs;

  function leaseUntilMs(): number | undefined {
    if (!clockReading || !options.mayRenew()) return undefined;
    const nowMs = clock.now();
    leasesExpireAtMs = Math.max(
      leasesExpireAtMs,
      nowMs + leaseMs * maxClockDriftFactor + expiryMarginMs,
    );
    return Math.floor(clockReading.workerMs + (nowMs - clockReading.atMs) + leaseMs);
  }

  async function handleReport(report: WorkerReport, sentAtMs: number): Promise<void> {
    if (incarnationStartMs !== undefined && report.incarnationStartMs !== incarnationStartMs) {
      lastStoredSequence = 0;
      // An order with a lease end by the former clock, which may lie far ahead, may have arrived.
      const maxRemainingLeaseMs = options.maxLeaseMs * maxClockDriftFactor + expiryMarginMs;
      leasesExpireAtMs = Math.max(leasesExpireAtMs, clock.now() + maxRemainingLeaseMs);
    }
    incarnationStartMs = report.incarnationStartMs;
    clockReading = { workerMs: report.clockMs, atMs: clock.now() };
    const newestSequence = Math.max(0, ...report.ended.map(({ sequence }) => sequence));
    const storing = onReport(report, sentAtMs).then((isStored) => {
      if (isStored && report.incarnationStartMs === incarnationStartMs)
        lastStoredSequence = Math.max(lastStoredSequence, newestSequence);
    });
    // Leases are renewed also while the store does not answer.
    await Promise.race([storing, clock.sleep(maxStoreWaitMs)]);
  }

  async function renewLease(): Promise<void> {
    const sentAtMs = clock.now();
    const leaseEndMs = leaseUntilMs();
    const result = await workers.renewLease(entry(), {
      fencingToken,
      // After a silence the worker may be another incarnation, which numbers its ends anew.
      lastSeen: leaseEndMs === undefined ? 0 : lastStoredSequence,
      ...(leaseEndMs === undefined ? {} : { leaseUntilMs: leaseEndMs }),
      waitMs: leaseEndMs === undefined ? 0 : renewalWaitMs,
    });
    if (typeof result !== 'string') {
      await handleReport(result, sentAtMs);
      return;
    }
    if (result === Rejection.Fenced) {
      onFenced();
      return;
    }
    clockReading = undefined;
    onRenewalFailed(result);
    await clock.sleep(retryDelayMs);
  }

  return {
    leaseUntilMs,
    leasesExpireAtMs: () => leasesExpireAtMs,
    async run(signal) {
      while (!signal.aborted) {
        if (options.mayRenew()) await renewLease();
        else await clock.sleep(retryDelayMs, signal);
      }
    },
  };
}
