import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { computeEntitlements, makeShareView, planReclaim } from './mod.ts';
import type { DigestRecord, ReclaimableTask } from './mod.ts';

test('an unused share is lent, so that the fleet does not idle', () => {
  const parts = computeEntitlements([
    { team: 'a', weight: 3, demand: 0.1 },
    { team: 'b', weight: 1, demand: 5 },
    { team: 'c', weight: 1, demand: 0.2 },
  ]);
  assert.is(parts.get('a'), 0.1);
  assert.is(parts.get('c'), 0.2);
  assert.ok(Math.abs((parts.get('b') ?? 0) - 0.7) < 1e-9);
});

function makeTask(task: string, changes: Partial<ReclaimableTask>): ReclaimableTask {
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

test('a reclaim stops no service, and takes nothing that a team is entitled to', () => {
  const plan = planReclaim({
    tasks: [
      makeTask('service', { service: true, startedAt: 9 }),
      makeTask('old', { startedAt: 1 }),
      makeTask('new', { startedAt: 5 }),
      makeTask('no-checkpoint', { checkpoint: false, startedAt: 8 }),
      makeTask('own', { team: 'poor' }),
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

test('a dead process does not stay in the share digest', () => {
  const views = [makeShareView(['a', 'b']), makeShareView(['a', 'b']), makeShareView(['a', 'b'])];
  views.forEach((view, i) => view.setOwnShare('a', 0.1 * (i + 1)));
  const contributeInTurn = (members: number, membership: number, initial?: DigestRecord) =>
    [...views.slice(0, members), ...views.slice(0, members)].reduce<DigestRecord | undefined>(
      (record, view) => view.contribute(record, { membership, settings: 1, members }),
      initial,
    );
  const getShare = (i: number) => views[i]?.dominantShare('a') ?? 0;
  const firstRecord = contributeInTurn(3, 1);
  if (firstRecord) views[0]?.observe(firstRecord);
  assert.ok(Math.abs(getShare(0) - 0.6) < 0.002, String(getShare(0)));
  // The third process dies, and the others start a record for the new membership.
  const secondRecord = contributeInTurn(2, 2, firstRecord);
  if (secondRecord) views[0]?.observe(secondRecord);
  assert.ok(Math.abs(getShare(0) - 0.3) < 0.002, String(getShare(0)));
  assert.is(secondRecord?.units.length, 4);
});

test.run();
