import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { assertTruthful, sendLookup, submitUntilAccepted } from '../testing/process_load.ts';
import {
  assertFinishedOnce,
  assertInvariants,
  callerOf,
  generousMs,
  memberId,
  ownedBy,
  readStarts,
  startSmallSite,
  stopSites,
} from '../testing/small_site.ts';
import { waitFor } from './mod.ts';
import type { EntryProcess } from './mod.ts';

const leaseMs = 5_000;
const leaseMarginMs = 2_000;
const waitOptions = { clock: systemClock, timeoutMs: generousMs };

test('a resumed process could start tasks on workers that others have taken over', async () => {
  const deployment = await startSmallSite({ lease_ms: leaseMs });
  const [paused, ...others] = deployment.entries as [EntryProcess, ...EntryProcess[]];
  const formerId = await memberId(deployment, paused);
  const workerCount = Object.keys(deployment.workers).length;
  const answers = Array.from({ length: 12 }, (_, i) => `batch-${i}`);
  const ids = await Promise.all(
    answers.map((answer, i) =>
      submitUntilAccepted(deployment, {
        entries: i % 2 === 0 ? [paused] : others,
        team: 'many',
        answer,
        runMs: 2_000 + 1_000 * i,
      }),
    ),
  );
  const haveAllStarted = async () =>
    (await readStarts(deployment)).filter(({ kind }) => kind === 'batch').length >= answers.length;
  await waitFor(haveAllStarted, { ...waitOptions, what: 'all batch tasks run' });

  paused.child.process.kill('SIGSTOP');
  const pausedAt = systemClock.now();
  // These lookups wait in the socket of the paused process and reach it when it resumes.
  const pendingLookups = Array.from({ length: 12 }, (_, i) =>
    sendLookup(deployment, {
      ...{ entry: paused, team: 'many', answer: `late-${i}`, runMs: 20, idempotent: i % 2 === 0 },
    }),
  );
  await waitFor(async () => (await ownedBy(deployment, others)).workers.length === workerCount, {
    ...waitOptions,
    what: 'the others own all workers',
  });
  const remainingPauseMs = leaseMs + leaseMarginMs - (systemClock.now() - pausedAt);
  await systemClock.sleep(Math.max(0, remainingPauseMs));
  const epochs = new Map(
    (await ownedBy(deployment, others)).workers.map(({ id, epoch }) => [id, epoch]),
  );
  const resumedAt = systemClock.wallTime();
  paused.child.process.kill('SIGCONT');
  const lateLookups = await Promise.all(pendingLookups);
  await waitFor(
    async () => {
      const { member } = (await deployment.fetchState(paused)) as {
        member: { id: string; phase: string };
      };
      return member.id !== formerId && member.phase === 'full';
    },
    { ...waitOptions, what: 'the resumed process is a full member again' },
  );
  assert.is.not(await memberId(deployment, paused), formerId);
  const laterLookup = await sendLookup(deployment, {
    ...{ entry: paused, team: 'many', answer: 'after', runMs: 20, idempotent: false },
  });
  assert.is(laterLookup.result?.status, 200, JSON.stringify(laterLookup.result));
  await Promise.all(
    ids.map((id) =>
      callerOf(deployment, { entry: others[0] as EntryProcess, team: 'many' }).waitForState(
        id,
        ['finished', 'failed', 'cancelled'],
        { timeoutMs: generousMs },
      ),
    ),
  );
  const starts = await readStarts(deployment);
  starts
    .filter(({ startedAt }) => startedAt >= resumedAt)
    .forEach(({ worker, epoch, task }) =>
      assert.ok(epoch >= (epochs.get(worker) ?? Infinity), `${task} ran under an outdated epoch`),
    );
  assert.ok(
    lateLookups.every(({ broken }) => broken === undefined),
    JSON.stringify(lateLookups),
  );
  assertTruthful([...lateLookups, laterLookup], starts);
  assertFinishedOnce(starts, answers);
  await assertInvariants(deployment, deployment.entries);
});

test.after(stopSites);
test.run();
