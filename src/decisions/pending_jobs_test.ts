import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { Trial, makeWaitingWork } from './mod.ts';
import type { WaitingItem } from './mod.ts';

function item(
  id: string,
  changes: Partial<WaitingItem> & { processors?: number } = {},
): WaitingItem {
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

function usageOf(shares: Record<string, number>) {
  return { dominantShare: (team: string) => shares[team] ?? 0, weight: () => 1 };
}

test('a team with a small share would wait behind a flood of another team', () => {
  const waiting = makeWaitingWork();
  for (let i = 0; i < 50; i++) waiting.add(item(`flood${i}`, { team: 'a' }));
  waiting.add(item('small', { team: 'b', enqueuedAt: 10 }));
  const shares: Record<string, number> = { a: 0.3, b: 0.1 };
  let room = 1;
  const placed = waiting.round({
    now: 20,
    usage: usageOf(shares),
    place: () => {
      room -= 1;
      return room >= 0 ? Trial.Placed : Trial.NoRoom;
    },
  });
  assert.equal(
    placed.map(({ id }) => id),
    ['small'],
  );
});

test('a starved job: small work would take all room from a large job for ever', () => {
  const broken: string[] = [];
  const waiting = makeWaitingWork({
    starvationBoundMs: 1_000,
    checkBound: (holds, detail) => {
      if (!holds) broken.push(detail());
    },
  });
  waiting.add(item('large', { processors: 8 }));
  const flags = new Map<string, boolean>();
  const round = (now: number) =>
    waiting.round({
      now,
      usage: usageOf({}),
      place: (tried, { backfill }) => {
        flags.set(tried.id, backfill);
        return tried.id === 'large' ? Trial.NoRoom : Trial.Placed;
      },
    });
  round(0);
  waiting.add(item('small', { enqueuedAt: 5 }));
  round(10);
  assert.is(flags.get('large'), false);
  assert.is(flags.get('small'), true);
  assert.match(waiting.explain('large', 10) ?? '', /reserved/);
  round(900);
  assert.equal(broken, []);
  round(1_100);
  assert.is(broken.length, 1);
});

test('a team at its limit would keep a reservation that others could use', () => {
  const waiting = makeWaitingWork();
  waiting.add(item('large', { processors: 8 }));
  const usage = usageOf({});
  waiting.round({ now: 0, usage, place: () => Trial.NoRoom });
  waiting.round({ now: 1, usage, place: () => Trial.TeamHeld });
  waiting.add(item('other', { team: 'b' }));
  let backfilled = false;
  waiting.round({
    now: 2,
    usage,
    place: (tried, { backfill }) => {
      if (tried.id === 'other') backfilled = backfill;
      return tried.id === 'other' ? Trial.Placed : Trial.TeamHeld;
    },
  });
  assert.is(backfilled, false);
});

test('a removed item that is tried again would start cancelled work', () => {
  const waiting = makeWaitingWork();
  waiting.add(item('x'));
  waiting.remove('x');
  assert.is(waiting.size(), 0);
  assert.equal(waiting.round({ now: 0, usage: usageOf({}), place: () => Trial.Placed }), []);
});

test.run();
