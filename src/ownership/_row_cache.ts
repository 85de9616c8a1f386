/**
 * The rows `workers/{id}` and `partitions/{n}` as last read, with who is preferred for each.
 */
import type { Claim, Member, Row, Upstream } from '../schema/mod.ts';
import { partitionCount } from './ownership.ts';
import {
  partitionKey,
  preferredForPartition,
  preferredForWorker,
  unclaimed,
  workerKey,
} from './plan.ts';
import type { ClaimRow } from './plan.ts';

/** Rows known to this process. */
export interface KnownRows {
  note(rows: Row[]): void;
  noteCommit(written: { key: string; claim: Claim }[], versions: Record<string, number>): void;
  forget(key: string): void;
  get(key: string): ClaimRow | undefined;
  /** Rows of all configured workers, also of those that nobody has claimed yet. */
  workers(): ClaimRow[];
  /** Rows of workers that are no longer configured as well. */
  allWorkers(): ClaimRow[];
  partitions(): ClaimRow[];
  preferredFor(row: ClaimRow): string | undefined;
  /** Who is preferred depends on these. */
  setMembers(version: number, members: Member[]): void;
}

/**
 * Makes the store.
 *
 * @example
 * const rows = makeKnownRows({ upstreams: () => settings.current().upstreams });
 */
export function makeKnownRows({
  upstreams,
}: {
  upstreams: () => Record<string, Upstream>;
}): KnownRows {
  const rows = new Map<string, ClaimRow>();
  let members: Member[] = [];
  let ranked = { version: -1, upstreams: upstreams(), by: new Map<string, string | undefined>() };

  const rowOf = (key: string) => rows.get(key) ?? { key, version: 0, claim: unclaimed };
  const preferredFor = (key: string): string | undefined => {
    const [kind, id = ''] = key.split('/');
    if (kind === 'partitions') return preferredForPartition(Number(id), members);
    const upstream = upstreams()[id];
    return upstream ? preferredForWorker(upstream, members) : undefined;
  };
  const partitionKeys = Array.from({ length: partitionCount }, (_, n) => partitionKey(n));

  return {
    note(read) {
      read.forEach(({ key, version, value }) => {
        const known = rows.get(key);
        if (known && known.version >= version) return;
        if (version > 0) rows.set(key, { key, version, claim: value as Claim });
      });
    },
    noteCommit(written, versions) {
      written.forEach(({ key, claim }) => {
        const version = versions[key];
        // Without a version somebody else has written the row since; it is read again.
        if (version === undefined) rows.delete(key);
        else rows.set(key, { key, version, claim });
      });
    },
    forget: (key) => {
      rows.delete(key);
    },
    get: (key) => rows.get(key),
    workers: () => Object.keys(upstreams()).map((id) => rowOf(workerKey(id))),
    allWorkers: () => [...rows.values()].filter(({ key }) => key.startsWith('workers/')),
    partitions: () => partitionKeys.map(rowOf),
    preferredFor({ key }) {
      if (ranked.upstreams !== upstreams()) {
        ranked = { ...ranked, upstreams: upstreams(), by: new Map() };
      }
      if (!ranked.by.has(key)) ranked.by.set(key, preferredFor(key));
      return ranked.by.get(key);
    },
    setMembers(version, next) {
      if (version === ranked.version) return;
      members = next;
      ranked = { version, upstreams: upstreams(), by: new Map() };
    },
  };
}
