import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { configuration, queue } from '../testing/fake_cell.ts';
import { makeOrders } from '../testing/fake_orders.ts';
import { findStartObstacle, StartObstacle } from './_start_conditions.ts';

const test = suite('start conditions');

test('the conditions of a start are those in force when it is sent', () => {
  const { state, run } = makeOrders({});
  const worker = state.workers.get(run.workerId)!;
  const upperLimit = (cpu: number) => ({ cpu, memoryMb: 0, gpu: 0 });
  const [organisation] = configuration().organisations;
  const find = ({
    ageMs = 0,
    evacuated = [] as string[],
    service = 'ledger',
    limitCpu = 0,
    isDraining = false,
  }) => {
    worker.entry = { ...worker.entry, isDraining };
    return findStartObstacle(
      {
        state,
        clock: systemClock,
        operatorState: () => ({
          configuration: configuration([queue({ service })], {
            organisations: [{ ...organisation!, upperLimit: upperLimit(limitCpu) }],
          }),
          evacuated: new Set(evacuated),
          currentAtMs: systemClock.now() - ageMs,
        }),
      },
      run,
      worker,
    );
  };
  assert.is(find({}), undefined);
  assert.is(find({ ageMs: 2_000 }), StartObstacle.Stale);
  assert.is(find({ evacuated: ['north'] }), StartObstacle.Evacuated);
  assert.is(find({ service: 'other' }), StartObstacle.Service);
  assert.is(find({ limitCpu: 999 }), undefined, 'the task exceeds the limit alone');
  state.usage.set('mill', upperLimit(2_000));
  assert.is(find({ limitCpu: 999 }), StartObstacle.Limit);
  assert.is(find({ limitCpu: 1_999 }), StartObstacle.Limit);
  assert.is(find({ limitCpu: 2_000 }), undefined);
  assert.is(find({ isDraining: true }), StartObstacle.Draining);
});

test.run();
