import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member } from '../cell/mod.ts';
import { chooseRelays, findRelay } from './_relay_choice.ts';

const test = suite('choice of relays');

function makeMember(index: number, processors = 0.3): Member {
  return {
    name: `edge-${index}`,
    instance: `i${index}`,
    address: `10.0.0.${index}:7420`,
    dataCentre: 'north',
    processors,
    clients: 0,
    isJustRestarted: false,
  };
}

const members = Array.from({ length: 40 }, (_, index) => makeMember(index, index < 6 ? 1.3 : 0.3));
const workerIds = Array.from({ length: 380 }, (_, index) => `i-${index}`);

test('a small fleet has no relays, whose hop it would pay for nothing', () => {
  assert.equal(chooseRelays(members, 47), []);
  assert.is(chooseRelays(members, 48).length, 2);
});

test('the number of relays grows with the fleet, and the largest hosts come first', () => {
  const relays = chooseRelays(members, 380);
  assert.is(relays.length, 16);
  assert.equal(
    relays.slice(0, 6).map(({ processors }) => processors),
    Array.from({ length: 6 }, () => 1.3),
  );
  assert.is(chooseRelays(members, 1_100).length, 40, 'at most all members');
});

test('the load of the members and their order do not change the relays', () => {
  const busy = [...members].reverse().map((member) => ({ ...member, clients: 90 }));
  const names = (list: Member[]) => list.map(({ name }) => name);
  assert.equal(names(chooseRelays(busy, 380)), names(chooseRelays(members, 380)));
});

test('a relay that is lost changes only its own workers, which spread over the others', () => {
  const relays = chooseRelays(members, 380);
  const [lost, ...rest] = relays;
  const before = new Map(workerIds.map((id) => [id, findRelay(relays, id)!.name]));
  const after = new Map(workerIds.map((id) => [id, findRelay(rest, id)!.name]));
  const moved = workerIds.filter((id) => before.get(id) !== after.get(id));
  assert.ok(moved.length > 0 && moved.every((id) => before.get(id) === lost!.name));
  assert.ok(new Set(moved.map((id) => after.get(id))).size > 4);
  const counts = relays.map(({ name }) => workerIds.filter((id) => before.get(id) === name).length);
  assert.ok(Math.max(...counts) < 48, `a relay has ${Math.max(...counts)} workers`);
});

test.run();
