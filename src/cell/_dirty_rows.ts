/**
 * The rows of a batch writer that have changed since they were stored, and their choice for a transaction.
 *
 * A transaction that the store rejects for what it contains is never sent again as it is. Its rows are
 * sent in smaller transactions, and a row that is rejected alone is held back and tried again later, so
 * that it does not keep the other rows from being stored.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { RowKey, StoreTransaction } from '../model/mod.ts';
import { countRows } from './chunked_store.ts';
import { getRowName } from './rows.ts';

/** Returns the content to write to a row; undefined deletes the row. */
export type RowSource = () => string | undefined;

/** A changed row. */
export interface DirtyRow {
  row: RowKey;
  source: RowSource;
  /** Number of its first change that waits; changes are numbered in order. */
  generation: number;
  onStored?: (() => void) | undefined;
  /** It precedes the other rows. */
  isFirst?: boolean;
}

/** Rows chosen for a transaction. */
export interface RowBatch extends Pick<StoreTransaction, 'writes' | 'deletes'> {
  rows: Map<string, DirtyRow>;
}

/** The changed rows of a batch writer. */
export interface DirtyRows {
  mark(row: RowKey, source: RowSource, onStored?: () => void): void;
  /** Like `mark` for a row that the next transaction contains, however many rows wait. */
  markFirst(row: RowKey, source: RowSource): void;
  /** Number of the last change. */
  generation(): number;
  /** Whether no row waits for a transaction. */
  isEmpty(): boolean;
  /** Whether any row waits for a transaction that was not marked as first. */
  hasOrdinary(): boolean;
  /** Takes as many rows as a transaction holds. */
  takeBatch(): RowBatch;
  /** Notifies those that wait for the rows of a batch. */
  handleStored(batch: RowBatch): void;
  /** Marks the rows of a rejected transaction again, or holds back the row of one alone. */
  handleRejected(batch: RowBatch, reason: unknown): void;
  /** Marks the held rows again whose time has come. */
  releaseHeldRows(): void;
  /** Number of the oldest change that waits for a transaction. */
  oldestGeneration(): number;
  isHeldBack(row: RowKey): boolean;
}

/** Limits and dependencies of {@link makeDirtyRows}. */
export interface DirtyRowsOptions {
  clock: Clock;
  log: Logger;
  /** Longest value of a row, in bytes. */
  maxRowBytes: number;
}

const maxRowsPerTransaction = 90;
/** A call holds at most 1 MB, in which values are base64. */
const maxBytesPerTransaction = 980_000;
/** The fields of a row other than its value. */
const rowEnvelopeBytes = 150;
/** A row that the store rejects is sent again after this time; its content may have changed. */
const heldBackMs = 5_000;

/** Returns the size in a transaction of a row whose value has this size. */
function getTransactionBytes(valueBytes: number): number {
  return Math.ceil(valueBytes / 3) * 4 + rowEnvelopeBytes;
}

/**
 * Makes an empty collection of changed rows.
 *
 * @example
 * dirtyRows.mark(progressRow(id), () => JSON.stringify(progress));
 * const { writes, deletes } = dirtyRows.takeBatch();
 */
export function makeDirtyRows({ clock, log, maxRowBytes }: DirtyRowsOptions): DirtyRows {
  const ordinaryRows = new Map<string, DirtyRow>();
  const firstRows = new Map<string, DirtyRow>();
  /** Rows that the store has rejected, and when they are tried again. */
  const heldRows = new Map<string, DirtyRow & { untilMs: number }>();
  /** Fewer than the maximum while the rows of a rejected transaction are sent in smaller ones. */
  let rowLimit = maxRowsPerTransaction;
  let generation = 0;

  function restoreRows(rows: Map<string, DirtyRow>): void {
    const later = new Map(ordinaryRows);
    ordinaryRows.clear();
    rows.forEach((entry, name) => {
      if (!entry.isFirst) {
        const latest = later.get(name) ?? entry;
        ordinaryRows.set(name, { ...latest, generation: entry.generation });
      } else if (!firstRows.has(name)) {
        firstRows.set(name, entry);
      }
    });
    later.forEach((entry, name) => {
      if (!ordinaryRows.has(name)) ordinaryRows.set(name, entry);
    });
  }

  /** Holds a row back; one that precedes others is dropped, since it is marked again regularly. */
  function holdBack(name: string, entry: DirtyRow, reason: unknown): void {
    if (!entry.isFirst) {
      const latest = ordinaryRows.get(name) ?? entry;
      ordinaryRows.delete(name);
      heldRows.set(name, { ...latest, untilMs: clock.now() + heldBackMs });
    }
    const { table, part, key } = entry.row;
    log.error('the store rejects a row, which is held back', {
      event: 'row-rejected',
      table,
      part,
      key,
      bytes: Buffer.byteLength(entry.source() ?? ''),
      reason,
    });
  }

  return {
    mark(row, source, onStored) {
      generation += 1;
      const name = getRowName(row);
      const held = heldRows.get(name);
      if (held) {
        heldRows.set(name, { ...held, source, onStored });
        return;
      }
      // A row that is already dirty keeps its generation, since a flush may wait for its first mark.
      const firstGeneration = ordinaryRows.get(name)?.generation ?? generation;
      ordinaryRows.set(name, { row, source, onStored, generation: firstGeneration });
    },

    markFirst(row, source) {
      firstRows.set(getRowName(row), { row, source, generation, isFirst: true });
    },

    generation: () => generation,
    isEmpty: () => firstRows.size + ordinaryRows.size === 0,
    hasOrdinary: () => ordinaryRows.size > 0,

    takeBatch() {
      const batch: RowBatch = { writes: [], deletes: [], rows: new Map() };
      let rows = 0;
      let bytes = 0;
      for (const [name, entry] of [...firstRows, ...ordinaryRows]) {
        const text = entry.source();
        const valueBytes = Buffer.byteLength(text ?? '');
        rows += countRows(valueBytes, maxRowBytes);
        bytes += getTransactionBytes(valueBytes);
        const isFull = rows > maxRowsPerTransaction || bytes > maxBytesPerTransaction;
        if (batch.rows.size > 0 && (isFull || batch.rows.size >= rowLimit)) break;
        firstRows.delete(name);
        ordinaryRows.delete(name);
        batch.rows.set(name, entry);
        if (text === undefined) batch.deletes.push(entry.row);
        else batch.writes.push({ ...entry.row, value: text });
      }
      return batch;
    },

    handleStored({ rows }) {
      rowLimit = Math.min(maxRowsPerTransaction, rowLimit * 2);
      rows.forEach(({ onStored }) => onStored?.());
    },

    handleRejected({ rows }, reason) {
      const [first] = rows;
      if (rows.size > 1) {
        rowLimit = Math.floor(rows.size / 2);
        restoreRows(rows);
      } else if (first) {
        rowLimit = maxRowsPerTransaction;
        holdBack(...first, reason);
      }
    },

    releaseHeldRows() {
      heldRows.forEach(({ untilMs, ...entry }, name) => {
        if (untilMs > clock.now()) return;
        heldRows.delete(name);
        generation += 1;
        ordinaryRows.set(name, { ...entry, generation });
      });
    },

    oldestGeneration: () =>
      Math.min(Infinity, ...[...ordinaryRows.values()].map((entry) => entry.generation)),

    isHeldBack: (row) => heldRows.has(getRowName(row)),
  };
}
