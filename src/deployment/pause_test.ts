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
const inMs = { clock: systemClock, timeoutMs: generousMs };

test('a paused process could start tasks on workers that others own when it wakes', async () => {
  const deployment = await startSmallSite({ lease_ms: leaseMs });
  const [paused, ...others] = deployment.entries as [EntryProcess, ...EntryProcess[]];
  const formerId = await memberId(deployment, paused);
  const total = Object.keys(deployment.workers).length;
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
  const allStarted = async () =>
    (await readStarts(deployment)).filter(({ kind }) => kind === 'batch').length >= answers.length;
  await waitFor(allStarted, { ...inMs, what: 'all batch tasks run' });

  paused.child.process.kill('SIGSTOP');
  const stoppedAt = systemClock.now();
  // These wait in the socket of the paused process and reach it as it wakes.
  const waiting = Array.from({ length: 12 }, (_, i) =>
    sendLookup(deployment, {
      ...{ entry: paused, team: 'many', answer: `late-${i}`, runMs: 20, idempotent: i % 2 === 0 },
    }),
  );
  await waitFor(async () => (await ownedBy(deployment, others)).workers.length === total, {
    ...inMs,
    what: 'the others own all workers',
  });
  const pastLeaseMs = leaseMs + leaseMarginMs - (systemClock.now() - stoppedAt);
  await systemClock.sleep(Math.max(0, pastLeaseMs));
  const epochs = new Map(
    (await ownedBy(deployment, others)).workers.map(({ id, epoch }) => [id, epoch]),
  );
  const wokenAt = systemClock.wallTime();
  paused.child.process.kill('SIGCONT');
  const late = await Promise.all(waiting);
  await waitFor(
    async () => {
      const { member } = (await deployment.state(paused)) as {
        member: { id: string; phase: string };
      };
      return member.id !== formerId && member.phase === 'full';
    },
    { ...inMs, what: 'the woken process is a full member again' },
  );
  assert.is.not(await memberId(deployment, paused), formerId);
  const after = await sendLookup(deployment, {
    ...{ entry: paused, team: 'many', answer: 'after', runMs: 20, idempotent: false },
  });
  assert.is(after.result?.status, 200, JSON.stringify(after.result));
  await Promise.all(
    ids.map((id) =>
      callerOf(deployment, { entry: others[0] as EntryProcess, team: 'many' }).until(
        id,
        ['finished', 'failed', 'cancelled'],
        { timeoutMs: generousMs },
      ),
    ),
  );
  const starts = await readStarts(deployment);
  starts
    .filter(({ startedAt }) => startedAt >= wokenAt)
    .forEach(({ worker, epoch, task }) =>
      assert.ok(epoch >= (epochs.get(worker) ?? Infinity), `${task} ran under an old epoch`),
    );
  assert.ok(
    late.every(({ broken }) => broken === undefined),
    JSON.stringify(late),
  );
  assertTruthful([...late, after], starts);
  assertFinishedOnce(starts, answers);
  await assertInvariants(deployment, deployment.entries);
});

test.after(stopSites);
test.run();
