/**
 * Election of the scheduler of a cell: a claim row, won by compare-and-set, and a heartbeat row.
 *
 * Every entry process watches both rows. A process claims when there is no scheduler, or when the
 * scheduler has resigned, its host refuses connections, the store rejects its writes or its heartbeat
 * has stopped. Safety does not depend on timing: the epoch of the claim is the fencing token by which
 * workers reject orders of former schedulers, and the batches of a former scheduler fail since a new
 * claim replaces the sequence row that they check.
 */
import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Store, StoreTransaction, StoredRow } from '../model/mod.ts';
import { hasHeartbeatStopped, isCalmTerm } from './_heartbeat_age.ts';
import { decodeClaim, decodeHeartbeat } from './_leadership_rows.ts';
import type { Claim, HeartbeatContent } from './_leadership_rows.ts';
import { maxRenewalWithoutStoreMs } from './_leases.ts';
import { makeTableWatcher } from './table_watcher.ts';
import { claimRow, heartbeatRow, leadershipTable, sequenceRow } from './rows.ts';

export type { Claim };

/** A claim won by this process. */
export interface WonClaim extends Pick<Claim, 'epoch' | 'predecessorMayAct'> {
  sequence: { version: number; value: string };
}

/** The heartbeat of the scheduler, as other processes see it. */
export interface Heartbeat extends HeartbeatContent {
  /** Monotonic time of this process when it saw the heartbeat. */
  seenAtMs: number;
}

/** This process's part in the election. */
export interface Leadership {
  run(signal: AbortSignal): Promise<void>;
  claim(): Claim | undefined;
  heartbeat(): Heartbeat | undefined;
  /** Reports that the host of the scheduler refuses connections. */
  reportConnectionRefused(instance: string): void;
  /** Reports that the scheduler does not respond, or the store does not respond to it. */
  reportUnresponsive(instance: string): void;
  /** Reports that the store rejects the scheduler's writes although it serves this process. */
  reportRejectedByStore(instance: string): void;
  /** Releases the claim if this process holds it. */
  resign(timeoutMs: number): Promise<void>;
}

/** Dependencies and callbacks of {@link makeLeadership}. */
export interface LeadershipOptions {
  store: Store;
  clock: Clock;
  random: Random;
  log: Logger;
  self: { name: string; instance: string; address: string };
  /** Delay before a claim, in milliseconds, so that preferred hosts claim first. */
  claimDelayMs(): number;
  /** Whether this process is among those that would claim first. */
  isCandidate(): boolean;
  mayClaim(): boolean;
  onClaimWon(won: WonClaim): void;
  /** Called when a claim of another process is seen. */
  onOtherClaim(claim: Claim): void;
}

const candidateCheckIntervalMs = 40;
const otherCheckIntervalMs = 250;
const maxViewAgeMs = 900;
const maxClaimJitterMs = 20;
const claimRetryDelayMs = 200;
/** Number of heartbeat intervals from which the lateness of a scheduler is judged. */
const intervalsKept = 4;
/** Allows for a slow store that processes the claims of several candidates one by one. */
const claimTimeoutMs = 3_000;
/** Reasons for a claim while the predecessor may still be active. */
const heartbeatStoppedReason = 'the heartbeat of the scheduler has stopped';
const rejectedByStoreReason = 'the store rejects the writes of the scheduler';

/**
 * Makes a participant of the election.
 *
 * @example
 * const leadership = makeLeadership({ store, clock, random, log, self, claimDelayMs, ... });
 * await leadership.run(signal);
 */
export function makeLeadership(options: LeadershipOptions): Leadership {
  const { store, clock, random, log, self, claimDelayMs, isCandidate, mayClaim } = options;
  const { onClaimWon, onOtherClaim } = options;
  let claim: Claim | undefined;
  let claimVersion = 0;
  let heartbeat: Heartbeat | undefined;
  /** Times between the last heartbeats of the current scheduler, newest last. */
  let intervalsMs: number[] = [];
  /** Monotonic time of the first heartbeat after the current scheduler had loaded the cell. */
  let loadedAtMs: number | undefined;
  /** Monotonic time of the last claim or heartbeat seen. */
  let lastSeenAtMs = clock.now();
  let refusingInstance: string | undefined;
  let unresponsiveInstance: string | undefined;
  let rejectedByStoreInstance: string | undefined;
  let wonEpoch = 0;
  /** Monotonic time until which predecessors of the current scheduler may renew leases. */
  let predecessorRenewalsEndAtMs = -Infinity;

  function recordClaim(next: Claim, version: number): void {
    intervalsMs = [];
    loadedAtMs = undefined;
    claim = next;
    claimVersion = version;
    lastSeenAtMs = clock.now();
    if (next.predecessorMayAct) predecessorRenewalsEndAtMs = clock.now() + maxRenewalWithoutStoreMs;
  }

  function skipMalformedRow(row: StoredRow): void {
    log.error('a leadership row is malformed', {
      event: 'row-malformed',
      table: row.table,
      key: row.key,
      version: row.version,
    });
  }

  function handleClaimRow(row: StoredRow): void {
    if (row.version <= claimVersion) return;
    const seen = decodeClaim(row.value);
    if (!seen) {
      skipMalformedRow(row);
      // A process can replace the row only if it knows its version.
      claimVersion = row.version;
      if (claim) claim = { ...claim, instance: '' };
      return;
    }
    recordClaim(seen, row.version);
    log.info('scheduler claim seen', { event: 'claim-seen', ...seen, version: row.version });
    if (seen.instance !== self.instance) onOtherClaim(seen);
  }

  function handleHeartbeatRow(row: StoredRow): void {
    const content = decodeHeartbeat(row.value);
    if (!content) {
      skipMalformedRow(row);
      return;
    }
    const { epoch, pending } = content;
    if (heartbeat?.epoch === epoch) {
      intervalsMs = [...intervalsMs, clock.now() - heartbeat.seenAtMs].slice(-intervalsKept);
    }
    if (epoch === claim?.epoch && pending !== undefined) loadedAtMs ??= clock.now();
    heartbeat = { ...content, seenAtMs: clock.now() };
    unresponsiveInstance = undefined;
    rejectedByStoreInstance = undefined;
    lastSeenAtMs = clock.now();
  }

  function handleRow(row: StoredRow): void {
    if (row.deleted) return;
    if (row.key === claimRow.key) handleClaimRow(row);
    if (row.key === heartbeatRow.key) handleHeartbeatRow(row);
  }

  const watcher = makeTableWatcher({
    store,
    clock,
    log,
    table: leadershipTable,
    readAll: () => store.read({ table: leadershipTable, part: claimRow.part }),
    onRows: (rows) => rows.forEach(handleRow),
  });

  /** Returns why this process should claim now; undefined when it should not. */
  function findClaimReason(): string | undefined {
    const viewAtMs = watcher.currentAtMs();
    const nowMs = clock.now();
    if (viewAtMs === undefined || nowMs - viewAtMs > maxViewAgeMs) return undefined;
    if (!claim) return 'there is no scheduler';
    if (claim.instance === self.instance && claim.epoch <= wonEpoch) return undefined;
    if (claim.instance === '') return 'the scheduler has resigned';
    if (claim.name === self.name) return 'the claim was made under the name of this process';
    if (claim.instance === refusingInstance) return 'the host of the scheduler refuses connections';
    if (claim.instance === rejectedByStoreInstance) return rejectedByStoreReason;
    const hasStopped = hasHeartbeatStopped({
      ageMs: nowMs - lastSeenAtMs,
      longestIntervalMs: Math.max(0, ...intervalsMs),
      isUnresponsive: claim.instance === unresponsiveInstance,
      hasLoaded: loadedAtMs !== undefined,
      shortTerms: countShortTerms(),
    });
    return hasStopped ? heartbeatStoppedReason : undefined;
  }

  function hasCalmTerm(): boolean {
    return loadedAtMs !== undefined && isCalmTerm(clock.now() - loadedAtMs);
  }

  /** Number of consecutive short terms before the current one; 0 once the current one is calm. */
  function countShortTerms(): number {
    return hasCalmTerm() ? 0 : (claim?.shortTerms ?? 0);
  }

  function mayPredecessorsRenewLeases(): boolean {
    return clock.now() < predecessorRenewalsEndAtMs;
  }

  async function tryClaim(reason: string): Promise<void> {
    const startedAtMs = clock.now();
    const lastSeenBeforeClaimAtMs = lastSeenAtMs;
    const predecessor = claim;
    const epoch = (predecessor?.epoch ?? 0) + 1;
    const sequenceValue = `${epoch}.${self.instance}.0`;
    const isTakeover = reason === heartbeatStoppedReason || reason === rejectedByStoreReason;
    const predecessorMayAct = isTakeover || mayPredecessorsRenewLeases();
    const isShort = isTakeover && !hasCalmTerm();
    const newClaim: Claim = {
      epoch,
      ...self,
      predecessorMayAct,
      shortTerms: countShortTerms() + Number(isShort),
    };
    const transaction: StoreTransaction = {
      expected: [{ ...claimRow, version: claimVersion }],
      writes: [
        { ...claimRow, value: JSON.stringify(newClaim) },
        { ...sequenceRow, value: sequenceValue },
      ],
      deletes: [],
    };
    const result = await store.transact(transaction, claimTimeoutMs);
    result.caseOf({
      Left: ({ kind, got }) => {
        if (kind === ErrorKind.TableConflict) (got as StoredRow[]).forEach(handleRow);
      },
      Right: (version) => {
        wonEpoch = epoch;
        recordClaim(newClaim, version);
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
      await clock.sleep(isCandidate() ? candidateCheckIntervalMs : otherCheckIntervalMs, signal);
      const cause = findClaimReason();
      if (cause === undefined || !mayClaim()) continue;
      const delayMs = claimDelayMs() + random() * maxClaimJitterMs;
      log.info('the scheduler is presumed missing', {
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
      log.info('scheduler resignation sent', {
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
