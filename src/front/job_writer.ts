/**
 * Writes the rows of jobs that this process stores itself, because no scheduler answers.
 *
 * Load answered: a slow store without a scheduler. A part of the store carries out one transaction
 * after the other, so rows of the same part are written together, one transaction at a time.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { makeBatcher } from '../batches/mod.ts';
import type { Batcher } from '../batches/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { RowKey, Store, StoredRow } from '../model/mod.ts';

/** A row that is to be written if it does not exist. */
export interface NewRow extends RowKey {
  value: string;
}

/** Whether a row was written, or was there before. */
export const Written = {
  New: 'new',
  Known: 'known',
} as const;

/** One of the values of {@link Written}. */
export type Written = (typeof Written)[keyof typeof Written];

type RowResult = Either<Failure, Written>;

/** Writes rows. */
export interface JobWriter {
  /**
   * Writes a row unless it exists; fails with `table-unavailable` (not written) or `table-unknown` (it
   * may have been written).
   */
  write(row: NewRow): Promise<RowResult>;
}

/** As many rows of the largest size as a transaction takes. */
const maxRowsPerTransaction = 15;

function withoutResult(): RowResult {
  return Left(makeFailure(ErrorKind.TableUnknown, 'the transaction had no result'));
}

/** The rows that are not among those that a conflict has shown to exist. */
function withoutKnown(rows: NewRow[], { got }: Failure): NewRow[] {
  const existing = (got as StoredRow[]).filter(({ version, deleted }) => version > 0 && !deleted);
  const known = new Set(existing.map(({ key }) => key));
  return rows.filter(({ key }) => !known.has(key));
}

/**
 * Makes the writer.
 *
 * @example
 * const writer = makeJobWriter(store, log);
 * const result = await writer.write({ ...jobRow(id), value: JSON.stringify(job) });
 */
export function makeJobWriter(store: Store, log: Logger): JobWriter {
  const lanes = new Map<string, Batcher<NewRow, RowResult>>();

  async function writeAll(rows: NewRow[]): Promise<Either<Failure, void>> {
    const result = await store.transact({
      expected: rows.map((row) => ({ ...row, version: 0 })),
      writes: rows,
      deletes: [],
    });
    return result.map(() => undefined);
  }

  /** Writes those rows that do not exist; the results are by key. */
  async function writeMissing(rows: NewRow[]): Promise<Map<string, RowResult>> {
    const results = new Map<string, RowResult>();
    let missing = rows;
    while (missing.length > 0) {
      const outcome = await writeAll(missing);
      const problem = outcome.swap().toMaybe().extract();
      if (problem?.kind !== ErrorKind.TableConflict) {
        missing.forEach(({ key }) =>
          results.set(
            key,
            outcome.map(() => Written.New),
          ),
        );
        return results;
      }
      const rest = withoutKnown(missing, problem);
      missing
        .filter((row) => !rest.includes(row))
        .forEach(({ key }) => results.set(key, Right(Written.Known)));
      // A conflict that names none of the rows cannot be resolved.
      if (rest.length === missing.length) return results;
      missing = rest;
    }
    return results;
  }

  function laneOf(part: string): Batcher<NewRow, RowResult> {
    let lane = lanes.get(part);
    if (!lane) {
      lane = makeBatcher({
        async send(rows) {
          const distinct = [...new Map(rows.map((row) => [row.key, row])).values()];
          const results = await writeMissing(distinct);
          return rows.map(({ key }) => results.get(key) ?? withoutResult());
        },
        fallback: withoutResult(),
        onError: logFailure(log, 'writing the rows of jobs'),
        maxInFlight: 1,
        maxRequests: maxRowsPerTransaction,
      });
      lanes.set(part, lane);
    }
    return lane;
  }

  return { write: (row) => laneOf(row.part).submit(row) };
}
