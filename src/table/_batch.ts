/**
 * Merges mutations into one transaction, and takes its result apart again.
 */
import type { Failure } from '../errors/mod.ts';
import type { Check, Commit, Row, Transaction, Write } from '../schema/mod.ts';
import { touchedKeys } from './_queue_entry.ts';
import type { QueueEntry } from './_queue_entry.ts';

/** The member row as the lane last wrote or read it. */
export interface MemberRow {
  key: string;
  version: number;
  value: Record<string, unknown>;
}

/** A merged transaction, with the member row as it is after it; undefined after a leave. */
export interface Batch {
  transaction: Transaction;
  entries: QueueEntry[];
  memberValue: Record<string, unknown> | undefined;
  /** True once an answer was lost. */
  isUncertain: boolean;
  /** Set when a later attempt was refused, so that none can take effect any more. */
  conflict?: Failure;
  /** The empty transaction that makes sure that this one cannot take effect later. */
  advance?: Transaction;
}

/**
 * Takes the mutations of the next transaction out of the queue, in order.
 *
 * A key that one mutation writes is touched by no other of the batch: otherwise two mutations could
 * each rely on a row that the other one changes.
 */
export function takeBatchEntries(queue: QueueEntry[], maxRows: number): QueueEntry[] {
  const writtenKeys = new Set<string>();
  const checkedVersions = new Map<string, number>();
  const batch: QueueEntry[] = [];
  // The member row is part of every transaction.
  let rows = 1;
  const canAdd = ({ mutation, isAlone }: QueueEntry) => {
    if (isAlone || batch.some((other) => other.isAlone)) return batch.length === 0;
    const keys = touchedKeys(mutation);
    const newRowCount = keys.filter(
      (key) => !writtenKeys.has(key) && !checkedVersions.has(key),
    ).length;
    if (batch.length > 0 && rows + newRowCount > maxRows) return false;
    return (
      mutation.writes.every(({ key }) => !writtenKeys.has(key) && !checkedVersions.has(key)) &&
      mutation.checks.every(
        ({ key, version }) =>
          !writtenKeys.has(key) && (checkedVersions.get(key) ?? version) === version,
      )
    );
  };
  const queued = queue.splice(0);
  // A mutation that does not fit holds back later ones on the same rows.
  const blockedKeys = new Set<string>();
  queued.forEach((entry) => {
    const keys = touchedKeys(entry.mutation);
    if (keys.some((key) => blockedKeys.has(key)) || !canAdd(entry)) {
      keys.forEach((key) => blockedKeys.add(key));
      queue.push(entry);
      return;
    }
    rows += keys.filter((key) => !writtenKeys.has(key) && !checkedVersions.has(key)).length;
    entry.mutation.checks.forEach(({ key, version }) => checkedVersions.set(key, version));
    entry.mutation.writes.forEach(({ key }) => writtenKeys.add(key));
    batch.push(entry);
  });
  return batch;
}

/**
 * Merges a batch with the check and the write of the member row.
 *
 * A write to the member row in a mutation replaces the given fields only.
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

/** The part of a commit that belongs to one mutation, and the version of the member row. */
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
 * Rebuilds the commit of a transaction that is known to have taken effect from its rows read later.
 *
 * `versions` omits a row that does not hold the written value any more: its version belongs to
 * somebody else's write, and a caller must not build on it.
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
