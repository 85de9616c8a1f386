/**
 * In-memory copies of the job rows of the partitions that this process owns. They are loaded when a
 * partition is acquired. Writes to a job are serialised, and each one checks the version of the
 * partition's row, so that a former owner can't write.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { withTimeout } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { partitionCount } from '../ownership/mod.ts';
import type { Claim, Job, Row, Write } from '../schema/mod.ts';
import type { Table, Writer } from '../table/mod.ts';

/** Dependencies of {@link makeJobRows}. */
export interface JobRowsOptions {
  clock: Clock;
  table: Pick<Table, 'read' | 'scan'>;
  writer: Pick<Writer, 'commit' | 'isBusy'>;
  memberId: () => string;
  log: Logger;
  onJobLoaded: (job: Job) => void;
}

/** Returns the changed job, or undefined to leave it unchanged. */
export type JobChange = (job: Job) => Job | undefined;

interface PendingChange {
  change: JobChange;
  writes: Write[];
  resolve: (outcome: Either<Failure, Job>) => void;
}

interface JobEntry {
  job: Job;
  version: number;
  pending: PendingChange[];
  isWriting: boolean;
}

interface PartitionState {
  /** Version of the row `partitions/{n}`; every write of a job checks it. */
  guard: number;
  isLoaded: boolean;
}

/** The job rows of the partitions that this process owns. */
export interface JobRows {
  acquire(partition: number): Promise<void>;
  release(partition: number): void;
  /** Removes ended jobs from memory. Their rows stay stored and are read on request. */
  evict(ids: string[]): void;
  /** Loaded partitions. */
  partitions(): number[];
  get(id: string): Job | undefined;
  all(): Job[];
  owns(id: string): boolean;
  create(job: Job, requestKey?: string): Outcome<Job>;
  update(id: string, change: JobChange, writes?: Write[]): Outcome<Job>;
  read(id: string): Outcome<Job | undefined>;
}

const scanPageRows = 200;
const maxCommitRetries = 5;
const loadRetryMs = 500;
const commitTimeoutMs = 10_000;
const hashModulus = 1_000_003;

/**
 * Returns the partition of a job: a polynomial hash of its id.
 *
 * @example
 * partitionOf('j-1f3a');
 */
export function partitionOf(id: string): number {
  let hash = 0;
  for (let i = 0; i < id.length; i++) hash = (hash * 31 + id.charCodeAt(i)) % hashModulus;
  return hash % partitionCount;
}

export const jobKey = (id: string) => `jobs/${partitionOf(id)}/${id}`;
const partitionKey = (partition: number) => `partitions/${partition}`;

/**
 * Creates the job rows of a process.
 *
 * @example
 * const rows = makeJobRows({ clock, table, writer, memberId, log, onJobLoaded });
 */
export function makeJobRows(options: JobRowsOptions): JobRows {
  const { clock, table, writer, memberId, log, onJobLoaded } = options;
  const partitions = new Map<number, PartitionState>();
  const entries = new Map<string, JobEntry>();

  const readOwnerRow = async (partition: number): Outcome<Row> =>
    (await table.read([partitionKey(partition)])).chain(([row]) => {
      const owner = (row?.value as Claim | undefined)?.owner;
      if (row && owner === memberId()) return Right(row);
      return Left(makeFailure(ErrorKind.NotOwner, `partition ${partition} has another owner`));
    });

  const scanJobs = async (partition: number): Outcome<Row[]> => {
    const all: Row[] = [];
    let after: string | undefined;
    for (;;) {
      const page = await table.scan(`jobs/${partition}/`, {
        limit: scanPageRows,
        ...(after === undefined ? {} : { after }),
      });
      const rows = page.toMaybe().extract();
      if (!rows) return page;
      all.push(...rows);
      after = rows.at(-1)?.key;
      if (rows.length < scanPageRows) return Right(all);
    }
  };

  const addRow = ({ key, version, value }: Pick<Row, 'key' | 'version'> & { value?: unknown }) => {
    const job = value as Job;
    if (key !== jobKey(job.id)) return;
    entries.set(job.id, { job, version, pending: [], isWriting: false });
  };

  const loadPartition = async (partition: number, state: PartitionState): Outcome<Row[]> => {
    // The guard is read before the scan: a former owner's writes after the scan are rejected.
    const guard = await readOwnerRow(partition);
    guard.ifRight(({ version }) => Object.assign(state, { guard: version }));
    return guard.isLeft() ? guard.map(() => []) : scanJobs(partition);
  };

  const commitBatch = async (entry: JobEntry, batch: PendingChange[]): Outcome<Job> => {
    const { id } = entry.job;
    const partition = partitionOf(id);
    const guard = partitions.get(partition)?.guard;
    if (guard === undefined)
      return Left(makeFailure(ErrorKind.NotOwner, `job ${id} has another owner`));
    const next = batch.reduce((job, { change }) => change(job) ?? job, entry.job);
    const writes = batch.flatMap((pending) => pending.writes);
    if (next === entry.job && writes.length === 0) return Right(entry.job);
    const committed = await withTimeout(
      writer.commit(
        {
          checks: [
            { key: jobKey(id), version: entry.version },
            { key: partitionKey(partition), version: guard },
          ],
          writes: [{ key: jobKey(id), value: next }, ...writes],
        },
        { timeoutMs: commitTimeoutMs },
      ),
      { clock, ms: commitTimeoutMs * 2 },
    );
    if (!committed)
      return Left(makeFailure(ErrorKind.TableUnknown, 'the write was not answered in time'));
    return committed.map(({ versions }) => {
      Object.assign(entry, { job: next, version: versions[jobKey(id)] ?? entry.version + 1 });
      return next;
    });
  };

  /** Rereads the job row and the guard after a conflict or a write with an unknown outcome. */
  const refreshEntry = async (entry: JobEntry): Outcome<void> => {
    const { id } = entry.job;
    const partition = partitionOf(id);
    const guard = await readOwnerRow(partition);
    const rows = await table.read([jobKey(id)]);
    return guard.chain((row) =>
      rows.map(([found]) => {
        const state = partitions.get(partition);
        if (state) state.guard = row.version;
        if (found?.value) Object.assign(entry, { job: found.value, version: found.version });
        return undefined;
      }),
    );
  };

  const writePending = async (entry: JobEntry) => {
    if (entry.isWriting) return;
    Object.assign(entry, { isWriting: true });
    while (entry.pending.length > 0) {
      const batch = entry.pending.splice(0);
      let outcome = await commitBatch(entry, batch);
      for (let i = 0; i < maxCommitRetries && outcome.isLeft(); i++) {
        const { kind } = outcome.swap().unsafeCoerce();
        if (kind !== ErrorKind.TableConflict && kind !== ErrorKind.TableUnknown) break;
        const refreshed = await refreshEntry(entry);
        if (refreshed.isLeft()) break;
        outcome = await commitBatch(entry, batch);
      }
      const result = outcome;
      batch.forEach(({ resolve }) => resolve(result));
    }
    Object.assign(entry, { isWriting: false });
  };

  /** Polls for a job whose creation had an unknown outcome; unless loaded, it would never run. */
  const recoverCreated = async (job: Job) => {
    const state = partitions.get(partitionOf(job.id));
    for (;;) {
      await clock.sleep(loadRetryMs);
      if (!state || partitions.get(partitionOf(job.id)) !== state) return;
      const rows = writer.isBusy() ? undefined : (await table.read([jobKey(job.id)])).toMaybe();
      const [row] = rows?.orDefault([]) ?? [];
      if (row?.value && !entries.has(job.id)) {
        addRow(row);
        onJobLoaded(job);
      }
      if (row) return;
    }
  };

  const owns = (id: string) => partitions.get(partitionOf(id))?.isLoaded === true;

  const read = async (id: string): Outcome<Job | undefined> =>
    (await table.read([jobKey(id)])).map(([row]) => row?.value as Job | undefined);

  return {
    owns,
    read,
    evict: (ids) =>
      ids.forEach((id) => {
        if (entries.get(id)?.pending.length === 0) entries.delete(id);
      }),
    partitions: () => [...partitions].flatMap(([n, { isLoaded }]) => (isLoaded ? [n] : [])),
    get: (id) => (owns(id) ? entries.get(id)?.job : undefined),
    all: () => [...entries.values()].map(({ job }) => job),
    async acquire(partition) {
      const state: PartitionState = { guard: 0, isLoaded: false };
      partitions.set(partition, state);
      while (partitions.get(partition) === state) {
        const rows = await loadPartition(partition, state);
        if (partitions.get(partition) !== state) return;
        if (rows.isRight()) {
          rows.ifRight((found) => found.forEach(addRow));
          state.isLoaded = true;
          entries.forEach(({ job }) => partitionOf(job.id) === partition && onJobLoaded(job));
          return;
        }
        log.warn('Loading the jobs of a partition failed; retrying.', { partition });
        await clock.sleep(loadRetryMs);
      }
    },
    release(partition) {
      partitions.delete(partition);
      entries.forEach((_entry, id) => {
        if (partitionOf(id) === partition) entries.delete(id);
      });
    },
    async create(job, requestKey) {
      const partition = partitionOf(job.id);
      const guard = partitions.get(partition)?.guard ?? 0;
      const key = jobKey(job.id);
      const request = requestKey === undefined ? [] : [requestKey];
      const stored = await writer.commit(
        {
          checks: [
            ...[key, ...request].map((name) => ({ key: name, version: 0 })),
            { key: partitionKey(partition), version: guard },
          ],
          writes: [
            { key, value: job },
            ...request.map((name) => ({ key: name, value: { job: job.id } })),
          ],
        },
        { timeoutMs: commitTimeoutMs },
      );
      if (stored.isRight() && partitions.has(partition)) {
        stored.ifRight(({ versions }) => addRow({ key, version: versions[key] ?? 1, value: job }));
      }
      stored.ifLeft(({ kind }) => {
        if (kind === ErrorKind.TableUnknown) recoverCreated(job).catch(() => undefined);
      });
      return stored.map(() => job);
    },
    update: (id, change, writes = []) =>
      new Promise((resolve) => {
        const entry = owns(id) ? entries.get(id) : undefined;
        if (!entry) {
          resolve(Left(makeFailure(ErrorKind.NotOwner, `job ${id} is not owned by this process`)));
          return;
        }
        entry.pending.push({ change, writes, resolve });
        writePending(entry).catch((error: unknown) =>
          resolve(
            Left(
              makeFailure(ErrorKind.Internal, `the write of job ${id} failed: ${String(error)}`),
            ),
          ),
        );
      }),
  };
}
