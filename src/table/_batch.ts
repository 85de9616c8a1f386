/**
 * Merges mutations into one transaction, and takes its result apart again.
 */
import type { Failure } from '../errors/mod.ts';
import type { Check, Commit, Row, Transaction, Write } from '../schema/mod.ts';
import { touchedKeys } from './_queued_mutation.ts';
import type { Entry } from './_queued_mutation.ts';

/** The member row as the lane last wrote or read it. */
export interface MemberRow {
  key: string;
  version: number;
  value: Record<string, unknown>;
}

/** A merged transaction, with the member row as it is after it; undefined after a leave. */
export interface Sent {
  transaction: Transaction;
  entries: Entry[];
  after: Record<string, unknown> | undefined;
  /** True once an answer was lost. */
  uncertain: boolean;
  /** Set when a later attempt was refused, so that none can take effect any more. */
  refused?: Failure;
  /** The empty transaction that makes sure that this one cannot take effect later. */
  advance?: Transaction;
}

/**
 * Takes the mutations of the next transaction out of the queue, in order.
 *
 * A key that one mutation writes is touched by no other of the batch: otherwise two mutations could
 * each rely on a row that the other one changes.
 */
export function takeBatch(queue: Entry[], maxRows: number): Entry[] {
  const writers = new Set<string>();
  const checked = new Map<string, number>();
  const batch: Entry[] = [];
  // The member row is part of every transaction.
  let rows = 1;
  const fits = ({ mutation, alone }: Entry) => {
    if (alone || batch.some((other) => other.alone)) return batch.length === 0;
    const keys = touchedKeys(mutation);
    const fresh = keys.filter((key) => !writers.has(key) && !checked.has(key)).length;
    if (batch.length > 0 && rows + fresh > maxRows) return false;
    return (
      mutation.writes.every(({ key }) => !writers.has(key) && !checked.has(key)) &&
      mutation.checks.every(
        ({ key, version }) => !writers.has(key) && (checked.get(key) ?? version) === version,
      )
    );
  };
  const waiting = queue.splice(0);
  // A mutation that does not fit holds back later ones on the same rows.
  const held = new Set<string>();
  waiting.forEach((entry) => {
    const keys = touchedKeys(entry.mutation);
    if (keys.some((key) => held.has(key)) || !fits(entry)) {
      keys.forEach((key) => held.add(key));
      queue.push(entry);
      return;
    }
    rows += keys.filter((key) => !writers.has(key) && !checked.has(key)).length;
    entry.mutation.checks.forEach(({ key, version }) => checked.set(key, version));
    entry.mutation.writes.forEach(({ key }) => writers.add(key));
    batch.push(entry);
  });
  return batch;
}

/**
 * Merges a batch with the check and the write of the member row.
 *
 * A write to the member row in a mutation replaces the given fields only.
 */
export function merge(
  entries: Entry[],
  {
    member,
    operation,
    leaving = false,
  }: { member: MemberRow; operation: string; leaving?: boolean },
): Sent {
  const checks = new Map<string, Check>();
  const writes: Write[] = [];
  const reads = new Set<string>();
  const versions = new Set<string>();
  const sequence = Number(member.value.sequence ?? 0) + 1;
  const after = { ...member.value };
  entries.forEach(({ mutation }) => {
    mutation.checks.forEach((check) => checks.set(check.key, check));
    mutation.reads.forEach((key) => reads.add(key));
    mutation.versions.forEach((key) => versions.add(key));
    mutation.writes.forEach((write) => {
      if (write.key === member.key) Object.assign(after, write.value);
      else writes.push(write);
    });
  });
  Object.assign(after, { sequence, operation });
  checks.set(member.key, { key: member.key, version: member.version });
  writes.push(leaving ? { key: member.key } : { key: member.key, value: after });
  return {
    transaction: {
      operation,
      checks: [...checks.values()],
      writes,
      reads: [...reads],
      ...(versions.size > 0 ? { versions: [...versions] } : {}),
    },
    entries,
    after: leaving ? undefined : after,
    uncertain: false,
  };
}

/** The part of a commit that belongs to one mutation, and the version of the member row. */
export function partOf(commit: Commit, { mutation }: Entry, memberKey: string): Commit {
  const keys = [...mutation.writes.map(({ key }) => key), memberKey];
  const versions = Object.fromEntries(
    keys.flatMap((key) => {
      const version = commit.versions[key];
      return version === undefined ? [] : [[key, version] as const];
    }),
  );
  const wanted = new Set([...mutation.reads, ...mutation.versions]);
  return { versions, rows: commit.rows.filter(({ key }) => wanted.has(key)) };
}

/**
 * Rebuilds the commit of a transaction that is known to have taken effect from its rows read later.
 *
 * `versions` omits a row that does not hold the written value any more: its version belongs to
 * somebody else's write, and a caller must not build on it.
 */
export function rebuild({ transaction }: Sent, rows: Row[]): Commit {
  const byKey = new Map(rows.map((row) => [row.key, row]));
  const versions: Record<string, number> = {};
  transaction.writes.forEach(({ key, value }) => {
    const row = byKey.get(key);
    const same = canonical(row?.value) === canonical(value);
    if (row && same) versions[key] = row.version;
  });
  const wanted = new Set([...transaction.reads, ...(transaction.versions ?? [])]);
  return { versions, rows: rows.filter(({ key }) => wanted.has(key)) };
}

function canonical(value: unknown): string {
  return (
    JSON.stringify(value, (_key, part: unknown) =>
      part !== null && typeof part === 'object' && !Array.isArray(part)
        ? Object.fromEntries(Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1)))
        : part,
    ) ?? ''
  );
}
