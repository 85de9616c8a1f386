import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import type { Need, Size } from '../schema/mod.ts';
import { makePlacementIndex } from './mod.ts';
import type { Candidate } from './mod.ts';

function size(processors: number, memoryMb: number, accelerators = 0, slots = 1): Size {
  return { processors, memoryMb, accelerators, slots };
}

function worker(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    rack: `r${id}`,
    dataCentre: 'd1',
    region: 'x',
    capacity: size(30, 65_536, 0, 8),
    used: size(0, 0, 0, 0),
    outstanding: 0,
    latencyMs: 20,
    penalty: 0,
    open: true,
    ...changes,
  };
}

function need(changes: Partial<Need> = {}): Need {
  return {
    team: 't',
    queue: 'q',
    kind: 'batch',
    size: size(4, 8_192),
    estimateMs: 60_000,
    ...changes,
  };
}

test('a place without room would over-commit a worker, and a missed place would refuse in vain', () => {
  const random = makeRandom(11);
  const index = makePlacementIndex({ random });
  const workers = new Map<string, Candidate>();
  for (let step = 0; step < 3_000; step++) {
    const id = `w${Math.floor(random() * 70)}`;
    if (random() < 0.05) {
      index.remove(id);
      workers.delete(id);
    } else {
      const next = worker(id, {
        dataCentre: `d${Math.floor(random() * 3)}`,
        used: size(random() * 30, random() * 65_536, 0, Math.floor(random() * 9)),
        open: random() > 0.1,
        penalty: random() < 0.1 ? 1 : 0,
      });
      index.upsert(next);
      workers.set(id, next);
    }
    const asked = need({
      size: size(random() * 16, random() * 32_768),
      onlyDataCentres: random() < 0.3 ? ['d1'] : [],
    });
    const feasible = [...workers.values()].filter(
      ({ capacity, used, open, penalty, dataCentre }) =>
        open &&
        penalty < 1 &&
        (asked.onlyDataCentres?.length === 0 || dataCentre === 'd1') &&
        capacity.processors - used.processors >= asked.size.processors &&
        capacity.memoryMb - used.memoryMb >= asked.size.memoryMb &&
        capacity.slots - used.slots >= 1,
    );
    const chosen = index.choose(asked);
    assert.is(chosen.isRight(), feasible.length > 0);
    chosen.ifRight((choice) =>
      assert.ok(
        feasible.some(({ id: name }) => name === choice.worker),
        choice.worker,
      ),
    );
  }
});

test('a lookup sent to a slow worker would wait although another is quick', () => {
  const index = makePlacementIndex();
  index.upsert(worker('slow', { latencyMs: 4_000 }));
  index.upsert(worker('busy', { outstanding: 30 }));
  index.upsert(worker('quick'));
  const chosen = index.choose(need({ kind: 'lookup' }));
  assert.is(chosen.map((choice) => choice.worker).extract(), 'quick');
});

test('heavy work that takes the last room would make urgent lookups wait', () => {
  const index = makePlacementIndex({ keptForLookups: () => 5 });
  index.upsert(worker('w1', { used: size(0, 0, 0, 2) }));
  assert.ok(index.choose(need()).isRight());
  index.upsert(worker('w1', { used: size(4, 8_192, 0, 3) }));
  const refused = index.choose(need());
  assert.match(
    String(
      refused
        .swap()
        .map((shortage) => shortage.reason)
        .extract(),
    ),
    /urgent lookups/,
  );
  assert.ok(index.choose(need({ kind: 'lookup' })).isRight());
});

test('plain work on a worker with accelerators would waste them', () => {
  const index = makePlacementIndex();
  index.upsert(worker('gpu', { capacity: size(30, 65_536, 4, 8), used: size(20, 40_000, 0, 4) }));
  index.upsert(worker('plain'));
  assert.is(
    index
      .choose(need())
      .map((choice) => choice.worker)
      .extract(),
    'plain',
  );
  const accelerated = index.choose(need({ size: size(2, 1_024, 1) }));
  assert.is(accelerated.map((choice) => choice.worker).extract(), 'gpu');
});

test('a rack that a service avoids would be used although another has room', () => {
  const index = makePlacementIndex();
  index.upsert(worker('a', { rack: 'r1' }));
  index.upsert(worker('b', { rack: 'r2', used: size(20, 1_024, 0, 4) }));
  const chosen = index.choose(need({ kind: 'service', avoidRacks: ['r2'] }));
  assert.is(chosen.map((choice) => choice.worker).extract(), 'a');
  index.remove('a');
  const relaxed = index.choose(need({ kind: 'service', avoidRacks: ['r2'] }));
  assert.match(String(relaxed.map((choice) => choice.reason).extract()), /avoided racks/);
});

test('a job that can never run would wait for ever', () => {
  const index = makePlacementIndex();
  index.upsert(worker('w1', { used: size(30, 0, 0, 8) }));
  const verdict = (asked: Size) =>
    index
      .choose(need({ size: asked }))
      .swap()
      .map((shortage) => shortage.infeasible)
      .extract();
  assert.is(verdict(size(31, 1)), true);
  assert.is(verdict(size(30, 1)), false);
});

test.run();
