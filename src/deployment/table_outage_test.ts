import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { Job } from '../schema/mod.ts';
import { assertTruthful, startLookups, submitUntilAccepted } from '../testing/process_load.ts';
import type { SentLookup } from '../testing/process_load.ts';
import {
  assertFinishedOnce,
  assertInvariants,
  callerOf,
  generousMs,
  readStarts,
  scanTable,
  startSmallSite,
  stopSites,
} from '../testing/small_site.ts';
import type { CallerResponse, Deployment, EntryProcess } from './mod.ts';
import { waitFor } from './mod.ts';

// Longer than the 10 s that an accepted job may wait for its commit.
const outageMs = 15_000;
const waitOptions = { clock: systemClock, timeoutMs: generousMs };
const endStates = ['finished', 'failed', 'cancelled'];
let deployment: Deployment;
// Lookups sent during the outage, `sentAt` counted from its start; checked by the next test.
const outage: { lookups: SentLookup[] } = { lookups: [] };

const isTableUp = () =>
  scanTable(deployment, 'head').then(
    () => true,
    () => false,
  );

test.before(async () => {
  deployment = await startSmallSite();
});

function assertNotRun({ status, body }: CallerResponse): void {
  const { kind, ran } = body.error as { kind: string; ran: string };
  assert.equal({ status, kind, ran }, { status: 503, kind: 'table-unavailable', ran: 'no' });
}

/** Submits one job to each process. */
function submitAtEveryEntry(entries: EntryProcess[]): Promise<CallerResponse[]> {
  return Promise.all(
    entries.map((entry, i) =>
      callerOf(deployment, { entry, team: 'many' }).submit({
        kind: 'batch',
        body: { runMs: 20, answer: `refused-${i}` },
      }),
    ),
  );
}

test('an outage of the table service could lose or repeat accepted work, or accept some in part', async () => {
  const { entries } = deployment;
  const answers = Array.from({ length: 6 }, (_, i) => `outage-${i}`);
  const ids = await Promise.all(
    answers.map((answer, i) =>
      submitUntilAccepted(deployment, {
        entries: [entries[i % entries.length] as EntryProcess],
        team: 'many',
        answer,
        runMs: 2_000 + 1_000 * i,
      }),
    ),
  );
  const haveAllStarted = async () =>
    (await readStarts(deployment)).filter(({ kind }) => kind === 'batch').length === answers.length;
  await waitFor(haveAllStarted, { ...waitOptions, what: 'all batch tasks run' });
  const load = startLookups(deployment, { entries, team: 'many' });
  const outageStartedAt = systemClock.now();
  await deployment.setStandinFaults(deployment.table, { refuseMs: outageMs });
  await waitFor(async () => !(await isTableUp()), {
    ...waitOptions,
    what: 'the table service is down',
  });
  const pendingChange = deployment.runOperator(['team', 'set', 'many', '--limit', '39']);
  const submissions = await submitAtEveryEntry(entries);
  const changeResult = await pendingChange;
  assert.not(await isTableUp(), 'the table service was up again before all requests were refused');
  await waitFor(isTableUp, { ...waitOptions, what: 'the table service is up' });
  const outageEndedAt = systemClock.now();
  await Promise.all(
    ids.map((id, i) =>
      callerOf(deployment, {
        entry: entries[i % entries.length] as EntryProcess,
        team: 'many',
      }).waitForState(id, endStates, { timeoutMs: generousMs }),
    ),
  );
  await load.stop();
  const starts = await readStarts(deployment);
  assert.ok(submissions.length > 0);
  submissions.forEach(assertNotRun);
  assert.is(changeResult.code, 1, changeResult.stderr);
  assert.match(changeResult.stderr, /table-unavailable|settings-blocked/);
  assert.not.match(changeResult.stderr, 'may have taken effect');
  assert.not(starts.some(({ answer }) => String(answer).startsWith('refused-')));
  outage.lookups = load.sent
    .filter(({ sentAt }) => sentAt >= outageStartedAt && sentAt <= outageEndedAt)
    .map((lookup) => ({ ...lookup, sentAt: lookup.sentAt - outageStartedAt }));
  assertTruthful(load.sent, starts);
  assertFinishedOnce(starts, answers);
  await assertInvariants(deployment, entries);
  const { stdout } = await deployment.runOperator(['team', 'list']);
  assert.not.match(stdout, /many\s.*39/);
});

test('an outage of the table service could stop lookups', () => {
  const failedLookups = outage.lookups
    .filter(({ result }) => result?.status !== 200)
    .map(
      ({ entry, sentAt, result, broken }) =>
        `${entry.name} after ${Math.round(sentAt)} ms: ${result?.kind ?? broken}`,
    );
  assert.ok(outage.lookups.length > 0, 'no lookups were sent during the outage');
  assert.equal(failedLookups, []);
});

test('a lost answer of the table service could make one submitted job two', async () => {
  const { entries } = deployment;
  let isSubmitting = true;
  const loseResponses = async () => {
    while (isSubmitting) {
      await deployment.setStandinFaults(deployment.table, { lose: 1 });
      await systemClock.sleep(100);
    }
    await deployment.setStandinFaults(deployment.table, { lose: 0 });
  };
  const lossLoop = loseResponses();
  const answers = Array.from({ length: 30 }, (_, i) => `lost-${i}`);
  const ids: string[] = [];
  const submitters = entries.map(async (_, entryIndex) => {
    const ownAnswers = answers.filter((__, i) => i % entries.length === entryIndex);
    const entryOrder = [...entries.slice(entryIndex), ...entries.slice(0, entryIndex)];
    for (const answer of ownAnswers) {
      ids.push(
        await submitUntilAccepted(deployment, {
          entries: entryOrder,
          team: 'many',
          answer,
          runMs: 50,
        }),
      );
    }
  });
  await Promise.all(submitters);
  isSubmitting = false;
  await lossLoop;
  const caller = callerOf(deployment, { entry: entries[0] as EntryProcess, team: 'many' });
  await Promise.all(ids.map((id) => caller.waitForState(id, endStates, { timeoutMs: generousMs })));
  const jobs = (await scanTable(deployment, 'jobs/'))
    .map(({ value }) => value as Job)
    .filter(({ request = '' }) => request.startsWith('lost-'));
  assert.equal(jobs.map(({ request }) => request).sort(), [...answers].sort());
  assert.equal(jobs.map(({ id }) => id).sort(), [...ids].sort());
  assertFinishedOnce(await readStarts(deployment), answers);
  await assertInvariants(deployment, entries);
});

test.after(stopSites);
test.run();
