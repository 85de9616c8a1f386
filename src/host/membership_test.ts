import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { rankCandidates, membersTable } from '../cell/mod.ts';
import type { Member } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeMembership } from './membership.ts';

const test = suite('membership');

async function until(check: () => boolean): Promise<void> {
  while (!check()) await systemClock.sleep(2);
}

function memberRow(name: string, clients: number): Member {
  return {
    name,
    instance: `${name}-1`,
    address: `${name}:1`,
    dataCentre: 'north',
    processors: 1,
    clients,
    isJustRestarted: false,
  };
}

test('processes whose clients have grown do not all rank themselves last when a scheduler is missing', async () => {
  const store = makeFakeStore();
  const abort = new AbortController();
  const names = ['a', 'b', 'c'];
  await store.transact({
    expected: [],
    writes: names.map((name) => ({
      table: membersTable,
      part: '',
      key: name,
      value: JSON.stringify(memberRow(name, 0)),
    })),
    deletes: [],
  });
  let clients = 0;
  const views = names.map((name) => {
    const self = () => memberRow(name, clients);
    const membership = makeMembership({ store, clock: systemClock, log: silentLogger, self });
    membership.run(abort.signal).catch(() => undefined);
    return { name, members: membership.members };
  });
  await until(() => views.every(({ members }) => members().length === names.length));
  clients = 40;
  const ranks = views.map(({ name, members }) =>
    rankCandidates(members(), { isPlanned: false }).findIndex((each) => each.name === name),
  );
  abort.abort();
  assert.equal(ranks, [0, 1, 2]);
});

test.run();
