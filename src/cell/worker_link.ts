/**
 * The link of the scheduler to one worker: renews the leases of all runs on the worker and passes on
 * the worker's reports.
 *
 * Lease renewal is a long poll: the worker responds as soon as a run ends. The next renewal confirms
 * the reported ends to the worker, but only after they have been stored.
 *
 * A worker that starts again under its id carries out calls that were sent to its former incarnation,
 * also seconds later. The calls of a link therefore belong to sessions. A session ends with the first
 * renewal without a response, after a pause, or once another incarnation is known. The first renewal of
 * the next one carries a higher fencing token, which blocks all earlier calls, and neither extends leases
 * nor confirms ends. Its report is complete: what it does not list can no longer start.
 */
import { makeTimeMark } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { WorkerEntry, WorkerReport, WorkerClient } from '../model/mod.ts';

/** Why a session has ended, for the log. */
export const SessionEnd = {
  NoResponse: 'no response to a renewal',
  Pause: 'a pause of the renewals',
  OtherReport: 'a report of another incarnation',
  OtherClock: 'the clock in the response to an order is that of another incarnation',
  OtherRegistered: 'another incarnation in the registry',
} as const;

/** One of the values of {@link SessionEnd}. */
export type SessionEnd = (typeof SessionEnd)[keyof typeof SessionEnd];

/** What an order is sent with, and its response checked against. */
export interface OrderSession {
  fencingToken: number;
  /** The worker's clock cannot show less from now on, unless it starts again; undefined between sessions. */
  earliestClockMs: number | undefined;
}

/** The link to one worker. */
export interface WorkerLink {
  run(signal: AbortSignal): Promise<void>;
  /** Fencing token of the current session. */
  fencingToken(): number;
  /** Returns the session for an order that is sent now. */
  openOrder(): OrderSession;
  /**
   * Whether the response to an order came from the incarnation of the current session. The clock of
   * another incarnation ends the session: that incarnation has granted its longest lease. A response
   * without a clock says nothing about the incarnation.
   */
  confirmResponse(session: OrderSession, clockMs: number | undefined): boolean;
  /**
   * Returns the lease end for an order that is sent now, on the worker's clock, and postpones
   * `leasesExpireAtMs`. Undefined between sessions, since any order would postpone that time, and while
   * leases may not be renewed, since a start order renews them too.
   */
  leaseUntilMs(): number | undefined;
  /** Monotonic time after which nothing runs on the worker unless its leases are renewed. */
  leasesExpireAtMs(): number;
  /**
   * The same for runs whose start orders got no response: an incarnation that nobody knows of may have
   * carried them out and granted its longest lease.
   */
  uncertainStartsExpireAtMs(): number;
  /**
   * The same for runs whose start orders may be carried out late by an incarnation that has not
   * reported yet. A renewal that is carried out even later extends their leases, so the time counts from
   * the last call with a lease, not from their own orders.
   */
  lateStartsExpireAtMs(): number;
  /** Start time of the newest incarnation; infinite if a response outside its own sessions has shown it. */
  newestIncarnationMs(): number;
  /** Records the incarnation that the registry shows; another one ends the session. */
  recordRegisteredIncarnation(incarnationStartMs: number): void;
}

/** Dependencies and callbacks of a {@link WorkerLink}. */
export interface WorkerLinkOptions {
  workers: WorkerClient;
  clock: Clock;
  entry(): WorkerEntry;
  /** Returns a higher fencing token with each call. */
  nextFencingToken(): number;
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
  /** Called when a session has ended: the next report belongs to the one with this token. */
  onSessionEnded(nextToken: number, reason: SessionEnd): void;
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
/** Without a call for this long, the worker may have started again unnoticed. */
const maxSessionPauseMs = 2_000;
/** Longest timeout of an order; one without a response may be carried out until then. */
export const maxOrderTimeoutMs = 1_200;
/** Longest delay with which a call without a response may be carried out. */
export const maxCallDelayMs = 12_000;

/**
 * Makes a link to a worker.
 *
 * @example
 * const link = makeWorkerLink({ workers, clock, entry: () => worker.entry, nextFencingToken, ... });
 * await link.run(signal);
 */
export function makeWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { workers, clock, entry, nextFencingToken, onReport, onRenewalFailed, onFenced } = options;
  const maxRemainingLeaseMs = options.maxLeaseMs * maxClockDriftFactor + expiryMarginMs;
  let fencingToken = nextFencingToken();
  let lastStoredSequence = 0;
  /** Incarnation of the last session that was opened. */
  let incarnationStartMs: number | undefined;
  /** The worker's clock and the latest time at which it was read; undefined between sessions. */
  let clockReading: { workerMs: number; atMs: number } | undefined;
  /** Time of that reading, moved back by later suspensions of this machine. */
  const lastReading = makeTimeMark(clock);
  let leasesExpireAtMs = options.predecessorLeasesEndAtMs;
  /** Monotonic time of the last order with a lease, or the last that predecessors may have sent. */
  let lastOrderAtMs = options.predecessorLeasesEndAtMs - maxRemainingLeaseMs;
  let registeredIncarnationMs = 0;
  /** A response has shown an incarnation that has not opened a session yet. */
  let isReplaced = false;
  let stopWaiting: (() => void) | undefined;

  function extendToLongestLease(): void {
    leasesExpireAtMs = Math.max(leasesExpireAtMs, clock.now() + maxRemainingLeaseMs);
  }

  function leaseUntilMs(): number | undefined {
    if (!clockReading || !options.mayRenew()) return undefined;
    const nowMs = clock.now();
    const leaseMs = options.leaseMs();
    lastOrderAtMs = nowMs;
    leasesExpireAtMs = Math.max(
      leasesExpireAtMs,
      nowMs + leaseMs * maxClockDriftFactor + expiryMarginMs,
    );
    return Math.floor(clockReading.workerMs + (nowMs - clockReading.atMs) + leaseMs);
  }

  function openOrder(): OrderSession {
    if (!clockReading) return { fencingToken, earliestClockMs: undefined };
    const elapsedMs = clock.now() - clockReading.atMs;
    const earliestClockMs = Math.floor(clockReading.workerMs + elapsedMs / maxClockDriftFactor) - 1;
    return { fencingToken, earliestClockMs };
  }

  function endSession(reason: SessionEnd): void {
    if (!clockReading) return;
    clockReading = undefined;
    lastStoredSequence = 0;
    fencingToken = nextFencingToken();
    options.onSessionEnded(fencingToken, reason);
    stopWaiting?.();
  }

  function openSession(report: WorkerReport): void {
    // A call of the former session may have been the last one that was carried out before this report.
    // Its lease end, on the clock of a former incarnation, lies far in the future.
    if (report.incarnationStartMs !== incarnationStartMs) extendToLongestLease();
    incarnationStartMs = report.incarnationStartMs;
    isReplaced = false;
  }

  /** Allows for what another incarnation, which has not opened a session, has granted and may run. */
  function recordOtherIncarnation(): void {
    extendToLongestLease();
    if (!clockReading) isReplaced = true;
  }

  function confirmResponse(session: OrderSession, clockMs: number | undefined): boolean {
    const isCurrent = session.fencingToken === fencingToken;
    if (clockMs === undefined || clockMs >= (session.earliestClockMs ?? -Infinity))
      return isCurrent;
    if (isCurrent) endSession(SessionEnd.OtherClock);
    recordOtherIncarnation();
    return false;
  }

  async function handleReport(report: WorkerReport, sentAtMs: number): Promise<void> {
    if (!clockReading) openSession(report);
    else if (report.incarnationStartMs !== incarnationStartMs) {
      // The renewal reached an incarnation for which it was not meant, and its report is not complete.
      endSession(SessionEnd.OtherReport);
      recordOtherIncarnation();
      return;
    }
    clockReading = { workerMs: report.clockMs, atMs: clock.now() };
    lastReading.record(clockReading.atMs);
    const reportToken = fencingToken;
    const newestSequence = Math.max(0, ...report.ended.map(({ sequence }) => sequence));
    const storing = onReport(report, sentAtMs).then(async (isStored) => {
      // The worker lists the ends again at once until they are confirmed.
      if (!isStored) await clock.sleep(maxStoreWaitMs);
      else if (reportToken === fencingToken)
        lastStoredSequence = Math.max(lastStoredSequence, newestSequence);
    });
    // Leases are renewed even while the store does not respond.
    await Promise.race([storing, clock.sleep(maxStoreWaitMs)]);
  }

  /** Sends a renewal; resolves with undefined when its session ends before the response. */
  function sendRenewal(): Promise<WorkerReport | Rejection | undefined> {
    const sessionEnd = new Promise<undefined>((resolve) => {
      stopWaiting = () => resolve(undefined);
    });
    const leaseEndMs = leaseUntilMs();
    const renewalWaitMs = options.isBusy() ? busyRenewalWaitMs : idleRenewalWaitMs;
    const response = workers.renewLease(entry(), {
      fencingToken,
      // The worker may be another incarnation, which numbers its ends anew.
      lastSeen: leaseEndMs === undefined ? 0 : lastStoredSequence,
      ...(leaseEndMs === undefined ? {} : { leaseUntilMs: leaseEndMs }),
      waitMs: leaseEndMs === undefined ? 0 : renewalWaitMs,
    });
    return Promise.race([response, sessionEnd]);
  }

  /** Ends a session whose next renewal was delayed, as by a store that does not respond or a pause. */
  function endPausedSession(): void {
    const readAtMs = lastReading.atMs() ?? -Infinity;
    if (clock.now() - readAtMs > maxSessionPauseMs) endSession(SessionEnd.Pause);
  }

  async function renewLease(): Promise<void> {
    endPausedSession();
    const sentAtMs = clock.now();
    const sentToken = fencingToken;
    const result = await sendRenewal();
    if (result === undefined || sentToken !== fencingToken) return;
    if (typeof result !== 'string') {
      await handleReport(result, sentAtMs);
      return;
    }
    if (result === Rejection.Fenced) {
      onFenced();
      return;
    }
    endSession(SessionEnd.NoResponse);
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
    fencingToken: () => fencingToken,
    leaseUntilMs,
    leasesExpireAtMs: () => leasesExpireAtMs,
    openOrder,
    confirmResponse,
    uncertainStartsExpireAtMs: () =>
      Math.max(leasesExpireAtMs, lastOrderAtMs + maxOrderTimeoutMs + maxRemainingLeaseMs),
    lateStartsExpireAtMs: () =>
      Math.max(leasesExpireAtMs, lastOrderAtMs + maxCallDelayMs + maxRemainingLeaseMs),
    newestIncarnationMs: () =>
      isReplaced ? Infinity : Math.max(registeredIncarnationMs, incarnationStartMs ?? 0),
    recordRegisteredIncarnation(registeredMs) {
      if (registeredMs === registeredIncarnationMs) return;
      registeredIncarnationMs = registeredMs;
      if (registeredMs > (incarnationStartMs ?? 0)) endSession(SessionEnd.OtherRegistered);
    },
    async run(signal) {
      while (!signal.aborted) {
        if (options.mayRenew()) await tryRenewLease();
        else await clock.sleep(retryDelayMs, signal);
      }
    },
  };
}
