/**
 * Writes claims and hand-overs to the table.
 */
import type { Logger } from '../logs/mod.ts';
import type { Check } from '../schema/mod.ts';
import type { Writer } from '../table/mod.ts';
import type { RowCache } from './_row_cache.ts';
import type { ClaimRow, PlannedClaim, PlannedHandOver } from './plan.ts';

/** Writes the claim rows of one process. */
export interface ClaimWriter {
  writeClaims(planned: PlannedClaim[]): Promise<void>;
  writeHandOvers(planned: PlannedHandOver[]): Promise<void>;
}

// A write with an unknown outcome may still take effect, so the row is not used until it is known.
const commitTimeoutMs = 24 * 3_600_000;

/**
 * Creates the claim writer of a process.
 *
 * @example
 * const claimWriter = makeClaimWriter({ writer, rows, staleKeys, keysInHandOver, getSelfId, log });
 */
export function makeClaimWriter({
  writer,
  rows,
  staleKeys,
  keysInHandOver,
  getSelfId,
  log,
}: {
  writer: Writer;
  rows: RowCache;
  /** Keys of rows that must be read again before they are used. */
  staleKeys: Set<string>;
  /** Keys of rows whose hand-over is being written. */
  keysInHandOver: Set<string>;
  getSelfId: () => string;
  log: Logger;
}): ClaimWriter {
  const commit = async (
    planned: { row: ClaimRow; next: ClaimRow['claim'] }[],
    checks: Check[] = [],
  ) => {
    const selfId = getSelfId();
    const outcome = await writer.commit(
      {
        checks: [...planned.map(({ row: { key, version } }) => ({ key, version })), ...checks],
        writes: planned.map(({ row, next }) => ({ key: row.key, value: next })),
      },
      { timeoutMs: commitTimeoutMs },
    );
    if (selfId !== getSelfId()) return;
    outcome.caseOf({
      Left: () => planned.forEach(({ row }) => staleKeys.add(row.key)),
      Right: ({ versions }) =>
        rows.applyCommit(
          planned.map(({ row, next }) => ({ key: row.key, claim: next })),
          versions,
        ),
    });
  };

  return {
    async writeClaims(planned) {
      if (planned.length === 0) return;
      const formerOwners = planned.map(({ formerOwner }) => formerOwner).filter(Boolean);
      // Member ids are never reused: an absent row proves that the former owner cannot come back.
      const checks = [...new Set(formerOwners)].map((id) => ({ key: `members/${id}`, version: 0 }));
      await commit(planned, checks);
      log.debug('Claims were written.', { rows: planned.length });
    },
    async writeHandOvers(planned) {
      if (planned.length === 0) return;
      planned.forEach(({ row }) => keysInHandOver.add(row.key));
      await commit(planned);
      planned.forEach(({ row }) => keysInHandOver.delete(row.key));
      log.debug('Hand-overs were written.', { rows: planned.length });
    },
  };
}
