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
import { noPressure, computePressure, RefusalReason, getRefusalReason } from './pressure.ts';
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

function startedBy(
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

test('an organisation that floods the queue does not take the share of another', () => {
  const state = cellWithWorkers(2, 4_000);
  for (let index = 0; index < 50; index++) {
    submit(state, acceptedJob(`hot${index}`, [stepSpec()], { organisation: 'hot' }), index);
  }
  for (let index = 0; index < 4; index++) {
    submit(state, acceptedJob(`calm${index}`, [stepSpec()], { organisation: 'calm' }), 60);
  }
  assert.equal(startedBy(state, 61), { hot: 6, calm: 2 });
});

test('room that the others leave unused is lent beyond a share', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('hot', [stepSpec({ count: 20 })], { organisation: 'hot' }));
  submit(state, acceptedJob('calm', [stepSpec()], { organisation: 'calm' }));
  assert.equal(startedBy(state, 1), { hot: 7, calm: 1 });
});

test('organisations without work do not count in the shares', () => {
  const state = cellWithWorkers(1, 4_000);
  submit(state, acceptedJob('calm', [stepSpec()], { organisation: 'calm' }));
  const shares = computeFairShares(state, twoOrganisations, state.workers.values());
  assert.equal([...shares], [['calm', 4_000]]);
});

test('what is beyond a share is refused only while the fleet is full and the queue busy', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('hot', [stepSpec({ count: 5 })], { organisation: 'hot' }));
  startedBy(state, 1);
  submit(state, acceptedJob('more', [stepSpec({ cpu: 9_000 })], { organisation: 'hot' }), 2);
  assert.equal(computePressure(state, twoOrganisations, 2_500), noPressure, 'there is room');
  submit(state, acceptedJob('calm', [stepSpec({ count: 3 })], { organisation: 'calm' }), 3);
  startedBy(state, 4);
  assert.equal(computePressure(state, twoOrganisations, 20).busyQueues, [], 'nobody has waited');
  const full = computePressure(state, twoOrganisations, 2_500);
  assert.equal(full.busyQueues, ['batch']);
  assert.equal(full.beyondShare, ['calm'], 'three of eight cores are beyond a quarter');
  const late = computePressure(state, twoOrganisations, 9_000);
  assert.equal(late.busyQueues, [], 'a job that is late anyway does not keep others out');
});

test('an organisation at its limit is refused what would wait too long, and delays no other', () => {
  const limited = {
    ...twoOrganisations,
    organisations: twoOrganisations.organisations.map((each) =>
      each.name === 'hot' ? { ...each, upperLimit: { cpu: 2_000, memoryMb: 0, gpu: 0 } } : each,
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
  assert.equal(pressure.busyQueues, [], 'what waits for a limit says nothing about room');
});

test('a lookup is not refused for batch work of its organisation that is served after it', () => {
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
    'it is served before the batch work that came earlier',
  );
  for (let index = 0; index < 8; index++) {
    submit(state, acceptedJob(`more${index}`, [stepSpec()], { inQueue: lookups }), 7);
  }
  assert.is(refusalAt(8, 'last', [stepSpec()], { inQueue: lookups }), RefusalReason.Limit);
});

test.run();
