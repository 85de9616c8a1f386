/**
 * The only writer of the scheduler's rows: collects changed rows and writes them in batches, one
 * transaction at a time. Each transaction also replaces the sequence row and expects its previous
 * version. A transaction that arrives late or comes from a deposed scheduler therefore fails, and the
 * outcome of one without a response is determined by sending it again.
 *
 * A transaction that the store rejects for what it contains is not sent again as it is; `_dirty_rows.ts`
 * chooses what is sent instead.
 */
import { makeTimeMark } from '../clock/mod.ts';
import type { Clock, TimeMark } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { RowKey, Store, StoreTransaction, StoredRow } from '../model/mod.ts';
import { makeDirtyRows } from './_dirty_rows.ts';
import type { RowBatch, RowSource } from './_dirty_rows.ts';

export type { RowSource };

/** Writes changed rows to the store in batches. */
export interface BatchWriter {
  /**
   * Marks a row as changed; its content is read when the transaction is built. The transaction is
   * sent after a short delay, so that further changes join it, or at once for an urgent flush.
   */
  markDirty(row: RowKey, source: RowSource, onStored?: () => void): void;
  /** Like `markDirty` for a row that the next transaction contains, however many rows wait. */
  markDirtyFirst(row: RowKey, source: RowSource): void;
  /**
   * Resolves with true once all rows marked so far are stored, except for rows that are held back; or
   * with false once the writer is closed, the scheduler is deposed or one of `rows` is held back. A
   * flush that is not urgent does not shorten the delay of the transaction.
   */
  flush(options?: { isUrgent?: boolean; rows?: RowKey[] }): Promise<boolean>;
  /** Moving average of the time that a transaction takes, in milliseconds. */
  latencyMs(): number;
  /** Whether the store has rejected a row, which is sent again later. */
  isHeldBack(row: RowKey): boolean;
  /**
   * Monotonic time at which the last transaction that took effect was sent, moved back by the time for
   * which the machine was suspended since. A successor can have claimed at any later time.
   */
  lastCommitAtMs(): number;
  /**
   * Time since the transaction in flight was first sent, if an attempt of it has failed; 0 when none
   * has failed, however slow the store is.
   */
  failingMs(): number;
  /**
   * Time for which the store has certainly rejected all attempts of the transaction in flight; 0 when
   * there was no attempt or one of them may have taken effect.
   */
  rejectedMs(): number;
  close(): void;
}

/** Dependencies and callbacks of a {@link BatchWriter}. */
export interface BatchWriterOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  sequenceRow: RowKey;
  /** Version and value of the sequence row after the claim. */
  claimedSequence: { version: number; value: string };
  /** Unique prefix of this writer's sequence values. */
  author: string;
  onDeposed(): void;
  /** Longest value of a row, in bytes. */
  maxRowBytes: number;
}

/** Delay of a transaction that no urgent flush waits for. */
const batchDelayMs = 20;
const retryDelayMs = 60;
const latencyWeight = 0.2;
const initialLatencyMs = 12;

/** Whether a transaction has taken effect, must be sent again, or never takes effect as it is. */
type WriteOutcome = 'stored' | 'again' | 'rejected';

interface Waiter {
  generation: number;
  /** Rows that must not be held back. */
  rows: RowKey[];
  isUrgent: boolean;
  resolve(isStored: boolean): void;
}

interface Batch extends RowBatch {
  transaction: StoreTransaction;
  value: string;
}

/**
 * Makes a batch writer.
 *
 * @example
 * writer.markDirty({ table: 'state', part: 'c0', key: job.id }, () => JSON.stringify(progress));
 * if (await writer.flush()) sendOrders();
 */
export function makeBatchWriter(options: BatchWriterOptions): BatchWriter {
  const { store, clock, log, sequenceRow, author, onDeposed, maxRowBytes } = options;
  const dirtyRows = makeDirtyRows({ clock, log, maxRowBytes });
  const { isHeldBack } = dirtyRows;
  let sequence = { ...options.claimedSequence };
  let transactionCount = 0;
  let waiters: Waiter[] = [];
  let isRunning = false;
  let isClosed = false;
  let delayTimer: NodeJS.Timeout | undefined;
  let latencyMs = initialLatencyMs;
  let lastCommit = markNow();
  let transactionStartedAtMs = clock.now();
  let hasFailed = false;
  /** Start of the first attempt of the transaction in flight, while all attempts were rejected. */
  let rejectedSinceMs: number | undefined;
  let rejectionReason: unknown;

  function markNow(): TimeMark {
    const mark = makeTimeMark(clock);
    mark.record(clock.now());
    return mark;
  }

  function resolveWaiters(): void {
    const oldestGeneration = dirtyRows.oldestGeneration();
    const waiting: Waiter[] = [];
    const finished: Waiter[] = [];
    waiters.forEach((waiter) => {
      const isFinished = waiter.generation < oldestGeneration || waiter.rows.some(isHeldBack);
      (isFinished ? finished : waiting).push(waiter);
    });
    waiters = waiting;
    finished.forEach(({ rows, resolve }) => resolve(!rows.some(isHeldBack)));
  }

  function close(): void {
    isClosed = true;
    clearTimeout(delayTimer);
    waiters.forEach(({ resolve }) => resolve(false));
    waiters = [];
  }

  function takeBatch(): Batch {
    transactionCount += 1;
    const value = `${author}.${transactionCount}`;
    const batch = dirtyRows.takeBatch();
    const transaction: StoreTransaction = {
      expected: [{ ...sequenceRow, version: sequence.version }],
      writes: [{ ...sequenceRow, value }, ...batch.writes],
      deletes: batch.deletes,
    };
    return { ...batch, transaction, value };
  }

  /** Derives the outcome of a transaction from a conflict; undefined when deposed. */
  function resolveConflict({ got }: Failure, value: string): WriteOutcome | undefined {
    const current = (got as StoredRow[]).find(({ key }) => key === sequenceRow.key);
    if (!current) return undefined;
    if (current.value === value) {
      sequence = { version: current.version, value };
      return 'stored';
    }
    if (current.value === sequence.value) {
      sequence.version = current.version;
      return 'again';
    }
    return undefined;
  }

  async function sendTransaction(
    transaction: StoreTransaction,
    value: string,
  ): Promise<WriteOutcome | undefined> {
    const startedAtMs = clock.now();
    const sent = markNow();
    const result = await store.transact(transaction);
    return result.caseOf<WriteOutcome | undefined>({
      Right: (version) => {
        sequence = { version, value };
        lastCommit = sent;
        latencyMs += latencyWeight * (clock.now() - startedAtMs - latencyMs);
        return 'stored';
      },
      Left: (failure) => {
        if (failure.kind === ErrorKind.TableConflict) {
          const outcome = resolveConflict(failure, value);
          if (outcome === 'stored') lastCommit = sent;
          return outcome;
        }
        latencyMs += latencyWeight * (clock.now() - startedAtMs - latencyMs);
        if (failure.kind === ErrorKind.TableRejected) {
          rejectionReason = failure.got;
          return 'rejected';
        }
        if (failure.kind === ErrorKind.TableUnavailable) rejectedSinceMs ??= startedAtMs;
        else rejectedSinceMs = undefined;
        return 'again';
      },
    });
  }

  async function writeBatch(): Promise<void> {
    const batch = takeBatch();
    const { transaction, value } = batch;
    transactionStartedAtMs = clock.now();
    while (!isClosed) {
      const outcome = await sendTransaction(transaction, value);
      if (outcome === 'stored') {
        hasFailed = false;
        rejectedSinceMs = undefined;
        dirtyRows.handleStored(batch);
        return;
      }
      if (outcome === 'rejected') {
        hasFailed = false;
        rejectedSinceMs = undefined;
        dirtyRows.handleRejected(batch, rejectionReason);
        return;
      }
      if (outcome === undefined) {
        log.warn('another scheduler has replaced the sequence row', { event: 'deposed', author });
        close();
        onDeposed();
        return;
      }
      hasFailed = true;
      transaction.expected = [{ ...sequenceRow, version: sequence.version }];
      await clock.sleep(retryDelayMs);
    }
  }

  async function writeBatches(): Promise<void> {
    dirtyRows.releaseHeldRows();
    if (isRunning || isClosed || dirtyRows.isEmpty()) return;
    isRunning = true;
    // Rows marked in the same turn of the event loop belong to one transaction.
    await undefined;
    do {
      await writeBatch();
      if (!isClosed) resolveWaiters();
    } while (isWriteUrgent() && !isClosed);
    isRunning = false;
    if (!dirtyRows.isEmpty()) writeLater();
  }

  function isWriteUrgent(): boolean {
    return dirtyRows.hasOrdinary() && waiters.some(({ isUrgent }) => isUrgent);
  }

  function writeNow(): void {
    clearTimeout(delayTimer);
    delayTimer = undefined;
    writeBatches().catch((error: unknown) => {
      // Nothing that waits may count as stored, and nothing later can be, so the term ends.
      logFailure(log, 'the batch writer')(error);
      close();
      onDeposed();
    });
  }

  function writeLater(): void {
    if (!isClosed) delayTimer ??= setTimeout(writeNow, batchDelayMs);
  }

  return {
    markDirty(row, source, onStored) {
      if (isClosed) return;
      dirtyRows.mark(row, source, onStored);
      if (!isRunning) writeLater();
    },
    markDirtyFirst(row, source) {
      if (isClosed) return;
      dirtyRows.markFirst(row, source);
      if (!isRunning) writeLater();
    },
    flush({ isUrgent = true, rows = [] } = {}) {
      if (isClosed || rows.some(isHeldBack)) return Promise.resolve(false);
      if (!dirtyRows.hasOrdinary() && !isRunning) return Promise.resolve(true);
      return new Promise((resolve) => {
        waiters.push({ generation: dirtyRows.generation(), resolve, isUrgent, rows });
        if (isUrgent) writeNow();
      });
    },
    isHeldBack,
    latencyMs: () => latencyMs,
    lastCommitAtMs: () => lastCommit.atMs() ?? -Infinity,
    rejectedMs: () => (rejectedSinceMs === undefined ? 0 : clock.now() - rejectedSinceMs),
    failingMs: () => (hasFailed ? clock.now() - transactionStartedAtMs : 0),
    close,
  };
}
