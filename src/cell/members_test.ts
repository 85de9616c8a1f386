import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { rankCandidates, ringSuccessors } from './members.ts';
import type { Member } from './members.ts';

const test = suite('members');

function member(name: string, fields: Partial<Member> = {}): Member {
  return {
    name,
    instance: `${name}-1`,
    address: '10.0.0.1:7420',
    dataCentre: 'north',
    processors: 1,
    clients: 0,
    isJustRestarted: false,
    ...fields,
  };
}

function order(members: Member[], isPlanned: boolean): string {
  return rankCandidates(members, { isPlanned })
    .map(({ name }) => name)
    .join(' ');
}

test('a rolling restart does not hand the role to hosts that have yet to be restarted', () => {
  const members = [
    member('a'),
    member('b', { clients: 3, isJustRestarted: true }),
    member('c', { clients: 1 }),
  ];
  assert.is(order(members, true), 'b a c');
  assert.is(order(members, false), 'a c b', 'after a failure a recent restart is irrelevant');
});

test('a restarted host with fewer processors is not preferred as scheduler', () => {
  const members = [member('small', { processors: 0.3, isJustRestarted: true }), member('large')];
  assert.is(order(members, true), 'large small');
});

test('processes that cannot reach the store do not all relay their calls to the same host', () => {
  const members = ['c', 'a', 'd', 'b'].map((name) => member(name));
  const asked = members.map(({ name }) => ringSuccessors(members, name)[0]!.name);
  assert.equal([...asked].sort(), ['a', 'b', 'c', 'd'], 'each host is asked first by one');
  assert.is(ringSuccessors(members, 'b').length, 3);
});

test.run();
