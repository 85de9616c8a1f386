import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { entitlements, makeShareView, planReclaim } from './mod.ts';
import type { DigestRecord, ReclaimableTask } from './mod.ts';

test('idle share that is not lent would leave the fleet idle', () => {
  const parts = entitlements([
    { team: 'a', weight: 3, demand: 0.1 },
    { team: 'b', weight: 1, demand: 5 },
    { team: 'c', weight: 1, demand: 0.2 },
  ]);
  assert.is(parts.get('a'), 0.1);
  assert.is(parts.get('c'), 0.2);
  assert.ok(Math.abs((parts.get('b') ?? 0) - 0.7) < 1e-9);
});

function lent(task: string, changes: Partial<ReclaimableTask>): ReclaimableTask {
  return {
    task,
    team: 'rich',
    share: 0.05,
    startedAt: 0,
    checkpoint: true,
    service: false,
    ...changes,
  };
}

test('a reclaim beyond the surplus, or of a service, would take what a team is entitled to', () => {
  const plan = planReclaim({
    tasks: [
      lent('service', { service: true, startedAt: 9 }),
      lent('old', { startedAt: 1 }),
      lent('new', { startedAt: 5 }),
      lent('hard', { checkpoint: false, startedAt: 8 }),
      lent('own', { team: 'poor' }),
    ],
    needy: [{ team: 'poor', missing: 0.4 }],
    used: (team) => (team === 'rich' ? 0.5 : 0.1),
    entitled: () => 0.4,
  });
  assert.equal(
    plan.map(({ task, mode }) => [task, mode]),
    [['new', 'checkpoint']],
  );
});

test('a dead process would stay in the share digest for ever', () => {
  const views = [makeShareView(['a', 'b']), makeShareView(['a', 'b']), makeShareView(['a', 'b'])];
  views.forEach((view, i) => view.setOwn('a', 0.1 * (i + 1)));
  const takeTurns = (members: number, membership: number, from?: DigestRecord) =>
    [...views.slice(0, members), ...views.slice(0, members)].reduce<DigestRecord | undefined>(
      (record, view) => view.contribute(record, { membership, settings: 1, members }),
      from,
    );
  const share = (i: number) => views[i]?.dominantShare('a') ?? 0;
  const full = takeTurns(3, 1);
  if (full) views[0]?.observe(full);
  assert.ok(Math.abs(share(0) - 0.6) < 0.002, String(share(0)));
  // The third process dies; the others begin a new record for the new membership.
  const rest = takeTurns(2, 2, full);
  if (rest) views[0]?.observe(rest);
  assert.ok(Math.abs(share(0) - 0.3) < 0.002, String(share(0)));
  assert.is(rest?.units.length, 4);
});

test.run();
