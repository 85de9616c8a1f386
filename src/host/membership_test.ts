import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { membersTable, rankCandidates } from '../cell/mod.ts';
import type { Member } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeMembership } from './membership.ts';

const test = suite('membership');

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await systemClock.sleep(2);
}

function makeMember(name: string, clients: number): Member {
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

test('processes whose client counts have grown since they were stored do not all rank themselves last', async () => {
  const store = makeFakeStore();
  const stopped = new AbortController();
  const names = ['a', 'b', 'c'];
  await store.transact({
    expected: [],
    writes: names.map((name) => ({
      table: membersTable,
      part: '',
      key: name,
      value: JSON.stringify(makeMember(name, 0)),
    })),
    deletes: [],
  });
  let clients = 0;
  const views = names.map((name) => {
    const self = () => makeMember(name, clients);
    const membership = makeMembership({
      store,
      clock: systemClock,
      log: silentLogger,
      self,
      isCandidate: () => true,
    });
    membership.run(stopped.signal).catch(() => undefined);
    return { name, members: membership.members };
  });
  await waitUntil(() => views.every(({ members }) => members().length === names.length));
  clients = 40;
  const ranks = views.map(({ name, members }) =>
    rankCandidates(members(), { isPlanned: false }).findIndex((member) => member.name === name),
  );
  stopped.abort();
  assert.equal(ranks, [0, 1, 2]);
});

test.run();
