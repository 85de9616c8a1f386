import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { PlacementOutcome, makePendingJobs } from './mod.ts';
import type { PendingJob } from './mod.ts';

function makeJob(
  id: string,
  changes: Partial<PendingJob> & { processors?: number } = {},
): PendingJob {
  const { processors = 1, ...rest } = changes;
  const team = rest.team ?? 'a';
  return {
    id,
    team,
    need: {
      team,
      queue: 'q',
      kind: 'batch',
      size: { processors, memoryMb: 1, accelerators: 0, slots: 1 },
      estimateMs: 1_000,
    },
    count: 1,
    gang: false,
    enqueuedAt: 0,
    ...rest,
  };
}

function makeUsage(shares: Record<string, number>) {
  return { dominantShare: (team: string) => shares[team] ?? 0, weight: () => 1 };
}

test('a team with a small share does not wait behind many jobs of another team', () => {
  const waiting = makePendingJobs();
  for (let i = 0; i < 50; i++) waiting.add(makeJob(`flood${i}`, { team: 'a' }));
  waiting.add(makeJob('small', { team: 'b', enqueuedAt: 10 }));
  const shares: Record<string, number> = { a: 0.3, b: 0.1 };
  let freeCount = 1;
  const placed = waiting.runRound({
    now: 20,
    usage: makeUsage(shares),
    place: () => {
      freeCount -= 1;
      return freeCount >= 0 ? PlacementOutcome.Placed : PlacementOutcome.NoRoom;
    },
  });
  assert.equal(
    placed.map(({ id }) => id),
    ['small'],
  );
});

test('small jobs do not starve a large one by taking all capacity', () => {
  const violations: string[] = [];
  const waiting = makePendingJobs({
    starvationBoundMs: 1_000,
    checkBound: (holds, detail) => {
      if (!holds) violations.push(detail());
    },
  });
  waiting.add(makeJob('large', { processors: 8 }));
  const backfillById = new Map<string, boolean>();
  const round = (now: number) =>
    waiting.runRound({
      now,
      usage: makeUsage({}),
      place: (job, { backfill }) => {
        backfillById.set(job.id, backfill);
        return job.id === 'large' ? PlacementOutcome.NoRoom : PlacementOutcome.Placed;
      },
    });
  round(0);
  waiting.add(makeJob('small', { enqueuedAt: 5 }));
  round(10);
  assert.is(backfillById.get('large'), false);
  assert.is(backfillById.get('small'), true);
  assert.match(waiting.explain('large', 10) ?? '', /reserved/);
  round(900);
  assert.equal(violations, []);
  round(1_100);
  assert.is(violations.length, 1);
});

test('a team at its limit does not keep a reservation that others could use', () => {
  const waiting = makePendingJobs();
  waiting.add(makeJob('large', { processors: 8 }));
  const usage = makeUsage({});
  waiting.runRound({ now: 0, usage, place: () => PlacementOutcome.NoRoom });
  waiting.runRound({ now: 1, usage, place: () => PlacementOutcome.TeamAtLimit });
  waiting.add(makeJob('other', { team: 'b' }));
  let backfilled = false;
  waiting.runRound({
    now: 2,
    usage,
    place: (job, { backfill }) => {
      if (job.id === 'other') backfilled = backfill;
      return job.id === 'other' ? PlacementOutcome.Placed : PlacementOutcome.TeamAtLimit;
    },
  });
  assert.is(backfilled, false);
});

test('a removed job is not tried again, so that cancelled work does not start', () => {
  const waiting = makePendingJobs();
  waiting.add(makeJob('x'));
  waiting.remove('x');
  assert.is(waiting.size(), 0);
  assert.equal(
    waiting.runRound({ now: 0, usage: makeUsage({}), place: () => PlacementOutcome.Placed }),
    [],
  );
});

test.run();
