/**
 * Writing claims and hand-overs.
 */
import type { Logger } from '../logs/mod.ts';
import type { Check } from '../schema/mod.ts';
import type { Writer } from '../table/mod.ts';
import type { RowCache } from './_row_cache.ts';
import type { ClaimRow, PlannedClaim, PlannedHandOver } from './plan.ts';

/** Writes of one process. */
export interface ClaimWriter {
  writeClaims(planned: PlannedClaim[]): Promise<void>;
  writeHandOvers(planned: PlannedHandOver[]): Promise<void>;
}

// A write whose outcome is open may still take effect, so the row is not judged before it is known.
const commitTimeoutMs = 24 * 3_600_000;

/**
 * Makes the writing side of ownership.
 *
 * @example
 * const writes = makeWrites({ writer, rows, reread, moving, member, log });
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
  /** Rows to read again before they are used. */
  staleKeys: Set<string>;
  /** Rows whose hand-over is being written. */
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
      // Ids are never used again: an absent row proves that the former owner has gone for good.
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
