/**
 * The link of the scheduler to one worker: renews the leases of all runs on the worker and passes on
 * the worker's reports.
 *
 * Lease renewal is a long poll: the worker responds as soon as a run ends. The next renewal confirms
 * the reported ends to the worker, but only after they have been stored.
 */
import type { Clock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { WorkerEntry, WorkerReport, WorkerClient } from '../model/mod.ts';

/** The link to one worker. */
export interface WorkerLink {
  run(signal: AbortSignal): Promise<void>;
  /**
   * Returns the lease end for an order that is sent now, on the worker's clock, and postpones
   * `leasesExpireAtMs`. Undefined while the worker is unresponsive, since any order would postpone
   * that time, and while leases may not be renewed, since a start order renews them too.
   */
  leaseUntilMs(): number | undefined;
  /** Monotonic time after which nothing runs on the worker unless its leases are renewed. */
  leasesExpireAtMs(): number;
}

/** Dependencies and callbacks of a {@link WorkerLink}. */
export interface WorkerLinkOptions {
  workers: WorkerClient;
  clock: Clock;
  entry(): WorkerEntry;
  fencingToken: number;
  /** Returns the duration of the leases to request now. */
  leaseMs(): number;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Monotonic time until which leases from predecessors may last. */
  predecessorLeasesEndAtMs: number;
  /** Whether this scheduler may renew leases. */
  mayRenew(): boolean;
  /** Whether the worker has runs, whose progress is wanted more often. */
  isBusy(): boolean;
  /** Handles a report; resolves with true once the ends in it are stored. */
  onReport(report: WorkerReport, sentAtMs: number): Promise<boolean>;
  onRenewalFailed(rejection: Rejection): void;
  onFenced(): void;
  /** Called when handling a report throws; the link goes on. */
  onError(error: unknown): void;
}

const busyRenewalWaitMs = 1_000;
/** A renewal without runs only shows that the worker responds. */
const idleRenewalWaitMs = 2_000;
/** Longest delay of a renewal until previously reported ends are stored. */
const maxStoreWaitMs = 400;
const retryDelayMs = 150;
/** A worker's clock may run slower than this process's clock by this factor. */
export const maxClockDriftFactor = 1.025;
const expiryMarginMs = 100;

/**
 * Makes a link to a worker.
 *
 * @example
 * const link = makeWorkerLink({ workers, clock, entry: () => worker.entry, fencingToken: 4, ... });
 * await link.run(signal);
 */
export function makeWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { workers, clock, entry, fencingToken, onReport, onRenewalFailed, onFenced } = options;
  let lastStoredSequence = 0;
  let incarnationStartMs: number | undefined;
  /** The worker's clock and the latest time at which it was read; undefined while unresponsive. */
  let clockReading: { workerMs: number; atMs: number } | undefined;
  let leasesExpireAtMs = options.predecessorLeasesEndAtMs;

  function leaseUntilMs(): number | undefined {
    if (!clockReading || !options.mayRenew()) return undefined;
    const nowMs = clock.now();
    const leaseMs = options.leaseMs();
    leasesExpireAtMs = Math.max(
      leasesExpireAtMs,
      nowMs + leaseMs * maxClockDriftFactor + expiryMarginMs,
    );
    return Math.floor(clockReading.workerMs + (nowMs - clockReading.atMs) + leaseMs);
  }

  async function handleReport(report: WorkerReport, sentAtMs: number): Promise<void> {
    if (incarnationStartMs !== undefined && report.incarnationStartMs !== incarnationStartMs) {
      lastStoredSequence = 0;
      // The new incarnation may have received an order whose lease end, on the former incarnation's
      // clock, lies far in the future.
      const maxRemainingLeaseMs = options.maxLeaseMs * maxClockDriftFactor + expiryMarginMs;
      leasesExpireAtMs = Math.max(leasesExpireAtMs, clock.now() + maxRemainingLeaseMs);
    }
    incarnationStartMs = report.incarnationStartMs;
    clockReading = { workerMs: report.clockMs, atMs: clock.now() };
    const newestSequence = Math.max(0, ...report.ended.map(({ sequence }) => sequence));
    const storing = onReport(report, sentAtMs).then(async (isStored) => {
      // The worker lists the ends again at once until they are confirmed.
      if (!isStored) await clock.sleep(maxStoreWaitMs);
      else if (report.incarnationStartMs === incarnationStartMs)
        lastStoredSequence = Math.max(lastStoredSequence, newestSequence);
    });
    // Leases are renewed even while the store does not respond.
    await Promise.race([storing, clock.sleep(maxStoreWaitMs)]);
  }

  async function renewLease(): Promise<void> {
    const sentAtMs = clock.now();
    const leaseEndMs = leaseUntilMs();
    const renewalWaitMs = options.isBusy() ? busyRenewalWaitMs : idleRenewalWaitMs;
    const result = await workers.renewLease(entry(), {
      fencingToken,
      // After a failed renewal the worker may be another incarnation, which numbers its ends anew.
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

  /** Renews once. An unexpected error in one report must not let all leases on the worker expire. */
  async function tryRenewLease(): Promise<void> {
    try {
      await renewLease();
    } catch (error) {
      options.onError(error);
      await clock.sleep(retryDelayMs);
    }
  }

  return {
    leaseUntilMs,
    leasesExpireAtMs: () => leasesExpireAtMs,
    async run(signal) {
      while (!signal.aborted) {
        if (options.mayRenew()) await tryRenewLease();
        else await clock.sleep(retryDelayMs, signal);
      }
    },
  };
}
