import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { assertTruthful, startLookups, submitUntilAccepted } from '../testing/process_load.ts';
import {
  assertFinishedOnce,
  assertInvariants,
  callerOf,
  fewLimit,
  generousMs,
  mostAtOnce,
  readStarts,
  startSmallSite,
  stopSites,
} from '../testing/small_site.ts';
import { waitFor } from './mod.ts';
import type { EntryProcess } from './mod.ts';

test('a killed process could lose batch jobs, run lookups twice or leak units of a limit', async () => {
  const deployment = await startSmallSite();
  const [killed, ...survivors] = deployment.entries as [EntryProcess, ...EntryProcess[]];
  const { entries } = deployment;
  const manyLoad = startLookups(deployment, { entries, team: 'many' });
  const fewLoad = startLookups(deployment, { entries, team: 'few', perEntry: 1 });
  const answers = Array.from({ length: 36 }, (_, i) => `batch-${i}`);
  const submissions = answers.map((answer, i) =>
    submitUntilAccepted(deployment, {
      // The first process tried rotates, so that the killed one owns a third of the jobs.
      entries: [...entries.slice(i % entries.length), ...entries.slice(0, i % entries.length)],
      team: i % 4 === 0 ? 'few' : 'many',
      answer,
      runMs: 200 + 100 * (i % 9),
    }),
  );
  await waitFor(async () => (await readStarts(deployment)).some(({ kind }) => kind === 'batch'), {
    ...{ clock: systemClock, timeoutMs: generousMs, what: 'a batch task runs' },
  });
  killed.child.process.kill('SIGKILL');
  const ids = await Promise.all(submissions);
  await deployment.waitForOwnership({ timeoutMs: generousMs });
  await Promise.all(
    ids.map((id, i) => {
      const entry = survivors[i % survivors.length] as EntryProcess;
      const team = i % 4 === 0 ? 'few' : 'many';
      const caller = callerOf(deployment, { entry, team });
      return caller.waitForState(id, ['finished', 'failed', 'cancelled'], {
        timeoutMs: generousMs,
      });
    }),
  );
  await Promise.all([manyLoad.stop(), fewLoad.stop()]);
  const starts = await readStarts(deployment);
  assert.is(new Set(ids).size, answers.length);
  assertFinishedOnce(starts, answers);
  assertTruthful([...manyLoad.sent, ...fewLoad.sent], starts);
  const maxRunning = mostAtOnce(starts.filter(({ team }) => team === 'few'));
  assert.ok(maxRunning <= fewLimit, `${maxRunning} tasks of team few ran at once`);
  const broken = [...manyLoad.sent, ...fewLoad.sent].filter(
    (lookup) => lookup.broken !== undefined,
  );
  assert.ok(
    broken.every(({ entry }) => entry === killed),
    'only lookups to the killed process may fail',
  );
  await assertInvariants(deployment, survivors);
});

test.after(stopSites);
test.run();
