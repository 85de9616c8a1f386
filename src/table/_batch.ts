/**
 * Merges queued mutations into one transaction and splits its result into one commit per mutation.
 */
import type { Failure } from '../errors/mod.ts';
import type { Check, Commit, Row, Transaction, Write } from '../schema/mod.ts';
import { getTouchedKeys } from './_queue_entry.ts';
import type { QueueEntry } from './_queue_entry.ts';

/** The member row as the writer last wrote or read it. */
export interface MemberRow {
  key: string;
  version: number;
  value: Record<string, unknown>;
}

/** A transaction merged from queue entries. */
export interface Batch {
  transaction: Transaction;
  entries: QueueEntry[];
  /** Value of the member row once the transaction has committed; undefined for a leave. */
  memberValue: Record<string, unknown> | undefined;
  /** True once a response was lost, so that the transaction may have committed. */
  isUncertain: boolean;
  /** Set when an attempt was rejected with a conflict; no attempt can commit after that. */
  conflict?: Failure;
  /** Empty transaction that advances the member row, so that this batch cannot commit later. */
  advance?: Transaction;
}

/**
 * Removes the mutations of the next transaction from the queue, in order.
 *
 * No other mutation of the batch may write or check a key that one of them writes. Otherwise two
 * mutations could both commit although each one changes a row that the other one checks.
 */
export function takeBatchEntries(queue: QueueEntry[], maxRows: number): QueueEntry[] {
  const writtenKeys = new Set<string>();
  const checkedVersions = new Map<string, number>();
  const batch: QueueEntry[] = [];
  // Every transaction writes the member row.
  let rowCount = 1;
  const canAdd = ({ mutation, isAlone }: QueueEntry) => {
    if (isAlone || batch.some((other) => other.isAlone)) return batch.length === 0;
    const keys = getTouchedKeys(mutation);
    const newRowCount = keys.filter(
      (key) => !writtenKeys.has(key) && !checkedVersions.has(key),
    ).length;
    if (batch.length > 0 && rowCount + newRowCount > maxRows) return false;
    return (
      mutation.writes.every(({ key }) => !writtenKeys.has(key) && !checkedVersions.has(key)) &&
      mutation.checks.every(
        ({ key, version }) =>
          !writtenKeys.has(key) && (checkedVersions.get(key) ?? version) === version,
      )
    );
  };
  const queued = queue.splice(0);
  // A mutation that stays in the queue blocks later ones on the same rows.
  const blockedKeys = new Set<string>();
  queued.forEach((entry) => {
    const keys = getTouchedKeys(entry.mutation);
    if (keys.some((key) => blockedKeys.has(key)) || !canAdd(entry)) {
      keys.forEach((key) => blockedKeys.add(key));
      queue.push(entry);
      return;
    }
    rowCount += keys.filter((key) => !writtenKeys.has(key) && !checkedVersions.has(key)).length;
    entry.mutation.checks.forEach(({ key, version }) => checkedVersions.set(key, version));
    entry.mutation.writes.forEach(({ key }) => writtenKeys.add(key));
    batch.push(entry);
  });
  return batch;
}

/**
 * Merges queue entries with the check and the write of the member row.
 *
 * A mutation that writes the member row replaces only the given fields.
 */
export function makeBatch(
  entries: QueueEntry[],
  {
    member,
    operation,
    isLeave = false,
  }: { member: MemberRow; operation: string; isLeave?: boolean },
): Batch {
  const checks = new Map<string, Check>();
  const writes: Write[] = [];
  const reads = new Set<string>();
  const versions = new Set<string>();
  const sequence = Number(member.value.sequence ?? 0) + 1;
  const memberValue = { ...member.value };
  entries.forEach(({ mutation }) => {
    mutation.checks.forEach((check) => checks.set(check.key, check));
    mutation.reads.forEach((key) => reads.add(key));
    mutation.versions.forEach((key) => versions.add(key));
    mutation.writes.forEach((write) => {
      if (write.key === member.key) Object.assign(memberValue, write.value);
      else writes.push(write);
    });
  });
  Object.assign(memberValue, { sequence, operation });
  checks.set(member.key, { key: member.key, version: member.version });
  writes.push(isLeave ? { key: member.key } : { key: member.key, value: memberValue });
  return {
    transaction: {
      operation,
      checks: [...checks.values()],
      writes,
      reads: [...reads],
      ...(versions.size > 0 ? { versions: [...versions] } : {}),
    },
    entries,
    memberValue: isLeave ? undefined : memberValue,
    isUncertain: false,
  };
}

/** Returns the part of a commit that belongs to one mutation, with the member row's version. */
export function extractCommit(commit: Commit, { mutation }: QueueEntry, memberKey: string): Commit {
  const keys = [...mutation.writes.map(({ key }) => key), memberKey];
  const versions = Object.fromEntries(
    keys.flatMap((key) => {
      const version = commit.versions[key];
      return version === undefined ? [] : [[key, version] as const];
    }),
  );
  const requestedKeys = new Set([...mutation.reads, ...mutation.versions]);
  return { versions, rows: commit.rows.filter(({ key }) => requestedKeys.has(key)) };
}

/**
 * Rebuilds the commit of a transaction that is known to have committed from rows read afterwards.
 *
 * `versions` omits a row that no longer has the written value: its version comes from another
 * write, and the caller must not use it in a check.
 */
export function rebuildCommit({ transaction }: Batch, rows: Row[]): Commit {
  const rowsByKey = new Map(rows.map((row) => [row.key, row]));
  const versions: Record<string, number> = {};
  transaction.writes.forEach(({ key, value }) => {
    const row = rowsByKey.get(key);
    const isUnchanged = toCanonicalJson(row?.value) === toCanonicalJson(value);
    if (row && isUnchanged) versions[key] = row.version;
  });
  const requestedKeys = new Set([...transaction.reads, ...(transaction.versions ?? [])]);
  return { versions, rows: rows.filter(({ key }) => requestedKeys.has(key)) };
}

function toCanonicalJson(value: unknown): string {
  return (
    JSON.stringify(value, (_key, child: unknown) =>
      child !== null && typeof child === 'object' && !Array.isArray(child)
        ? Object.fromEntries(Object.entries(child).sort(([a], [b]) => (a < b ? -1 : 1)))
        : child,
    ) ?? ''
  );
}
