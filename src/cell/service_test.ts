import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { WorkerClient, WorkerEntry } from '../model/mod.ts';
import { acceptedJob, stepSpec, workerEntry } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { TransactionOutcome } from '../testing/fake_store.ts';
import { makeClaimedTerm, withDelayedWatch } from '../testing/fake_term.ts';
import { neverSettled } from '../testing/fake_worker_link.ts';
import { acceptedRow } from './rows.ts';
import { SubmitResult } from './service.ts';
import type { SchedulerTerm } from './term.ts';

const test = suite('cell service');

async function withTerm(
  run: (term: SchedulerTerm, store: ReturnType<typeof makeFakeStore>) => Promise<void>,
  { workers = [] }: { workers?: WorkerEntry[] } = {},
): Promise<void> {
  const inner = makeFakeStore();
  const rows = workers.map(({ id }) => ({ table: 'servers', part: '', key: id, value: '' }));
  await inner.transact({ expected: [], writes: rows, deletes: [] });
  const term = await makeClaimedTerm(withDelayedWatch(inner), {
    decodeWorker: ({ key }) => workers.find(({ id }) => id === key),
    workers: { renewLease: () => neverSettled } as Partial<WorkerClient> as WorkerClient,
  });
  assert.is(
    await term.service.submit(acceptedJob('early', [stepSpec()])),
    SubmitResult.NotTaken,
    'no job is accepted before the jobs are loaded',
  );
  const running = term.run();
  while (term.service.getStoredState('first') === undefined) {
    await term.service.submit(acceptedJob('first', [stepSpec()]));
    await systemClock.sleep(2);
  }
  try {
    await run(term, inner);
  } finally {
    term.stop();
    await running;
  }
}

test('a job reported as stored is in the store, and submitting it twice adds one job', () =>
  withTerm(async ({ service }, store) => {
    const job = acceptedJob('a1', [stepSpec()]);
    const both = await Promise.all([service.submit(job), service.submit(job)]);
    assert.equal(both, [SubmitResult.Stored, SubmitResult.Stored]);
    const { table, key } = acceptedRow('a1');
    assert.is(JSON.parse(store.getValue(table, key)!).id, 'a1');
    assert.is(service.getStoredState('a1'), 'queued');
    assert.is(service.getStoredState('a2'), undefined);
  }));

test('a cancelled job is shown as cancelled only once its cancellation is stored', () =>
  withTerm(async ({ service }, store) => {
    await service.submit(acceptedJob('a1', [stepSpec()]));
    let outcome: TransactionOutcome = 'rejected';
    store.setOutcome(() => outcome);
    const cancelling = service.cancel('a1');
    await systemClock.sleep(30);
    assert.is(service.getStoredState('a1'), 'queued');
    outcome = 'done';
    assert.is(await cancelling, true);
    assert.is(service.getStoredState('a1'), 'cancelled');
    assert.is(await service.cancel('unknown'), false);
  }));

// Guards against a job that is accepted and waits for ever.
test('a job that no worker could run is refused and not stored', () =>
  withTerm(
    async ({ service }, store) => {
      const large = acceptedJob('a1', [stepSpec({ cpu: 8_001 })]);
      assert.is(await service.submit(large), SubmitResult.Overloaded);
      assert.is(store.getValue(acceptedRow('a1').table, acceptedRow('a1').key), undefined);
      assert.is(await service.submit(acceptedJob('a2', [stepSpec()])), SubmitResult.Stored);
    },
    { workers: [workerEntry('w1', { cpu: 8_000 })] },
  ));

test('a failing store leaves the result unknown, and then no further job is accepted', () =>
  withTerm(async ({ service }, store) => {
    store.setOutcome(() => 'rejected');
    assert.is(await service.submit(acceptedJob('a1', [stepSpec()])), SubmitResult.Unknown);
    assert.is(await service.submit(acceptedJob('a2', [stepSpec()])), SubmitResult.NotTaken);
    assert.ok(service.storeFailingMs() > 0);
  }));

test('a job that is being stored is not refused when it is submitted again', () =>
  withTerm(async ({ service }, store) => {
    store.setOutcome(() => 'rejected');
    const job = acceptedJob('a1', [stepSpec()]);
    assert.is(await service.submit(job), SubmitResult.Unknown);
    assert.is(await service.submit(job), SubmitResult.Unknown);
  }));

test.run();
