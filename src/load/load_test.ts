import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, systemClock } from '../clock/mod.ts';
import { startServer } from '../standins/mod.ts';
import type { StandinRequest, StandinResponse } from '../standins/mod.ts';
import { planArrivals, runLoad } from './mod.ts';

const plan = { seed: 7, ratePerSecond: 200, durationMs: 500 };
const teams = [{ team: 'millers', key: 'k' }];

test('a plan depends only on its seed, so that a run can be repeated', () => {
  const fullPlan = {
    ...plan,
    durationMs: 100_000,
    mix: { lookup: 3, batch: 1 },
    teamCount: 2,
    targetCount: 3,
  };
  const first = planArrivals(fullPlan, makeRandom(7));
  assert.equal(first, planArrivals(fullPlan, makeRandom(7)));
  assert.ok(Math.abs(first.length - 20_000) < 600, `${first.length} arrivals`);
  const lookups = first.filter(({ kind }) => kind === 'lookup').length;
  assert.ok(Math.abs(lookups / first.length - 0.75) < 0.02);
});

test('lost, mixed-up and repeated responses do not count as success', async () => {
  let calls = 0;
  const handle = ({ path, json }: StandinRequest): StandinResponse => {
    calls += 1;
    if (path === '/v1/lookups' && calls % 10 === 0) {
      return { status: 200, value: { body: { answer: 'of another request' } } };
    }
    if (path === '/v1/lookups') return { status: 200, value: { body: json.body } };
    if (path === '/v1/jobs') return { status: 202, value: { id: `j${calls}` } };
    return { status: 200, value: { state: calls % 2 === 0 ? 'finished' : 'running' } };
  };
  const { address, port, faults, close } = await startServer({ clock: systemClock, handle });
  faults.lose = 3;
  const { kinds, planned } = await runLoad({
    ...{ ...plan, clock: systemClock, targets: [{ address, port }], teams, pollMs: 5 },
    ...{ mix: { lookup: 9, batch: 1 }, repeatFraction: 0.2, settleMs: 2_000 },
  });
  await close();
  const { lookup, batch } = kinds;
  assert.ok(lookup && batch && planned > 50);
  assert.is((lookup?.missing ?? 0) + (batch?.missing ?? 0), 3);
  assert.ok((lookup?.duplicates ?? 0) > 0 && (lookup?.foreign ?? 0) > 0);
  assert.is(batch?.ended.finished, batch?.statuses['202']);
  assert.ok((lookup?.answerMs.p50 ?? 0) > 0);
});

test('a slow server does not delay the arrivals, which would hide its latency', async () => {
  const handle = (): StandinResponse => ({ status: 503, value: { error: { kind: 'no-room' } } });
  const { address, port, faults, close } = await startServer({ clock: systemClock, handle });
  faults.slowMs = 200;
  const { kinds, planned, tookMs } = await runLoad({
    ...{ ...plan, clock: systemClock, targets: [{ address, port }], teams, mix: { lookup: 1 } },
  });
  await close();
  assert.equal(kinds.lookup?.errors, { 'no-room': planned });
  assert.ok(tookMs < 2_000, `${tookMs} ms`);
});

test.run();
