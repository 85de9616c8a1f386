import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import {
  acceptedJob,
  cellWith,
  configuration,
  queue,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decide } from './decide.ts';
import { pressureOf } from './pressure.ts';
import { isBeyondShare, takeShare } from './shares.ts';

const test = suite('shares');

test('an organisation that sends many times its share costs the others nothing', () => {
  const urgent = queue();
  const config = configuration([urgent], {
    organisations: ['hot', 'calm'].map((name) => ({
      name,
      keys: [],
      weight: 2,
      upperLimit: { cpu: 0, memoryMb: 0, gpu: 0 },
    })),
  });
  const state = cellWith(1, 4_000);
  for (let index = 0; index < 20; index++) {
    submit(state, acceptedJob(`hot${index}`, [stepSpec()], { organisation: 'hot' }), index, 2);
  }
  submit(state, acceptedJob('calm1', [stepSpec()], { organisation: 'calm' }), 20, 2);
  submit(state, acceptedJob('calm2', [stepSpec()], { organisation: 'calm' }), 21, 2);
  const { starts } = decide(state, {
    nowMs: 22,
    wallMs: 0,
    configuration: config,
    evacuated: new Set(),
    orderDelayMs: 0,
  });
  const started = starts.map(({ step }) => step.job.accepted.id).sort();
  assert.equal(started, ['calm1', 'calm2', 'hot0', 'hot1']);
});

test('a share is saved up for a second and no longer', () => {
  const accounts = new Map();
  const mill = { organisation: 'mill', weight: 3 };
  const takes = [1, 2, 3, 4].map(() => takeShare(accounts, mill, 0));
  assert.equal(takes, [true, true, true, false]);
  assert.ok(isBeyondShare(accounts, mill, 100));
  assert.not.ok(isBeyondShare(accounts, mill, 400));
  const later = [1, 2, 3, 4].map(() => takeShare(accounts, mill, 60_000));
  assert.equal(later, [true, true, true, false]);
});

test('what is beyond a share is refused only while its queue is busy', () => {
  const config = configuration([queue()]);
  config.organisations[0]!.weight = 1;
  const state = cellWith(1, 1_000);
  submit(state, acceptedJob('a', [stepSpec()]), 0, 1);
  submit(state, acceptedJob('b', [stepSpec()]), 0, 1);
  const early = pressureOf(state, config, 10);
  assert.equal(early, { busyQueues: [], beyondShare: ['mill'] });
  assert.equal(pressureOf(state, config, 2_000).busyQueues, ['batch']);
});

test.run();
