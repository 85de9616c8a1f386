import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { startTable } from '../standins/mod.ts';
import { makeWriter, tableDialects } from '../table/mod.ts';
import { commitChange, makeSettings } from './mod.ts';

const salt = 'a'.repeat(22);
const clock = systemClock;
const proposal = (base: number, files: Record<string, string>) => ({
  base,
  by: 'ana',
  note: '',
  files,
});

test('a whole tree, or a change whose response was lost, would not be committed by the real client and writer lane', async () => {
  const standin = await startTable({ clock });
  const { address, port } = standin;
  const start = async (id: string) => {
    const table = tableDialects['http-json']({ address, port, clock, timeoutMs: 600 });
    const memberKey = `members/${id}`;
    const writer = makeWriter({ table, clock, random: makeRandom(1), memberKey });
    (await writer.join({ id, joined: 1, seen: 1 })).unsafeCoerce();
    const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
    const settings = makeSettings({ table, invariants, log: silentLogger });
    const membership = {
      mayCommitSettings: () => true,
      beginSettingsCommit: () => () => undefined,
      view: () => ({ version: 0, members: [] }),
    };
    const reallot = (_: unknown, limit: number) => ({ limit, held: {} });
    return { settings, membership, table, writer, clock, reallot };
  };
  const a = await start('a');
  const b = await start('b');
  const tree: Record<string, string> = {
    'fleet.ini': `[operator.ana]\nsalt = ${salt}\nhash = ${salt}\n`,
  };
  // More rows than one batch of the writer lane, and more than one page of a scan.
  for (let i = 0; i < 600; i++) tree[`teams/t${i}/team.ini`] = `limit = ${i}\n`;
  const first = await commitChange(a, proposal(0, tree));
  assert.ok(first.isRight(), JSON.stringify(first.extract()).slice(0, 400));
  assert.is((await b.settings.load()).unsafeCoerce().version, 1);
  assert.is(Object.keys(b.settings.current().teams).length, 600);
  const files = { 'teams/t1/team.ini': 'limit = 9\n' };
  const commit: typeof a.writer.commit = (mutation, options) => {
    standin.faults.lose = 1;
    return a.writer.commit(mutation, options);
  };
  const losing = { ...a, writer: { ...a.writer, commit } };
  const second = await commitChange(losing, proposal(1, files));
  assert.ok(second.isRight(), JSON.stringify(second.extract()).slice(0, 400));
  assert.is(standin.faults.lose, 0);
  assert.is((await b.settings.catchUp(2)).unsafeCoerce().teams.t1?.limit, 9);
  const lost = await commitChange(b, proposal(1, files));
  assert.match(lost.swap().unsafeCoerce().message, 'version 2 by ana changed teams/t1/team.ini');
  await Promise.all([a.table.close(), b.table.close(), standin.close()]);
});

test.run();
