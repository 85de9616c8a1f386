import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { RunEnd } from '../model/mod.ts';
import {
  acceptedJob,
  cellWithWorkers,
  configuration,
  decisionInputs,
  queue,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import { endRun } from './jobs.ts';
import { computePressure, getRefusalReason, noPressure, RefusalReason } from './pressure.ts';
import { computeFairShares } from './shares.ts';

const test = suite('shares');

const twoOrganisations = configuration([queue()], {
  organisations: [
    { name: 'hot', weight: 3 },
    { name: 'calm', weight: 1 },
  ].map(({ name, weight }) => ({
    name,
    keys: [],
    weight,
    upperLimit: { cpu: 0, memoryMb: 0, gpu: 0 },
  })),
});

function inputs(nowMs: number) {
  return decisionInputs({ nowMs, configuration: twoOrganisations });
}

function countStartsByOrganisation(
  state: ReturnType<typeof cellWithWorkers>,
  nowMs: number,
): Record<string, number> {
  const { starts } = decideStarts(state, inputs(nowMs));
  const counts: Record<string, number> = {};
  starts.forEach(({ step }) => {
    const { organisation } = step.job.accepted;
    counts[organisation] = (counts[organisation] ?? 0) + 1;
  });
  return counts;
}

test('an organisation that floods the queue does not use up the share of another', () => {
  const state = cellWithWorkers(2, 4_000);
  for (let index = 0; index < 50; index++) {
    submit(state, acceptedJob(`hot${index}`, [stepSpec()], { organisation: 'hot' }), index);
  }
  for (let index = 0; index < 4; index++) {
    submit(state, acceptedJob(`calm${index}`, [stepSpec()], { organisation: 'calm' }), 60);
  }
  assert.equal(countStartsByOrganisation(state, 61), { hot: 6, calm: 2 });
});

test('an organisation may exceed its share while others leave capacity unused', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('hot', [stepSpec({ count: 20 })], { organisation: 'hot' }));
  submit(state, acceptedJob('calm', [stepSpec()], { organisation: 'calm' }));
  assert.equal(countStartsByOrganisation(state, 1), { hot: 7, calm: 1 });
});

test('organisations without active jobs do not count in the shares', () => {
  const state = cellWithWorkers(1, 4_000);
  submit(state, acceptedJob('calm', [stepSpec()], { organisation: 'calm' }));
  const shares = computeFairShares(state, twoOrganisations, state.workers.values());
  assert.equal([...shares], [['calm', 4_000]]);
});

test('organisations beyond their share are refused only while the fleet is full and the queue busy', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('hot', [stepSpec({ count: 5 })], { organisation: 'hot' }));
  countStartsByOrganisation(state, 1);
  submit(state, acceptedJob('more', [stepSpec({ cpu: 9_000 })], { organisation: 'hot' }), 2);
  assert.equal(
    computePressure(state, twoOrganisations, 2_500),
    noPressure,
    'free capacity is left',
  );
  submit(state, acceptedJob('calm', [stepSpec({ count: 3 })], { organisation: 'calm' }), 3);
  countStartsByOrganisation(state, 4);
  assert.equal(
    computePressure(state, twoOrganisations, 20).busyQueues,
    [],
    'no job has waited long',
  );
  const full = computePressure(state, twoOrganisations, 2_500);
  assert.equal(full.busyQueues, ['batch']);
  assert.equal(full.beyondShare, ['calm'], 'three of eight cores exceed a share of a quarter');
  const late = computePressure(state, twoOrganisations, 9_000);
  assert.equal(late.busyQueues, [], 'a job past its objective does not make its queue busy');
});

test('an organisation at its limit is refused jobs that would wait too long; others are not affected', () => {
  const limited = {
    ...twoOrganisations,
    organisations: twoOrganisations.organisations.map((organisation) =>
      organisation.name === 'hot'
        ? { ...organisation, upperLimit: { cpu: 2_000, memoryMb: 0, gpu: 0 } }
        : organisation,
    ),
  };
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('hot', [stepSpec({ count: 2 })], { organisation: 'hot' }));
  decideStarts(state, { ...inputs(1), configuration: limited });
  const hot = acceptedJob('hot1', [stepSpec()], { organisation: 'hot' });
  assert.is(
    getRefusalReason(computePressure(state, limited, 2), hot),
    undefined,
    'nothing waits yet',
  );
  for (let index = 0; index < 8; index++) {
    submit(state, acceptedJob(`more${index}`, [stepSpec()], { organisation: 'hot' }), 2);
  }
  // Eight seconds of work wait for two cores; the objective leaves two seconds of slack.
  const pressure = computePressure(state, limited, 2_000);
  assert.is(getRefusalReason(pressure, hot), RefusalReason.Limit);
  const calm = acceptedJob('calm', [stepSpec()], { organisation: 'calm' });
  assert.is(getRefusalReason(pressure, calm), undefined);
  assert.equal(pressure.busyQueues, [], 'jobs that wait for a limit do not make their queue busy');
});

test('a lookup is not refused because of batch work of its organisation that is served later', () => {
  const lookups = queue({ name: 'lookup', priority: 0 });
  const limited = configuration([queue(), lookups], {
    organisations: [
      {
        ...configuration().organisations[0]!,
        upperLimit: { cpu: 2_000, memoryMb: 0, gpu: 0 },
      },
    ],
  });
  const state = cellWithWorkers(2, 4_000);
  const passAt = (nowMs: number) =>
    decideStarts(state, { ...inputs(nowMs), configuration: limited });
  const refusalAt = (nowMs: number, ...args: Parameters<typeof acceptedJob>) =>
    getRefusalReason(computePressure(state, limited, nowMs), acceptedJob(...args));
  submit(state, acceptedJob('running', [stepSpec({ count: 2 })]));
  const [running] = passAt(1).starts;
  for (let index = 0; index < 8; index++) {
    submit(state, acceptedJob(`batch${index}`, [stepSpec()]), 2);
  }
  // Eight seconds of batch work wait for two cores.
  assert.is(refusalAt(3, 'batch', [stepSpec()]), RefusalReason.Limit);
  assert.is(refusalAt(3, 'lookup', [stepSpec()], { inQueue: lookups }), undefined);
  submit(state, acceptedJob('lookup', [stepSpec()], { inQueue: lookups }), 4);
  endRun(state, running!, { end: RunEnd.Done, checkpoint: '' }, { maxAttempts: 2, nowMs: 5 });
  assert.equal(
    passAt(6).starts.map(({ step }) => step.job.accepted.id),
    ['lookup'],
    'it is served before batch work that was submitted earlier',
  );
  for (let index = 0; index < 8; index++) {
    submit(state, acceptedJob(`more${index}`, [stepSpec()], { inQueue: lookups }), 7);
  }
  assert.is(refusalAt(8, 'last', [stepSpec()], { inQueue: lookups }), RefusalReason.Limit);
});

test.run();
