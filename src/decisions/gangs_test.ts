import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import { orderHolds, planGang } from './mod.ts';
import type { Candidate, GangRequest } from './mod.ts';

const taskSize = { processors: 4, memoryMb: 1_024, accelerators: 0, slots: 1 };

function makeWorker(id: string, rack: string, dataCentre: string, used = 0): Candidate {
  return {
    id,
    rack,
    dataCentre,
    region: 'x',
    capacity: { processors: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
    used: { processors: used, memoryMb: 0, accelerators: 0, slots: 0 },
    outstanding: 0,
    latencyMs: 1,
    penalty: 0,
    open: true,
  };
}

const fleet = ['d1', 'd2'].flatMap((dataCentre) =>
  ['r1', 'r2'].flatMap((rack) =>
    ['1', '2'].map((n) => makeWorker(`${dataCentre}${rack}${n}`, rack, dataCentre)),
  ),
);

function makeRequest(changes: Partial<GangRequest>): GangRequest {
  return { size: taskSize, count: 4, across: 'fleet', spread: 'none', ...changes };
}

function makePlan(changes: Partial<GangRequest>, candidates = fleet) {
  return planGang(makeRequest(changes), candidates).extract();
}

test('a gang gets all of its places or none, since a part would only block other gangs', () => {
  const random = makeRandom(21);
  for (let run = 0; run < 300; run++) {
    const candidates = fleet.map((candidate) => ({
      ...candidate,
      used: { ...candidate.used, processors: Math.floor(random() * 17) },
    }));
    const count = 1 + Math.floor(random() * 30);
    const result = makePlan({ count }, candidates);
    if (typeof result !== 'string') {
      const total = result.places.reduce((sum, place) => sum + place.count, 0);
      assert.is(total, count);
      result.places.forEach((place) => {
        const chosenWorker = candidates.find(({ id }) => id === place.worker);
        assert.ok((chosenWorker?.used.processors ?? 0) + place.count * 4 <= 16, place.worker);
      });
    }
  }
});

test('a gang limited to a rack or data centre is not placed across more, where it is slow', () => {
  assert.is(typeof makePlan({ count: 9, across: 'rack' }), 'string');
  assert.is(typeof makePlan({ count: 17, across: 'data-centre' }), 'string');
  const widePlan = makePlan({ count: 17 });
  assert.ok(typeof widePlan !== 'string');
});

test('a gang that is spread over racks is not lost with one rack', () => {
  const result = makePlan({ count: 4, spread: 'rack', across: 'data-centre' });
  assert.ok(typeof result !== 'string');
  const racks = new Set(result.places.map(({ worker: id }) => id.slice(0, 4)));
  assert.is(racks.size, 2);
});

test('all gangs request holds in the same order, so that no two hold what the other needs', () => {
  const ownerOf = (id: string) => (id.endsWith('1') ? 'm1' : 'm2');
  const forward = fleet.map(({ id }) => ({ worker: id, count: 1 }));
  const owners = (places: typeof forward) => orderHolds(places, ownerOf).map(({ owner }) => owner);
  assert.equal(owners(forward), owners([...forward].reverse()));
});

test.run();
