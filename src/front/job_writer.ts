/**
 * Writes the rows of jobs that this process stores itself because no scheduler responds.
 *
 * Guards against a slow store while there is no scheduler. A partition of the store runs one transaction
 * at a time, so rows of the same partition are batched, with one transaction in flight. A row that the
 * store never takes fails alone.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { makeBatcher } from '../batches/mod.ts';
import type { Batcher } from '../batches/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { RowKey, Store, StoredRow } from '../model/mod.ts';

/** A row to be inserted unless it exists. */
export interface NewRow extends RowKey {
  value: string;
}

/** Whether a row was inserted or existed before. */
export const RowStatus = {
  New: 'new',
  Known: 'known',
} as const;

/** One of the values of {@link RowStatus}. */
export type RowStatus = (typeof RowStatus)[keyof typeof RowStatus];

type RowResult = Either<Failure, RowStatus>;

/** Inserts rows. */
export interface JobWriter {
  /**
   * Inserts a row unless it exists; fails with `table-unavailable` if it was not written, and with
   * `table-unknown` if it may have been.
   */
  write(row: NewRow): Promise<RowResult>;
}

const maxRowsPerTransaction = 15;
/** A call holds at most 1 MB, in which values are base64. */
const maxValueBytesPerTransaction = 700_000;

function makeMissingResult(): RowResult {
  return Left(makeFailure(ErrorKind.TableUnknown, 'the transaction had no result'));
}

/** Groups rows so that each group fits into a transaction. */
function groupRows(rows: NewRow[]): NewRow[][] {
  const groups: NewRow[][] = [];
  let groupBytes = Infinity;
  rows.forEach((row) => {
    const bytes = Buffer.byteLength(row.value);
    groupBytes += bytes;
    if (groupBytes > maxValueBytesPerTransaction) {
      groups.push([]);
      groupBytes = bytes;
    }
    groups.at(-1)!.push(row);
  });
  return groups;
}

/** Returns the rows without those that exist according to a conflict. */
function excludeExisting(rows: NewRow[], { got }: Failure): NewRow[] {
  const existing = (got as StoredRow[]).filter(({ version, deleted }) => version > 0 && !deleted);
  const existingKeys = new Set(existing.map(({ key }) => key));
  return rows.filter(({ key }) => !existingKeys.has(key));
}

/**
 * Makes a writer of job rows.
 *
 * @example
 * const writer = makeJobWriter(store, log);
 * const result = await writer.write({ ...jobRow(id), value: JSON.stringify(job) });
 */
export function makeJobWriter(store: Store, log: Logger): JobWriter {
  const batchersByPart = new Map<string, Batcher<NewRow, RowResult>>();

  async function insertRows(rows: NewRow[]): Promise<Either<Failure, void>> {
    const result = await store.transact({
      expected: rows.map((row) => ({ ...row, version: 0 })),
      writes: rows,
      deletes: [],
    });
    return result.map(() => undefined);
  }

  /** Inserts the rows that do not exist; returns the results by key. */
  async function insertMissingRows(rows: NewRow[]): Promise<Map<string, RowResult>> {
    const results = new Map<string, RowResult>();
    let missing = rows;
    while (missing.length > 0) {
      const outcome = await insertRows(missing);
      const failure = outcome.swap().toMaybe().extract();
      if (failure?.kind === ErrorKind.TableRejected && missing.length > 1) {
        for (const row of missing) {
          const alone = await insertMissingRows([row]);
          alone.forEach((result, key) => results.set(key, result));
        }
        return results;
      }
      if (failure?.kind !== ErrorKind.TableConflict) {
        missing.forEach(({ key }) =>
          results.set(
            key,
            outcome.map(() => RowStatus.New),
          ),
        );
        return results;
      }
      const rest = excludeExisting(missing, failure);
      missing
        .filter((row) => !rest.includes(row))
        .forEach(({ key }) => results.set(key, Right(RowStatus.Known)));
      // A conflict that names none of the rows cannot be resolved.
      if (rest.length === missing.length) return results;
      missing = rest;
    }
    return results;
  }

  function getBatcher(part: string): Batcher<NewRow, RowResult> {
    let batcher = batchersByPart.get(part);
    if (!batcher) {
      batcher = makeBatcher({
        async send(rows) {
          const distinct = [...new Map(rows.map((row) => [row.key, row])).values()];
          const results = new Map<string, RowResult>();
          for (const group of groupRows(distinct)) {
            (await insertMissingRows(group)).forEach((result, key) => results.set(key, result));
          }
          return rows.map(({ key }) => results.get(key) ?? makeMissingResult());
        },
        fallback: makeMissingResult(),
        onError: logFailure(log, 'writing job rows'),
        maxInFlight: 1,
        maxRequests: maxRowsPerTransaction,
      });
      batchersByPart.set(part, batcher);
    }
    return batcher;
  }

  return { write: (row) => getBatcher(row.part).submit(row) };
}
