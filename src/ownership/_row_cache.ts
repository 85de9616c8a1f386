/**
 * The rows `workers/{id}` and `partitions/{n}` as last read, with who is preferred for each.
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

/** Rows known to this process. */
export interface RowCache {
  update(rows: Row[]): void;
  applyCommit(written: { key: string; claim: Claim }[], versions: Record<string, number>): void;
  forget(key: string): void;
  get(key: string): ClaimRow | undefined;
  /** Rows of all configured workers, also of those that nobody has claimed yet. */
  workers(): ClaimRow[];
  /** Rows of workers that are no longer configured as well. */
  allWorkers(): ClaimRow[];
  partitions(): ClaimRow[];
  selectOwner(row: ClaimRow): string | undefined;
  /** Who is preferred depends on these. */
  setMembers(version: number, members: Member[]): void;
}

/**
 * Makes the store.
 *
 * @example
 * const rows = makeKnownRows({ upstreams: () => settings.current().upstreams });
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
        // Without a version somebody else has written the row since; it is read again.
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
