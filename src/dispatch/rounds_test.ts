import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeFakeJobs } from '../testing/fake_jobs.ts';

test('a steady load of small lookups would starve a job that needs a whole worker', async () => {
  const fixture = await makeFakeJobs({ units: [16, 16], policy: true });
  const { first, processes, clock, running, submit, close } = fixture;
  // Lookups keep every worker partly busy: unless one is reserved, 16 processors are never free.
  const stop = new AbortController();
  const repeatLookup = async (i: number) => {
    const from = processes[i % processes.length] ?? first;
    while (!stop.signal.aborted) {
      await from.lookups.lookup({ team: 'a', queue: 'main' }, { size: { processors: 4 } });
    }
  };
  for (let i = 0; i < 14; i++) repeatLookup(i).catch(assert.unreachable);
  await clock.advance(1_000);
  const { id } = (await submit({ kind: 'batch', size: { processors: 16 } })).unsafeCoerce();
  let startedAt: number | undefined;
  for (let i = 0; i < 65 && startedAt === undefined; i++) {
    await clock.advance(1_000);
    if (running().some(({ job }) => job === id)) startedAt = clock.now();
  }
  assert.ok(startedAt !== undefined && startedAt < 61_000, 'the job starts within the bound');
  stop.abort();
  await clock.advance(3_000);
  assert.ok(first.jobs.explain(id)?.reasons.some(({ text }) => text.includes('kept free')));
  close();
});

test.run();
