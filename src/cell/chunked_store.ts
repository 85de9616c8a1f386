/**
 * Stores values that are larger than a row of the store in several rows, the chunks, which are written by
 * one transaction. Rows of other tables, and values that fit into a row, are passed on unchanged.
 *
 * The first chunk has the key of the row and starts with the number of chunks. The chunks of a value have
 * the same version, since one transaction wrote them; others are left from a value that is gone.
 */
import { Either, Left, Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { RowKey, Store, StoredRow, StoreTransaction, VersionedRows } from '../model/mod.ts';
import { getRowName } from './rows.ts';

/** Settings of a chunked store. */
export interface ChunkedStoreOptions {
  /** Tables whose values may be larger than a row. */
  tables: ReadonlySet<string>;
  /** Longest value of a row, in bytes. */
  maxRowBytes: number;
}

const chunkKeyPattern = /^(.+)#(\d+)$/;
const headerPattern = /^#(\d+)\n/;
/** Room for the header in the first chunk. */
const maxHeaderBytes = 16;
/** Reads of a value whose chunks are replaced meanwhile. */
const maxReads = 3;

function chunkKey(key: string, index: number): string {
  return `${key}#${index}`;
}

function isContinuationByte(byte: number | undefined): boolean {
  return byte !== undefined && byte >= 0x80 && byte < 0xc0;
}

/** Splits a text into pieces of at most `maxBytes` in UTF-8, without splitting a character. */
function splitText(text: string, maxBytes: number): string[] {
  const bytes = Buffer.from(text, 'utf8');
  const pieces: string[] = [];
  for (let start = 0; start < bytes.length;) {
    let end = Math.min(bytes.length, start + maxBytes);
    while (isContinuationByte(bytes[end])) end -= 1;
    pieces.push(bytes.toString('utf8', start, end));
    start = end;
  }
  return pieces;
}

/**
 * Splits a value into the values of its chunks; one that fits into a row stays as it is.
 *
 * @example
 * splitValue('a long text', 65_536).length; // 1
 */
export function splitValue(value: string, maxRowBytes: number): string[] {
  if (Buffer.byteLength(value) <= maxRowBytes) return [value];
  const pieces = splitText(value, maxRowBytes - maxHeaderBytes);
  return pieces.map((piece, index) => (index === 0 ? `#${pieces.length}\n${piece}` : piece));
}

/** Returns the number of rows that a value of this size takes. */
export function countRows(bytes: number, maxRowBytes: number): number {
  return bytes <= maxRowBytes ? 1 : Math.ceil(bytes / (maxRowBytes - 2 * maxHeaderBytes));
}

/** A transaction holds a value in at most this many rows, beside those that it replaces. */
const maxRowsPerValue = 40;
/** Largest value that a transaction holds, whose values are base64. */
const maxTransactionValueBytes = 600_000;

/** Returns the size of the largest value that a transaction holds. */
export function getMaxValueBytes(maxRowBytes: number): number {
  return Math.min(maxTransactionValueBytes, maxRowsPerValue * (maxRowBytes - 2 * maxHeaderBytes));
}

function isInsert({ expected }: StoreTransaction, row: RowKey): boolean {
  return expected.some(
    ({ version, ...each }) => version === 0 && getRowName(each) === getRowName(row),
  );
}

function countChunks(value: string): number {
  return Number(headerPattern.exec(value)?.[1] ?? 1);
}

/** Joins the chunks of a row, given those after the first; undefined unless they are of one value. */
function joinChunks(row: StoredRow, others: (StoredRow | undefined)[]): StoredRow | undefined {
  if (others.some((chunk) => chunk?.version !== row.version)) return undefined;
  const first = row.value.replace(headerPattern, '');
  return { ...row, value: [first, ...others.map((chunk) => chunk!.value)].join('') };
}

function listChunkKeys(row: StoredRow): string[] {
  return Array.from({ length: countChunks(row.value) - 1 }, (_, index) =>
    chunkKey(row.key, index + 1),
  );
}

/**
 * Wraps a store so that the values in some of its tables may be larger than a row.
 *
 * @example
 * const store = makeChunkedStore(inner, { tables: new Set(['progress']), maxRowBytes: 65_536 });
 */
export function makeChunkedStore(
  inner: Store,
  { tables, maxRowBytes }: ChunkedStoreOptions,
): Store {
  /** Largest number of chunks that a row may have, for those with several that this process knows. */
  const chunkCounts = new Map<string, number>();

  function rememberChunks(row: RowKey, count: number): void {
    if (count > 1) chunkCounts.set(getRowName(row), count);
    else chunkCounts.delete(getRowName(row));
  }

  /** Lists the chunks that a value of fewer chunks leaves behind. */
  function listStaleChunks(row: RowKey, keptCount: number): RowKey[] {
    const knownCount = chunkCounts.get(getRowName(row)) ?? 1;
    const stale: RowKey[] = [];
    for (let index = Math.max(1, keptCount); index < knownCount; index++) {
      stale.push({ table: row.table, part: row.part, key: chunkKey(row.key, index) });
    }
    return stale;
  }

  function splitTransaction(change: StoreTransaction): StoreTransaction {
    const stale: RowKey[] = [];
    const writes = change.writes.flatMap((write) => {
      if (!tables.has(write.table)) return [write];
      const values = splitValue(write.value, maxRowBytes);
      if (values.length === 1 && !chunkCounts.has(getRowName(write))) return [write];
      stale.push(...listStaleChunks(write, values.length));
      // A lost response leaves open which value the store holds, so the larger number counts.
      const knownCount = chunkCounts.get(getRowName(write)) ?? 1;
      if (!isInsert(change, write)) rememberChunks(write, Math.max(values.length, knownCount));
      return values.map((value, index) => ({
        ...write,
        key: index === 0 ? write.key : chunkKey(write.key, index),
        value,
      }));
    });
    change.deletes.forEach((row) => stale.push(...listStaleChunks(row, 1)));
    return { ...change, writes, deletes: [...change.deletes, ...stale] };
  }

  function recordStored({ writes, deletes }: StoreTransaction): void {
    if (chunkCounts.size === 0) return;
    deletes.forEach((row) => chunkCounts.delete(getRowName(row)));
    writes
      .filter((row) => chunkCounts.has(getRowName(row)))
      .forEach((row) => rememberChunks(row, splitValue(row.value, maxRowBytes).length));
  }

  /** Reads the row of a key and its further chunks; `row` is undefined if there is none. */
  async function readRow(
    { table, part, key }: RowKey,
    attempt = 1,
  ): Outcome<{ row: StoredRow | undefined; version: number }> {
    const view = await inner.read({ table, part, key });
    if (view.isLeft()) return view.map(({ version }) => ({ row: undefined, version }));
    const { rows, version } = view.extract() as VersionedRows;
    const [row] = rows;
    if (!row || countChunks(row.value) === 1) return Right({ row, version });
    const reads = await Promise.all(
      listChunkKeys(row).map((each) => inner.read({ table, part, key: each })),
    );
    const chunks = Either.sequence(reads).map((views) => views.map(({ rows: [chunk] }) => chunk));
    if (chunks.isLeft()) return chunks.map(() => ({ row: undefined, version }));
    const joined = joinChunks(row, chunks.extract() as (StoredRow | undefined)[]);
    if (joined) return Right({ row: joined, version });
    if (attempt < maxReads) return readRow({ table, part, key }, attempt + 1);
    return failWith(ErrorKind.TableConflict, 'a row changes while it is read', { got: [row] });
  }

  /** Joins a row with chunks from the same view, or from the store where the view lacks them. */
  async function joinRow(row: StoredRow, chunks: Map<string, StoredRow>): Outcome<StoredRow> {
    const others = listChunkKeys(row).map((key) => chunks.get(getRowName({ ...row, key })));
    const joined = joinChunks(row, others);
    if (joined) return Right(joined);
    const reread = await readRow(row);
    return reread
      .map((found) => found.row ?? { ...row, deleted: true })
      .chainLeft((failure) =>
        // A row whose chunks are missing stays as it is, so that its reader reports it as malformed.
        failure.kind === ErrorKind.TableConflict ? Right(row) : Left(failure),
      );
  }

  async function joinRows(rows: StoredRow[]): Outcome<StoredRow[]> {
    const chunks = new Map<string, StoredRow>();
    const firsts: StoredRow[] = [];
    rows.forEach((row) => {
      if (chunkKeyPattern.test(row.key)) chunks.set(getRowName(row), row);
      else firsts.push(row);
    });
    const joined = await Promise.all(
      firsts.map((row) => {
        const count = row.deleted ? 1 : countChunks(row.value);
        rememberChunks(row, count);
        return count === 1 ? Right(row) : joinRow(row, chunks);
      }),
    );
    return Either.sequence(joined);
  }

  async function joinView(view: VersionedRows): Outcome<VersionedRows> {
    const rows = await joinRows(view.rows);
    return rows.map((joined) => ({ ...view, rows: joined }));
  }

  return {
    async transact(change, timeoutMs) {
      const result = await inner.transact(splitTransaction(change), timeoutMs);
      return result.ifRight(() => recordStored(change));
    },

    async read({ table, part, key }) {
      if (!tables.has(table))
        return inner.read({ table, part, ...(key === undefined ? {} : { key }) });
      if (key !== undefined) {
        const result = await readRow({ table, part, key });
        return result.map(({ row, version }) => ({ rows: row ? [row] : [], version }));
      }
      const view = await inner.read({ table, part });
      return view.isLeft() ? view : joinView(view.extract() as VersionedRows);
    },

    listParts: inner.listParts,

    async watch(table, options) {
      const result = await inner.watch(table, options);
      const view = result.toMaybe().extract();
      return tables.has(table) && view ? joinView(view) : result;
    },
  };
}
