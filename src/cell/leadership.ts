/**
 * Who schedules the cell: one claim row, won by compare-and-set, and a heartbeat row beside it.
 *
 * Every entry process watches both. One claims when there is no scheduler, when the scheduler has
 * resigned, when its host rejects connections, or when its heartbeat has stopped. Safety does not rest
 * on the timing: the workers reject the orders of a lower epoch, and the store the rows of one.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoreTransaction, StoredRow } from '../model/mod.ts';
import { hasHeartbeatStopped } from './_heartbeat_age.ts';
import { maxRenewalWithoutStoreMs } from './_term_state.ts';
import { makeTableWatcher } from './table_watcher.ts';
import { claimRow, heartbeatRow, leadershipTable, sequenceRow } from './rows.ts';

/** A claim as it is stored. */
export interface Claim {
  epoch: number;
  /** Unique for each start of a process; empty once the scheduler has resigned. */
  instance: string;
  name: string;
  address: string;
  /** Whether a predecessor may still have renewed leases at workers that it reached. */
  predecessorMayAct: boolean;
}

/** A claim that this process has won. */
export interface WonClaim extends Pick<Claim, 'epoch' | 'predecessorMayAct'> {
  sequence: { version: number; value: string };
}

/** The heartbeat of the scheduler, as the others see it. */
export interface Heartbeat {
  epoch: number;
  /** Jobs that wait, by queue; undefined while the scheduler does not know. */
  pending: Record<string, number> | undefined;
  /** What is to be refused; see `computePressure`. */
  busyQueues: string[];
  beyondShare: string[];
  /** Our monotonic time when it was seen. */
  seenAtMs: number;
}

/** The election. */
export interface Leadership {
  run(signal: AbortSignal): Promise<void>;
  claim(): Claim | undefined;
  heartbeat(): Heartbeat | undefined;
  /** Tells that the host of the present scheduler rejects connections. */
  reportConnectionRefused(instance: string): void;
  /** Tells that a scheduler does not answer calls, or answers that the store does not answer it. */
  reportUnresponsive(instance: string): void;
  /** Tells that the store rejects what a scheduler writes, while it serves this process. */
  reportRejectedByStore(instance: string): void;
  /** Gives the claim back, if this process holds it. */
  resign(timeoutMs: number): Promise<void>;
}

/** What the election uses and whom it tells. */
export interface LeadershipOptions {
  store: Store;
  clock: Clock;
  random: Random;
  log: Logger;
  self: { name: string; instance: string; address: string };
  /** Delay before a claim, in milliseconds, so that the better hosts come first. */
  claimDelayMs(): number;
  mayClaim(): boolean;
  onClaimWon(won: WonClaim): void;
  /** Another claim than the own was seen. */
  onOtherClaim(claim: Claim): void;
}

const checkIntervalMs = 40;
const maxViewAgeMs = 900;
const maxClaimJitterMs = 20;
const claimRetryDelayMs = 200;
/** A slow store carries out the claims of several candidates one after the other. */
const claimTimeoutMs = 3_000;
/** Why a claim is made after a silence in which the predecessor may go on. */
const heartbeatStoppedReason = 'the heartbeat of the scheduler has stopped';
const rejectedByStoreReason = 'the store turns the scheduler away';

/**
 * Makes the election.
 *
 * @example
 * const leadership = makeLeadership({ store, clock, random, log, self, claimDelayMs: 0, ... });
 * await leadership.run(signal);
 */
export function makeLeadership(options: LeadershipOptions): Leadership {
  const { store, clock, random, log, self, claimDelayMs, mayClaim, onClaimWon, onOtherClaim } =
    options;
  let claim: Claim | undefined;
  let claimVersion = 0;
  let heartbeat: Heartbeat | undefined;
  /** Time between the last two heartbeats of a scheduler. */
  let lastIntervalMs = 0;
  /** Monotonic time of the last sign of the present scheduler. */
  let lastSeenAtMs = clock.now();
  let refusingInstance: string | undefined;
  let unresponsiveInstance: string | undefined;
  let rejectedByStoreInstance: string | undefined;
  let wonEpoch = 0;
  /** Monotonic time until which schedulers before the present one may renew leases. */
  let predecessorLeasesEndAtMs = -Infinity;

  function recordClaim(next: Claim, version: number): void {
    lastIntervalMs = 0;
    claim = next;
    claimVersion = version;
    lastSeenAtMs = clock.now();
    if (next.predecessorMayAct) predecessorLeasesEndAtMs = clock.now() + maxRenewalWithoutStoreMs;
  }

  function handleClaimRow(row: StoredRow): void {
    if (row.version <= claimVersion) return;
    const seen = JSON.parse(row.value) as Claim;
    recordClaim(seen, row.version);
    log.info('scheduler claim seen', { event: 'claim-seen', ...seen, version: row.version });
    if (seen.instance !== self.instance) onOtherClaim(seen);
  }

  function handleRow(row: StoredRow): void {
    if (row.deleted) return;
    if (row.key === claimRow.key) handleClaimRow(row);
    if (row.key !== heartbeatRow.key) return;
    const {
      epoch,
      pending,
      busyQueues = [],
      beyondShare = [],
    } = JSON.parse(row.value) as Partial<Heartbeat> & Pick<Heartbeat, 'epoch'>;
    lastIntervalMs = heartbeat?.epoch === epoch ? clock.now() - heartbeat.seenAtMs : 0;
    heartbeat = { epoch, pending, busyQueues, beyondShare, seenAtMs: clock.now() };
    unresponsiveInstance = undefined;
    rejectedByStoreInstance = undefined;
    lastSeenAtMs = clock.now();
  }

  const watcher = makeTableWatcher({
    store,
    clock,
    log,
    table: leadershipTable,
    readAll: () => store.read({ table: leadershipTable, part: claimRow.part }),
    onRows: (rows) => rows.forEach(handleRow),
  });

  /** Why this process should claim now; undefined when it should not. */
  function findClaimReason(): string | undefined {
    const viewAtMs = watcher.currentAtMs();
    const nowMs = clock.now();
    if (viewAtMs === undefined || nowMs - viewAtMs > maxViewAgeMs) return undefined;
    if (!claim) return 'there is no scheduler';
    if (claim.instance === self.instance && claim.epoch <= wonEpoch) return undefined;
    if (claim.instance === '') return 'the scheduler has resigned';
    if (claim.name === self.name) return 'the scheduler was an earlier start of this process';
    if (claim.instance === refusingInstance) return 'the host of the scheduler rejects connections';
    if (claim.instance === rejectedByStoreInstance) return rejectedByStoreReason;
    const isUnresponsive = claim.instance === unresponsiveInstance;
    return hasHeartbeatStopped({ ageMs: nowMs - lastSeenAtMs, lastIntervalMs, isUnresponsive })
      ? heartbeatStoppedReason
      : undefined;
  }

  function mayPredecessorsRenewLeases(): boolean {
    return clock.now() < predecessorLeasesEndAtMs;
  }

  async function tryClaim(reason: string): Promise<void> {
    const startedAtMs = clock.now();
    const lastSeenBeforeClaimAtMs = lastSeenAtMs;
    const predecessor = claim;
    const epoch = (predecessor?.epoch ?? 0) + 1;
    const sequenceValue = `${epoch}.${self.instance}.0`;
    const predecessorMayAct =
      reason === heartbeatStoppedReason ||
      reason === rejectedByStoreReason ||
      mayPredecessorsRenewLeases();
    const next: Claim = { epoch, ...self, predecessorMayAct };
    const change: StoreTransaction = {
      expected: [{ ...claimRow, version: claimVersion }],
      writes: [
        { ...claimRow, value: JSON.stringify(next) },
        { ...sequenceRow, value: sequenceValue },
      ],
      deletes: [],
    };
    const result = await store.transact(change, claimTimeoutMs);
    result.caseOf({
      Left: ({ kind, got }) => {
        if (kind === ErrorKind.TableConflict) (got as StoredRow[]).forEach(handleRow);
      },
      Right: (version) => {
        wonEpoch = epoch;
        recordClaim(next, version);
        log.info('scheduler claim won', {
          event: 'scheduler-won',
          epoch,
          reason,
          silenceMs: Math.round(startedAtMs - lastSeenBeforeClaimAtMs),
          claimMs: Math.round(clock.now() - startedAtMs),
        });
        onClaimWon({ epoch, sequence: { version, value: sequenceValue }, predecessorMayAct });
      },
    });
  }

  async function claimWhenMissing(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(checkIntervalMs, signal);
      const cause = findClaimReason();
      if (cause === undefined || !mayClaim()) continue;
      const delayMs = claimDelayMs() + random() * maxClaimJitterMs;
      log.info('a scheduler is missing', {
        event: 'scheduler-missing',
        reason: cause,
        silenceMs: Math.round(clock.now() - lastSeenAtMs),
        delayMs: Math.round(delayMs),
      });
      await clock.sleep(delayMs, signal);
      const reason = findClaimReason();
      if (reason === undefined || signal.aborted || !mayClaim()) continue;
      await tryClaim(reason);
      await clock.sleep(claimRetryDelayMs, signal);
    }
  }

  return {
    claim: () => claim,
    heartbeat: () => heartbeat,
    reportConnectionRefused(instance) {
      refusingInstance = instance;
    },
    reportUnresponsive(instance) {
      unresponsiveInstance = instance;
    },
    reportRejectedByStore(instance) {
      rejectedByStoreInstance = instance;
    },
    async resign(timeoutMs) {
      if (claim?.instance !== self.instance) return;
      const resigned = { ...claim, instance: '', predecessorMayAct: mayPredecessorsRenewLeases() };
      const result = await store.transact(
        {
          expected: [{ ...claimRow, version: claimVersion }],
          writes: [{ ...claimRow, value: JSON.stringify(resigned) }],
          deletes: [],
        },
        timeoutMs,
      );
      log.info('resigned', {
        event: 'scheduler-resigned',
        epoch: claim.epoch,
        stored: result.isRight(),
      });
    },
    async run(signal) {
      await Promise.all([watcher.run(signal), claimWhenMissing(signal)]);
    },
  };
}
