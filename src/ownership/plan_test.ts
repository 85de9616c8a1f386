import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { Claim, Member } from '../schema/mod.ts';
import {
  countUnits,
  hasUnsettledUnits,
  planClaims,
  planHandOvers,
  rankMembers,
  selectWorkerOwner,
} from './mod.ts';

const member = (id: string, options: Partial<Member> = {}): Member => ({
  id,
  address: '127.0.0.1',
  port: 1,
  dataCentre: 'd1',
  region: 'r1',
  joined: 1,
  seen: 1,
  sequence: 1,
  operation: 'o',
  draining: false,
  ...options,
});
const row = (key: string, claim: Claim) => ({ key, version: 5, claim });
const plan = (claim: Claim, options: { fencing?: boolean; ownerGone?: boolean } = {}) =>
  planClaims({
    selfId: 'x',
    members: [member('x'), member('y')],
    rows: [row('workers/w1', claim)],
    selectOwner: () => 'x',
    hasFencing: () => options.fencing ?? true,
    isOwnerGone: () => options.ownerGone ?? false,
    limit: 10,
  });

test('a member that leaves must change the owner of its own keys only', () => {
  const ids = ['a', 'b', 'c', 'd'];
  const keys = Array.from({ length: 400 }, (_, n) => `workers/w${n}`);
  const countByMember = new Map(ids.map((id) => [id, 0]));
  keys.forEach((key) => {
    const [first = '', second] = rankMembers(key, ids);
    countByMember.set(first, (countByMember.get(first) ?? 0) + 1);
    assert.is(
      rankMembers(
        key,
        ids.filter((id) => id !== first),
      )[0],
      second,
    );
  });
  countByMember.forEach((count) =>
    assert.ok(count > 60 && count < 140, `a member has ${count} of 400`),
  );
});

test('a worker without a member in its data centre must stay in its region', () => {
  const upstream = { id: 'w1', region: 'r2', dataCentre: 'd9' };
  const members = [member('a'), member('b', { region: 'r2', dataCentre: 'd2' })];
  assert.is(selectWorkerOwner(upstream, members), 'b');
  assert.is(selectWorkerOwner(upstream, [member('a'), member('c', { draining: true })]), 'a');
});

test('a row whose owner is a member must not be claimed from a live process', () => {
  assert.is(plan({ epoch: 3, owner: 'y' }).length, 0);
  const [planned] = plan({ epoch: 3, owner: 'd' });
  assert.equal(planned?.next, { epoch: 4, owner: 'x', from: ['d'] });
  assert.is(planned?.formerOwner, 'd');
});

test('a claim must keep the unit holders that the last owner never settled', () => {
  assert.equal(plan({ epoch: 4, owner: 'z', from: ['d'] })[0]?.next.from, ['d']);
  assert.equal(plan({ epoch: 4, owner: '', from: ['d'] })[0]?.next.from, ['d']);
  assert.is(plan({ epoch: 0, owner: '' })[0]?.next.from, undefined);
});

test('a worker without fencing must wait for its former owner', () => {
  assert.is(plan({ epoch: 3, owner: 'd' }, { fencing: false }).length, 0);
  assert.is(plan({ epoch: 3, owner: 'd' }, { fencing: false, ownerGone: true }).length, 1);
  assert.is(plan({ epoch: 3, owner: '', from: ['d'] }, { fencing: false }).length, 1);
});

test('an unsettled worker must not be handed over', () => {
  const planHandOver = (claim: Claim) =>
    planHandOvers({
      selfId: 'x',
      rows: [row('workers/w', claim)],
      selectOwner: () => 'y',
      limit: 1,
    });
  assert.is(planHandOver({ epoch: 2, owner: 'x', from: ['d'] }).length, 0);
  assert.equal(planHandOver({ epoch: 2, owner: 'x' })[0]?.next, {
    epoch: 3,
    owner: 'y',
    from: ['x'],
  });
});

test('units of a member must stay held while a row still names it', () => {
  assert.ok(hasUnsettledUnits('d', [row('workers/w', { epoch: 1, owner: 'd' })]));
  assert.ok(hasUnsettledUnits('d', [row('workers/w', { epoch: 2, owner: 'x', from: ['d'] })]));
  assert.not(hasUnsettledUnits('x', [row('workers/w', { epoch: 2, owner: 'x', from: ['d'] })]));
});

test('ended tasks that are not acknowledged must not use units', () => {
  const tasks = [
    { team: 'mill', state: 'running' as const },
    { team: 'mill', state: 'finished' as const },
    { team: 'mill', state: 'checkpointing' as const },
  ];
  assert.equal(countUnits(tasks), { mill: 2 });
});

test.run();
