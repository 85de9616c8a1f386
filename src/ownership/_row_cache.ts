/**
 * Caches the rows `workers/{id}` and `partitions/{n}` as last read, with their preferred owners.
 */
import type { Claim, Member, Row, Upstream } from '../schema/mod.ts';
import { partitionCount } from './ownership.ts';
import {
  initialClaim,
  partitionKey,
  selectPartitionOwner,
  selectWorkerOwner,
  workerKey,
} from './plan.ts';
import type { ClaimRow } from './plan.ts';

/** The claim rows that a process has read or written. */
export interface RowCache {
  /** Stores rows that are newer than the cached ones. */
  update(rows: Row[]): void;
  /** Stores written claims with the versions that the commit reports. */
  applyCommit(written: { key: string; claim: Claim }[], versions: Record<string, number>): void;
  forget(key: string): void;
  get(key: string): ClaimRow | undefined;
  /** Rows of all configured workers, including those that have never been claimed. */
  workers(): ClaimRow[];
  /** Cached rows of all workers, including those that are no longer configured. */
  allWorkers(): ClaimRow[];
  partitions(): ClaimRow[];
  /** The preferred owner of a row. */
  selectOwner(row: ClaimRow): string | undefined;
  /** Sets the members from which preferred owners are selected. */
  setMembers(version: number, members: Member[]): void;
}

/**
 * Creates an empty cache.
 *
 * @example
 * const rows = makeRowCache({ upstreams: () => settings.current().upstreams });
 */
export function makeRowCache({
  upstreams,
}: {
  upstreams: () => Record<string, Upstream>;
}): RowCache {
  const rows = new Map<string, ClaimRow>();
  let members: Member[] = [];
  let ownerCache = {
    version: -1,
    upstreams: upstreams(),
    owners: new Map<string, string | undefined>(),
  };

  const getRow = (key: string) => rows.get(key) ?? { key, version: 0, claim: initialClaim };
  const selectOwner = (key: string): string | undefined => {
    const [kind, id = ''] = key.split('/');
    if (kind === 'partitions') return selectPartitionOwner(Number(id), members);
    const upstream = upstreams()[id];
    return upstream ? selectWorkerOwner(upstream, members) : undefined;
  };
  const partitionKeys = Array.from({ length: partitionCount }, (_, n) => partitionKey(n));

  return {
    update(rowsRead) {
      rowsRead.forEach(({ key, version, value }) => {
        const cached = rows.get(key);
        if (cached && cached.version >= version) return;
        if (version > 0) rows.set(key, { key, version, claim: value as Claim });
      });
    },
    applyCommit(written, versions) {
      written.forEach(({ key, claim }) => {
        const version = versions[key];
        // A missing version means that the row has been written again since; it must be read anew.
        if (version === undefined) rows.delete(key);
        else rows.set(key, { key, version, claim });
      });
    },
    forget: (key) => {
      rows.delete(key);
    },
    get: (key) => rows.get(key),
    workers: () => Object.keys(upstreams()).map((id) => getRow(workerKey(id))),
    allWorkers: () => [...rows.values()].filter(({ key }) => key.startsWith('workers/')),
    partitions: () => partitionKeys.map(getRow),
    selectOwner({ key }) {
      if (ownerCache.upstreams !== upstreams()) {
        ownerCache = { ...ownerCache, upstreams: upstreams(), owners: new Map() };
      }
      if (!ownerCache.owners.has(key)) ownerCache.owners.set(key, selectOwner(key));
      return ownerCache.owners.get(key);
    },
    setMembers(version, currentMembers) {
      if (version === ownerCache.version) return;
      members = currentMembers;
      ownerCache = { version, upstreams: upstreams(), owners: new Map() };
    },
  };
}
