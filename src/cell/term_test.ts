import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock, systemClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { RowKey, StoredRow, WorkerClient } from '../model/mod.ts';
import type { JobRecord } from '../scheduler/mod.ts';
import { acceptedJob, configuration, stepSpec, workerEntry } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeClaimedTerm, withDelayedWatch } from '../testing/fake_term.ts';
import { maxRenewalWithoutStoreMs } from './_leases.ts';
import { acceptedRow, jobRow, progressRow } from './rows.ts';

const test = suite('term');

function isProgress({ table }: RowKey): boolean {
  return table === 'progress';
}

async function waitFor<T>(check: () => T | undefined): Promise<T> {
  for (;;) {
    const result = check();
    if (result !== undefined) return result;
    await systemClock.sleep(2);
  }
}

test('a scheduler that has not loaded its jobs does not report that none are pending', async () => {
  const inner = makeFakeStore();
  await inner.transact({
    expected: [],
    writes: [{ ...jobRow('a1'), value: JSON.stringify(acceptedJob('a1', [stepSpec()])) }],
    deletes: [],
  });
  let open: (() => void) | undefined;
  const gate = new Promise<void>((resolve) => {
    open = resolve;
  });
  const store = {
    ...inner,
    async read(query: Parameters<typeof inner.read>[0]) {
      await gate;
      return inner.read(query);
    },
  };
  const term = await makeClaimedTerm(withDelayedWatch(store));
  const running = term.run();
  const pending = () => {
    const text = inner.getValue('leadership', 'heartbeat');
    return text === undefined ? undefined : (JSON.parse(text) as { pending?: unknown });
  };
  const early = (await waitFor(pending)).pending;
  open!();
  const loaded = await waitFor(() => pending()?.pending);
  term.stop();
  await running;
  assert.is(early, undefined);
  assert.equal(loaded, { batch: 1 });
});

// Guards against an accepted job that nobody knows after a takeover, as only its end was to be stored.
test('an ended job whose progress the store rejects keeps the row of its acceptance', async () => {
  const inner = makeFakeStore();
  const store = withDelayedWatch({
    ...inner,
    transact: async (change: Parameters<typeof inner.transact>[0]) =>
      change.writes.some((row) => isProgress(row) && row.key === 'a1')
        ? failWith<number>(ErrorKind.TableRejected, 'over a limit')
        : inner.transact(change),
  });
  const term = await makeClaimedTerm(store);
  const running = term.run();
  await waitFor(() => inner.getValue('leadership', 'heartbeat'));
  const submit = (id: string) => term.service.submit(acceptedJob(id, [stepSpec()]));
  while ((await submit('a1')) !== 'stored') await systemClock.sleep(2);
  assert.is(await term.service.cancel('a1'), false);
  assert.is(await submit('b2'), 'stored', 'other jobs are served');
  await term.service.cancel('b2');
  term.stop();
  await running;
  assert.is.not(inner.getValue('accepted', 'a1'), undefined);
  assert.is(inner.getValue('accepted', 'b2'), undefined);
});

const registryTable = 'servers';

/** Stores a job with a run on worker w1, as a predecessor does, and the entries of the workers. */
async function storeRunningJob(store: ReturnType<typeof makeFakeStore>): Promise<void> {
  const progress: JobRecord = {
    state: 'running',
    occurrences: [[0, [[[0, 1, 0, 0, '', [['w1', 1, 1]]]]]]],
  };
  const entries = ['w1', 'w2'].map((key) => ({ table: registryTable, part: '', key, value: '' }));
  await store.transact({
    expected: [],
    writes: [
      { ...acceptedRow('a1'), value: JSON.stringify(acceptedJob('a1', [stepSpec()])) },
      { ...progressRow('a1'), value: JSON.stringify(progress) },
      ...entries,
    ],
    deletes: [],
  });
}

/** Workers that take 100 ms for a renewal; those that are `silent` never respond. */
function makeWorkers(clock: ReturnType<typeof makeVirtualClock>, silent: Set<string>) {
  const starts: { worker: string; atMs: number }[] = [];
  const workers: WorkerClient = {
    async start({ id }) {
      starts.push({ worker: id, atMs: clock.now() });
      return {};
    },
    stop: async () => ({}),
    async renewLease({ id }) {
      await clock.sleep(100);
      if (silent.has(id)) return Rejection.Unknown;
      return {
        clockMs: clock.now(),
        incarnationStartMs: 1,
        running: [],
        ended: [],
        hasMoreEnds: false,
      };
    },
    disconnect: () => undefined,
  };
  return { workers, starts };
}

// Guards against work of lost workers that stands still after the scheduler was lost with them.
test('a successor of a silent scheduler starts the work of an unreachable worker in time', async () => {
  const clock = makeVirtualClock();
  const store = makeFakeStore();
  await storeRunningJob(store);
  const { workers, starts } = makeWorkers(clock, new Set(['w1']));
  const term = await makeClaimedTerm(withDelayedWatch(store), {
    clock,
    workers,
    registryTable,
    decodeWorker: ({ key }: StoredRow) => workerEntry(key),
    operatorState: () => ({
      configuration: configuration(),
      evacuated: new Set(),
      currentAtMs: clock.now(),
    }),
    predecessorMayAct: true,
  });
  const running = term.run();
  await waitFor(() => store.getValue('leadership', 'heartbeat'));
  // Work must run again 14 s after the loss of its data centre, of which detection and claim take up to 3 s.
  const maxWaitMs = 11_000;
  while (clock.now() < maxWaitMs) {
    await clock.advance(100);
    await systemClock.sleep(1);
  }
  // The passes use timers of the system, which the virtual clock does not advance.
  for (let polls = 0; starts.length === 0 && polls < 200; polls += 1) await systemClock.sleep(5);
  const [first] = starts;
  term.stop();
  await running;
  assert.is(first?.worker, 'w2');
  const maxLeaseOnSlowClockMs = 6_000 * 1.02;
  assert.ok(
    first!.atMs > maxRenewalWithoutStoreMs + maxLeaseOnSlowClockMs,
    'a lease of the predecessor could last until then',
  );
});

test.run();
