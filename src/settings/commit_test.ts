import { test } from 'uvu';
import * as assert from 'uvu/assert';

import type { VirtualClock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Change } from '../schema/mod.ts';
import { makeCommitParts, makeSettingsTable } from '../testing/settings_table.ts';
import { commitChange } from './mod.ts';

const salt = 'a'.repeat(22);
const operators = `[operator.ana]\nsalt = ${salt}\nhash = ${salt}\n`;
const first = { base: 0, by: 'ana', note: 'first', files: { 'fleet.ini': operators } };
const team = (limit: number) => ({ 'teams/millers/team.ini': `limit = ${limit}\n` });

async function makeTwoProcesses() {
  const table = makeSettingsTable();
  table.set('head', { settings: 0, membership: 4 });
  const a = makeCommitParts(table);
  const b = makeCommitParts(table);
  (await commitChange(a, first)).unsafeCoerce();
  (await b.settings.catchUp(1)).unsafeCoerce();
  return { table, a, b };
}

test('the loser of a race between operators would overwrite a change that it has not seen', async () => {
  const { a, b } = await makeTwoProcesses();
  const won = await commitChange(a, { base: 1, by: 'ana', note: '', files: team(5) });
  assert.is(won.unsafeCoerce().version, 2);
  const lost = await commitChange(b, { base: 1, by: 'bo', note: '', files: team(6) });
  const { kind, message } = lost.swap().unsafeCoerce();
  assert.is(kind, ErrorKind.SettingsConflict);
  assert.match(message, 'version 2 by ana changed teams/millers/team.ini');
  assert.is(b.settings.current().teams.millers?.limit, 5);
  assert.equal([a.commits.open, b.commits.open], [0, 0]);
});

test('a lowered limit without new allotments would leave the old number of tasks running', async () => {
  const { table, a } = await makeTwoProcesses();
  (await commitChange(a, { base: 1, by: 'ana', note: '', files: team(9) })).unsafeCoerce();
  table.set('allotments/millers', { limit: 9, held: { m1: 9 } });
  const parts = { ...a, reallot: (_: unknown, limit: number) => ({ limit, held: { m1: limit } }) };
  (await commitChange(parts, { base: 2, by: 'ana', note: '', files: team(3) })).unsafeCoerce();
  assert.equal(table.rows.get('allotments/millers')?.value, { limit: 3, held: { m1: 3 } });
  const change = table.rows.get('settings/3')?.value as Change;
  assert.equal(change.allotments.millers, { limit: 3, held: { m1: 3 } });
  assert.equal(table.rows.get('head')?.value, { settings: 3, membership: 4 });
  assert.is(table.rows.get('tree/teams/millers/team.ini')?.value, 'limit = 3\n');
});

test('a membership change that updates head would fail the commit of an operator needlessly', async () => {
  const { table, a } = await makeTwoProcesses();
  let moved = false;
  table.beforeCommit = () => {
    if (!moved) table.set('head', { settings: 1, membership: 5 });
    moved = true;
    return undefined;
  };
  (await commitChange(a, { base: 1, by: 'ana', note: '', files: team(5) })).unsafeCoerce();
  assert.equal(table.rows.get('head')?.value, { settings: 2, membership: 5 });
});

test('a change without operators, with invalid text or by a member that may not commit would take effect', async () => {
  const { table, a } = await makeTwoProcesses();
  const attempt = async (files: Change['files']) =>
    (await commitChange(a, { base: 1, by: 'ana', note: '', files })).swap().unsafeCoerce();
  assert.match((await attempt({ 'fleet.ini': '' })).message, 'leave no operator');
  assert.match((await attempt({ 'teams/x/team.ini': 'limt = 1' })).message, 'did you mean limit');
  assert.match((await attempt({ 'teams/x/team.ini': null })).message, 'do not exist');
  assert.is((await attempt({})).kind, ErrorKind.SettingsInvalid);
  a.membership.mayCommitSettings = () => false;
  assert.is((await attempt(team(1))).kind, ErrorKind.SettingsBlocked);
  assert.is(table.rows.get('head')?.version, 2);
});

test('a promise made while a commit is unresolved would hide the change from a peer', async () => {
  const { table, a } = await makeTwoProcesses();
  let busy = true;
  table.writer.isBusy = () => busy;
  table.beforeCommit = () => makeFailure(ErrorKind.TableUnknown, 'no answer in time');
  const result = await commitChange(a, { base: 1, by: 'ana', note: '', files: team(5) });
  assert.is(result.swap().unsafeCoerce().kind, ErrorKind.TableUnknown);
  const clock = a.clock as VirtualClock;
  await clock.advance(1_000);
  assert.is(a.commits.open, 1);
  busy = false;
  await clock.advance(1_000);
  assert.is(
    a.commits.open,
    1,
    'the version is known after a read of head, not after the end of the write',
  );
  assert.is(a.commits.uncertain, 1);
});

test('settings applied out of order or twice would revert to an older version', async () => {
  const { table, a, b } = await makeTwoProcesses();
  for (let base = 1; base <= 3; base++) {
    const files = team(base);
    (await commitChange(a, { base, by: 'ana', note: '', files })).unsafeCoerce();
  }
  const changes = a.settings.after(1);
  assert.equal(
    changes.map(({ version }) => version),
    [2, 3, 4],
  );
  assert.ok(b.settings.apply(changes.slice(1)).isLeft(), 'a gap');
  assert.is(b.settings.current().version, 1);
  const seen: number[] = [];
  b.settings.subscribe(({ version }) => seen.push(version));
  b.settings.apply([...changes].reverse()).unsafeCoerce();
  b.settings.apply(changes.slice(0, 1)).unsafeCoerce();
  assert.equal(seen, [2, 3, 4]);
  const lateProcess = makeCommitParts(table);
  (await lateProcess.settings.load()).unsafeCoerce();
  assert.equal(lateProcess.settings.current(), b.settings.current());
  assert.equal(lateProcess.settings.after(1), [], 'changes that it never read');
});

test('a tree read while it changes would mix two versions', async () => {
  const { table, a } = await makeTwoProcesses();
  const lateProcess = makeCommitParts(table);
  let changed: Promise<unknown> | undefined;
  table.beforeScan = () => {
    changed ??= commitChange(a, { base: 1, by: 'ana', note: '', files: team(5) });
  };
  const fleet = (await lateProcess.settings.load()).unsafeCoerce();
  assert.is(fleet.version, 2);
  assert.is(fleet.teams.millers?.limit, 5);
});

test('a missing change row would keep a process from ever catching up', async () => {
  const { table, a, b } = await makeTwoProcesses();
  (await commitChange(a, { base: 1, by: 'ana', note: '', files: team(5) })).unsafeCoerce();
  table.rows.delete('settings/2');
  assert.is((await b.settings.catchUp(2)).unsafeCoerce().version, 2);
});

test.run();
