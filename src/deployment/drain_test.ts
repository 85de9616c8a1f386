import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { assertTruthful, startLookups, submitUntilAccepted } from '../testing/process_load.ts';
import {
  assertFinishedOnce,
  assertInvariants,
  callerOf,
  generousMs,
  memberId,
  ownedBy,
  readStarts,
  scanTable,
  startSmallSite,
  stopSites,
} from '../testing/small_site.ts';
import { waitFor } from './mod.ts';
import type { EntryProcess } from './mod.ts';

const reassignmentBoundMs = 3_000;
const partitionCount = 64;
const waitOptions = { clock: systemClock, timeoutMs: generousMs };

test('a process that is stopped under load could cut requests off or leave workers without an owner', async () => {
  const deployment = await startSmallSite();
  const [leaving, ...others] = deployment.entries as [EntryProcess, ...EntryProcess[]];
  const id = await memberId(deployment, leaving);
  const workerCount = Object.keys(deployment.workers).length;
  const load = startLookups(deployment, {
    ...{ entries: deployment.entries, team: 'many', perEntry: 4, runMs: 150 },
  });
  const answers = Array.from({ length: 12 }, (_, i) => `batch-${i}`);
  const ids = await Promise.all(
    answers.map((answer, i) =>
      submitUntilAccepted(deployment, {
        entries: i % 2 === 0 ? [leaving] : others,
        team: 'many',
        answer,
        runMs: 500 + 500 * i,
      }),
    ),
  );
  leaving.child.process.kill('SIGTERM');
  const isMemberRemoved = async () =>
    (await scanTable(deployment, 'members/')).every(({ key }) => key !== `members/${id}`);
  await waitFor(isMemberRemoved, { ...waitOptions, what: 'the row of the leaving member is gone' });
  const isFullyOwned = async () => {
    const { workers, partitions } = await ownedBy(deployment, others);
    return workers.length === workerCount && partitions === partitionCount;
  };
  await waitFor(isFullyOwned, {
    ...{
      clock: systemClock,
      timeoutMs: reassignmentBoundMs,
      what: 'workers and partitions have owners',
    },
  });
  assert.is(await leaving.child.ended, 0, leaving.child.output());
  await load.stop();
  const caller = callerOf(deployment, { entry: others[0] as EntryProcess, team: 'many' });
  await Promise.all(
    ids.map((job) =>
      caller.waitForState(job, ['finished', 'failed', 'cancelled'], { timeoutMs: generousMs }),
    ),
  );
  const starts = await readStarts(deployment);
  const broken = load.sent.filter((lookup) => lookup.broken !== undefined);
  const cutOff = broken.filter((lookup) => lookup.broken !== 'ECONNREFUSED');
  assert.equal(cutOff, [], 'requests were cut off');
  assert.ok(broken.every(({ entry }) => entry === leaving));
  assertTruthful(load.sent, starts);
  assertFinishedOnce(starts, answers);
  assert.not.match(leaving.child.output(), 'An invariant was violated');
  await assertInvariants(deployment, others);
});

test.after(stopSites);
test.run();
