import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import type { Need, Size } from '../schema/mod.ts';
import { makePlacementIndex } from './mod.ts';
import type { Candidate } from './mod.ts';

function makeSize(processors: number, memoryMb: number, accelerators = 0, slots = 1): Size {
  return { processors, memoryMb, accelerators, slots };
}

function makeWorker(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    rack: `r${id}`,
    dataCentre: 'd1',
    region: 'x',
    capacity: makeSize(30, 65_536, 0, 8),
    used: makeSize(0, 0, 0, 0),
    outstanding: 0,
    latencyMs: 20,
    penalty: 0,
    open: true,
    ...changes,
  };
}

function makeNeed(changes: Partial<Need> = {}): Need {
  return {
    team: 't',
    queue: 'q',
    kind: 'batch',
    size: makeSize(4, 8_192),
    estimateMs: 60_000,
    ...changes,
  };
}

test('a choice never overcommits a worker, and fails only when no worker fits', () => {
  const random = makeRandom(11);
  const index = makePlacementIndex({ random });
  const workers = new Map<string, Candidate>();
  for (let step = 0; step < 3_000; step++) {
    const id = `w${Math.floor(random() * 70)}`;
    if (random() < 0.05) {
      index.remove(id);
      workers.delete(id);
    } else {
      const candidate = makeWorker(id, {
        dataCentre: `d${Math.floor(random() * 3)}`,
        used: makeSize(random() * 30, random() * 65_536, 0, Math.floor(random() * 9)),
        open: random() > 0.1,
        penalty: random() < 0.1 ? 1 : 0,
      });
      index.upsert(candidate);
      workers.set(id, candidate);
    }
    const need = makeNeed({
      size: makeSize(random() * 16, random() * 32_768),
      onlyDataCentres: random() < 0.3 ? ['d1'] : [],
    });
    const feasible = [...workers.values()].filter(
      ({ capacity, used, open, penalty, dataCentre }) =>
        open &&
        penalty < 1 &&
        (need.onlyDataCentres?.length === 0 || dataCentre === 'd1') &&
        capacity.processors - used.processors >= need.size.processors &&
        capacity.memoryMb - used.memoryMb >= need.size.memoryMb &&
        capacity.slots - used.slots >= 1,
    );
    const chosen = index.choose(need);
    assert.is(chosen.isRight(), feasible.length > 0);
    chosen.ifRight((choice) =>
      assert.ok(
        feasible.some(({ id: name }) => name === choice.worker),
        choice.worker,
      ),
    );
  }
});

test('a lookup does not wait on a slow worker while another one is quick', () => {
  const index = makePlacementIndex();
  index.upsert(makeWorker('slow', { latencyMs: 4_000 }));
  index.upsert(makeWorker('busy', { outstanding: 30 }));
  index.upsert(makeWorker('quick'));
  const chosen = index.choose(makeNeed({ kind: 'lookup' }));
  assert.is(chosen.map((choice) => choice.worker).extract(), 'quick');
});

test('jobs leave headroom, so that urgent lookups do not wait', () => {
  const index = makePlacementIndex({ lookupHeadroom: () => 5 });
  index.upsert(makeWorker('w1', { used: makeSize(0, 0, 0, 2) }));
  assert.ok(index.choose(makeNeed()).isRight());
  index.upsert(makeWorker('w1', { used: makeSize(4, 8_192, 0, 3) }));
  const outcome = index.choose(makeNeed());
  assert.match(
    String(
      outcome
        .swap()
        .map((failure) => failure.reason)
        .extract(),
    ),
    /urgent lookups/,
  );
  assert.ok(index.choose(makeNeed({ kind: 'lookup' })).isRight());
});

test('work without accelerators does not waste a worker that has them', () => {
  const index = makePlacementIndex();
  index.upsert(
    makeWorker('gpu', { capacity: makeSize(30, 65_536, 4, 8), used: makeSize(20, 40_000, 0, 4) }),
  );
  index.upsert(makeWorker('plain'));
  assert.is(
    index
      .choose(makeNeed())
      .map((choice) => choice.worker)
      .extract(),
    'plain',
  );
  const accelerated = index.choose(makeNeed({ size: makeSize(2, 1_024, 1) }));
  assert.is(accelerated.map((choice) => choice.worker).extract(), 'gpu');
});

test('a rack that a service avoids is used only when no other has free capacity', () => {
  const index = makePlacementIndex();
  index.upsert(makeWorker('a', { rack: 'r1' }));
  index.upsert(makeWorker('b', { rack: 'r2', used: makeSize(20, 1_024, 0, 4) }));
  const chosen = index.choose(makeNeed({ kind: 'service', avoidRacks: ['r2'] }));
  assert.is(chosen.map((choice) => choice.worker).extract(), 'a');
  index.remove('a');
  const relaxed = index.choose(makeNeed({ kind: 'service', avoidRacks: ['r2'] }));
  assert.match(String(relaxed.map((choice) => choice.reason).extract()), /avoided racks/);
});

test('a job that can never run is reported, so that it does not wait forever', () => {
  const index = makePlacementIndex();
  index.upsert(makeWorker('w1', { used: makeSize(30, 0, 0, 8) }));
  const isInfeasible = (size: Size) =>
    index
      .choose(makeNeed({ size }))
      .swap()
      .map((failure) => failure.infeasible)
      .extract();
  assert.is(isInfeasible(makeSize(31, 1)), true);
  assert.is(isInfeasible(makeSize(30, 1)), false);
});

test.run();
