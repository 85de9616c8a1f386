/**
 * The one lane through which the scheduler of a cell writes: changed rows are collected and written
 * together, one transaction at a time. Each transaction also replaces the sequence row, whose
 * version it expects; so a transaction that takes effect late, or that a deposed scheduler sends,
 * fails, and the outcome of one that was not answered can be found out by sending it again.
 */
import type { Clock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { RowKey, Store, StoreTransaction, StoredRow } from '../model/mod.ts';

/** What a row is to hold; undefined deletes it. */
export type RowSource = () => string | undefined;

/** The lane. */
export interface BatchWriter {
  /**
   * Marks a row as changed; its content is taken when the transaction is built. The transaction is
   * sent after a short delay, in which further changes join it, or at once when a flush waits.
   */
  markDirty(row: RowKey, source: RowSource, onStored?: () => void): void;
  /**
   * Resolves with true once everything marked so far is stored, with false once deposed. One that is
   * not urgent waits for the delay of the marks.
   */
  flush(options?: { isUrgent?: boolean }): Promise<boolean>;
  /** Time that a transaction takes at present, in milliseconds. */
  latencyMs(): number;
  /** Monotonic time of the last transaction that took effect. */
  lastCommitAtMs(): number;
  /**
   * Time for which the transaction under way has gone without success although it was sent again; 0
   * when no attempt has failed, however slow the store is.
   */
  failingMs(): number;
  /**
   * Time for which the store has certainly rejected all attempts of the transaction under way; 0 when
   * none was made or one of them may have taken effect.
   */
  rejectedMs(): number;
  close(): void;
}

/** Where the lane writes, and whom it tells that another scheduler has taken over. */
export interface BatchWriterOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  sequenceRow: RowKey;
  /** Version of the sequence row after the claim, and its value. */
  claimedSequence: { version: number; value: string };
  /** Unique prefix of this lane's sequence values. */
  author: string;
  onDeposed(): void;
}

const maxRowsPerTransaction = 90;
const maxBytesPerTransaction = 700_000;
/** Changes for which nobody waits are written together after this delay. */
const batchDelayMs = 20;
const retryDelayMs = 60;
const latencyWeight = 0.2;
const initialLatencyMs = 12;

/** Whether a transaction has taken effect or is to be sent again. */
type WriteOutcome = 'stored' | 'again';

interface Waiter {
  generation: number;
  isUrgent: boolean;
  resolve(isStored: boolean): void;
}

interface DirtyRow {
  row: RowKey;
  source: RowSource;
  generation: number;
  onStored?: (() => void) | undefined;
}

interface Batch {
  change: StoreTransaction;
  value: string;
  onStored: (() => void)[];
}

function getRowName({ table, part, key }: RowKey): string {
  return `${table}/${part}/${key}`;
}

/**
 * Makes the lane.
 *
 * @example
 * journal.mark({ table: 'state', part: 'c0', key: job.id }, () => JSON.stringify(progress));
 * if (await journal.flush()) sendOrders();
 */
export function makeBatchWriter(options: BatchWriterOptions): BatchWriter {
  const { store, clock, log, sequenceRow, author, onDeposed } = options;
  const dirtyRows = new Map<string, DirtyRow>();
  let sequence = { ...options.claimedSequence };
  let transactionCount = 0;
  let generation = 0;
  let waiters: Waiter[] = [];
  let isRunning = false;
  let isClosed = false;
  let delayTimer: NodeJS.Timeout | undefined;
  let latencyMs = initialLatencyMs;
  let lastCommitAtMs = clock.now();
  let transactionStartedAtMs = clock.now();
  let hasFailed = false;
  /** Time of the first attempt of the transaction under way, while all attempts were rejected. */
  let rejectedSinceMs: number | undefined;

  function resolveWaiters(): void {
    const oldestGeneration = Math.min(
      Infinity,
      ...[...dirtyRows.values()].map((entry) => entry.generation),
    );
    const ready = waiters.filter((waiter) => waiter.generation < oldestGeneration);
    waiters = waiters.filter((waiter) => waiter.generation >= oldestGeneration);
    ready.forEach(({ resolve }) => resolve(true));
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
    const change: StoreTransaction = {
      expected: [{ ...sequenceRow, version: sequence.version }],
      writes: [{ ...sequenceRow, value }],
      deletes: [],
    };
    const onStored: (() => void)[] = [];
    let rows = 0;
    let bytes = 0;
    for (const [name, entry] of dirtyRows) {
      if (rows >= maxRowsPerTransaction || bytes > maxBytesPerTransaction) break;
      dirtyRows.delete(name);
      rows += 1;
      const text = entry.source();
      if (text === undefined) change.deletes.push(entry.row);
      else change.writes.push({ ...entry.row, value: text });
      bytes += text?.length ?? 0;
      if (entry.onStored) onStored.push(entry.onStored);
    }
    return { change, value, onStored };
  }

  /** Whether a conflict shows that the transaction had taken effect; undefined when deposed. */
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
    change: StoreTransaction,
    value: string,
  ): Promise<WriteOutcome | undefined> {
    const startedAtMs = clock.now();
    const result = await store.transact(change);
    return result.caseOf<WriteOutcome | undefined>({
      Right: (version) => {
        sequence = { version, value };
        latencyMs += latencyWeight * (clock.now() - startedAtMs - latencyMs);
        return 'stored';
      },
      Left: (failure) => {
        if (failure.kind === ErrorKind.TableConflict) return resolveConflict(failure, value);
        latencyMs += latencyWeight * (clock.now() - startedAtMs - latencyMs);
        if (failure.kind === ErrorKind.TableUnavailable) rejectedSinceMs ??= startedAtMs;
        else rejectedSinceMs = undefined;
        return 'again';
      },
    });
  }

  async function writeBatch(): Promise<void> {
    const { change, value, onStored } = takeBatch();
    transactionStartedAtMs = clock.now();
    while (!isClosed) {
      const outcome = await sendTransaction(change, value);
      if (outcome === 'stored') {
        lastCommitAtMs = clock.now();
        hasFailed = false;
        rejectedSinceMs = undefined;
        onStored.forEach((notify) => notify());
        return;
      }
      if (outcome === undefined) {
        log.warn('another scheduler has written', { event: 'deposed', author });
        close();
        onDeposed();
        return;
      }
      hasFailed = true;
      change.expected = [{ ...sequenceRow, version: sequence.version }];
      await clock.sleep(retryDelayMs);
    }
  }

  async function writeBatches(): Promise<void> {
    if (isRunning || isClosed || dirtyRows.size === 0) return;
    isRunning = true;
    // Rows marked in the same turn belong to one transaction.
    await undefined;
    do {
      await writeBatch();
      if (!isClosed) resolveWaiters();
    } while (isUrgent() && !isClosed);
    isRunning = false;
    if (dirtyRows.size > 0) writeLater();
  }

  function isUrgent(): boolean {
    return dirtyRows.size > 0 && waiters.some((waiter) => waiter.isUrgent);
  }

  function writeNow(): void {
    clearTimeout(delayTimer);
    delayTimer = undefined;
    writeBatches().catch(logFailure(log, 'the journal'));
  }

  function writeLater(): void {
    if (!isClosed) delayTimer ??= setTimeout(writeNow, batchDelayMs);
  }

  return {
    markDirty(row, source, onStored) {
      if (isClosed) return;
      generation += 1;
      const name = getRowName(row);
      // A row that waits keeps its place: others wait for what was marked first.
      const queued = dirtyRows.get(name);
      dirtyRows.set(name, {
        row,
        source,
        onStored,
        generation: queued?.generation ?? generation,
      });
      if (!isRunning) writeLater();
    },
    flush({ isUrgent: isUrgentFlush = true } = {}) {
      if (isClosed) return Promise.resolve(false);
      if (dirtyRows.size === 0 && !isRunning) return Promise.resolve(true);
      return new Promise((resolve) => {
        waiters.push({ generation, resolve, isUrgent: isUrgentFlush });
        if (isUrgentFlush) writeNow();
      });
    },
    latencyMs: () => latencyMs,
    lastCommitAtMs: () => lastCommitAtMs,
    rejectedMs: () => (rejectedSinceMs === undefined ? 0 : clock.now() - rejectedSinceMs),
    failingMs: () => (hasFailed ? clock.now() - transactionStartedAtMs : 0),
    close,
  };
}
