/**
 * Several processes with jobs in one test.
 */
import { makeRandom, makeVirtualClock } from '../clock/mod.ts';
import { makePlacementIndex, makePendingJobs } from '../decisions/mod.ts';
import { makeJobs } from '../dispatch/mod.ts';
import type { Jobs } from '../dispatch/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { JobRequest } from '../schema/mod.ts';
import { fakeTeam, fakeUpstream, makeFakeSettings } from './fake_fleet.ts';
import { fakeMember, makeFakeProcess } from './fake_process.ts';
import type { FakeProcess } from './fake_process.ts';
import { makeFakeTable } from './fake_table.ts';
import { makeFakeWorkers } from './fake_workers.ts';
import { makeArrivalOrder } from './first_fit.ts';

const caller = { team: 'a', queue: 'main' };

/**
 * Makes processes with jobs over fake workers and a fake table; each owns two workers in a data
 * centre of its own. `units` gives the units of the team's limit that each process holds,
 * and the first `partitionOwners` processes (0: all) own the job partitions.
 *
 * @example
 * const { submit, clock } = await makeFakeJobs({ units: [16, 16] });
 */
export async function makeFakeJobs({
  units = [16, 16],
  seed = 3,
  policy = false,
  staleOwners = false,
  partitionOwners = 0,
} = {}) {
  const owners = partitionOwners || units.length;
  const clock = makeVirtualClock();
  const random = makeRandom(seed);
  const workers = makeFakeWorkers({ clock });
  const upstreams = units.flatMap((_, i) =>
    ['a', 'b'].map((name) => fakeUpstream(`w${i}${name}`, { dataCentre: `dc${i}`, rack: `r${i}` })),
  );
  const settings = makeFakeSettings({ upstreams, teams: [fakeTeam('a', 100)] });
  const members = units.map((_, i) => fakeMember(`m${i}`));
  const store = makeFakeTable({ clock, random });
  const shared = {
    clock,
    workers,
    settings,
    members,
    handlers: new Map<string, Partial<Peer>>(),
    random,
  };
  const ownerOfWorker = (worker: string) => `m${worker[1]}`;
  /** Partitions that were read again; before, their owners are those of an earlier view. */
  const rechecked = new Set<number>();
  const ownerOfPartition = (partition: number) =>
    staleOwners && !rechecked.has(partition)
      ? `m${(partition + 1) % units.length}`
      : `m${partition % owners}`;
  const recheck = ({ partitions = [] }: { partitions?: number[] }) =>
    partitions.forEach((partition) => rechecked.add(partition));
  const processes: (FakeProcess & { jobs: Jobs })[] = [];
  for (let i = 0; i < units.length; i++) {
    const own = upstreams.slice(2 * i, 2 * i + 2);
    const one = await makeFakeProcess(shared, {
      ...(policy ? { placement: makePlacementIndex({ random }) } : {}),
      id: `m${i}`,
      upstreams: own,
      units: { a: units[i] ?? 0 },
    });
    const partitions = Array.from({ length: 64 }, (_, n) => n).filter((n) => n % owners === i);
    partitions.forEach((n) => store.put(`partitions/${n}`, { epoch: 1, owner: `m${i}` }));
    const jobs = makeJobs({
      ...one,
      ...store,
      ownership: {
        ...{ ownerOfWorker, ownerOfPartition, recheck, workers: () => [] },
        partitions: () => partitions,
        subscribe: one.ownership.subscribe,
      },
      waiting: policy ? makePendingJobs({ starvationBoundMs: 60_000 }) : makeArrivalOrder(),
      usage: { dominantShare: () => 0, weight: () => 1 },
    });
    shared.handlers.set(`m${i}`, { ...shared.handlers.get(`m${i}`), ...jobs.handlers });
    processes.push({ ...one, jobs });
  }
  await clock.advance(100);
  const [first] = processes;
  if (!first) throw new Error('no process');
  const run = async <T>(outcome: Promise<T>, ms = 100): Promise<T> => {
    await clock.advance(ms);
    return outcome;
  };
  const submit = async (request: JobRequest, requestId?: string) =>
    run(first.jobs.submit({ ...caller, ...(requestId ? { request: requestId } : {}) }, request));
  const job = async (id: string) => (await run(first.jobs.job('a', id))).unsafeCoerce();
  const running = () =>
    upstreams.flatMap(({ id }) => workers.running(id).map((task) => ({ ...task, worker: id })));
  const endAll = (state?: 'finished' | 'failed') =>
    running().forEach(({ worker, task }) => workers.end(worker, task, state));
  const close = () => processes.forEach(({ pool, jobs }) => [pool.close(), jobs.close()]);
  const used = () => processes.map(({ limits }) => limits.used('a'));
  return {
    clock,
    random,
    workers,
    settings,
    handlers: shared.handlers,
    store,
    processes,
    first,
    submit,
    job,
    running,
    endAll,
    close,
    used,
  };
}
