import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { buildFleet, checkTree, diffTrees, formatProblem, readEntrySettings } from './mod.ts';
import type { SettingsTree } from './mod.ts';

const salt = 'a'.repeat(22);
const good: SettingsTree = {
  'fleet.ini': `[operator.ana]\nsalt = ${salt}\nhash = ${salt}\n[policy]\nlease_ms = 20000\n`,
  'data-centres/ak1.ini': 'region = north\n',
  'upstreams/r1.ini':
    '[rack]\ndata_centre = ak1\n[upstream.w1]\naddress = 127.0.0.1\nport = 7001\nprocessors = 30\nmemory_mb = 64000\n',
  'teams/millers/team.ini': 'share = 2\nlimit = 100 ; tasks\n',
  'teams/millers/keys.ini': `[key.k1]\nsalt = ${salt}\nhash = ${salt}\n`,
  'teams/millers/queues/night.ini': 'kinds = batch, gang\nopen = yes\ndata_centres = ak1\n',
};

const problemsOf = (change: SettingsTree) => checkTree({ ...good, ...change }).map(formatProblem);

test('settings that lose a value or a default would differ from the files', () => {
  const fleet = buildFleet(good, 3).unsafeCoerce();
  assert.is(fleet.version, 3);
  assert.is(fleet.policy.leaseMs, 20_000);
  assert.is(fleet.policy.urgentDeadlineMs, 1_600);
  assert.equal(fleet.operators, [{ id: 'ana', salt, hash: salt }]);
  assert.equal(fleet.dataCentres.ak1, { name: 'ak1', region: 'north', inService: true });
  assert.equal(fleet.upstreams.w1, {
    id: 'w1',
    address: '127.0.0.1',
    port: 7001,
    dataCentre: 'ak1',
    region: 'north',
    rack: 'r1',
    capacity: { processors: 30, memoryMb: 64_000, accelerators: 0, slots: 8 },
    connections: 60,
    leaving: false,
    fencing: true,
  });
  const team = fleet.teams.millers;
  assert.is(team?.limit, 100);
  assert.equal(team?.keys[0]?.id, 'k1');
  assert.equal(team?.queues.night, {
    name: 'night',
    kinds: ['batch', 'gang'],
    open: true,
    maxWaiting: 1_000,
    dataCentres: ['ak1'],
  });
  assert.is(team?.queues.default?.open, false);
});

test('a duplicate key or section that the ini library drops would hide one of the two values', () => {
  const twice = problemsOf({ 'teams/millers/team.ini': 'limit = 1\nlimit = 2\n' });
  assert.equal(twice, ['teams/millers/team.ini:2 limit: duplicate key, first in line 1']);
  const sections = problemsOf({
    'teams/millers/keys.ini': `${good['teams/millers/keys.ini']}${good['teams/millers/keys.ini']}`,
  });
  assert.equal(sections, ['teams/millers/keys.ini:4 [key.k1]: duplicate section, first in line 1']);
});

test('a misspelt key, section or file that is ignored would leave a default in use', () => {
  const [key, missing] = problemsOf({ 'teams/millers/team.ini': 'limt = 5\n' });
  assert.match(key ?? '', 'team.ini:1 limt: unknown key, got "5", expected one of share, limit');
  assert.match(key ?? '', 'did you mean limit?');
  assert.match(missing ?? '', 'limit: key is missing, expected a whole number from 0');
  assert.match(problemsOf({ 'fleet.ini': '[operatr.ana]\n' })[0] ?? '', 'mean operator.NAME?');
  assert.match(problemsOf({ 'team/x/team.ini': '' })[0] ?? '', 'mean teams/{team}/team.ini?');
  assert.match(problemsOf({ 'fleet.ini': '[__proto__]\na = 1' })[0] ?? '', 'unknown section');
  assert.match(problemsOf({ 'fleet.ini': 'lease_ms = 5' })[0] ?? '', 'key outside a section');
});

test('a value of the wrong type or out of range would be read as another value', () => {
  const wrong: [string, string][] = [
    ['limit = many', 'got "many", expected a whole number from 0 to 1000000'],
    ['limit = 1.5', 'got "1.5"'],
    ['limit = -1', 'got "-1"'],
    ['limit =', 'got ""'],
    ['limit = 0x10', 'got "0x10"'],
    ['limit = 5\nshare = 0', 'share: value is not valid, got "0", expected a number above 0'],
    ['limit', 'line is not understood, got "limit"'],
  ];
  wrong.forEach(([text, expected]) => {
    assert.match(problemsOf({ 'teams/millers/team.ini': text })[0] ?? '', expected, text);
  });
  const queue = 'teams/millers/queues/night.ini';
  assert.match(problemsOf({ [queue]: 'kinds = batch, web' })[0] ?? '', 'got "batch, web"');
  assert.match(problemsOf({ [queue]: 'open = maybe' })[0] ?? '', 'expected yes or no');
  assert.match(
    problemsOf({ 'data-centres/Big One.ini': 'region = x' })[0] ?? '',
    'name in the path',
  );
});

test('files that contradict each other would be noticed only when work is placed', () => {
  const rack = good['upstreams/r1.ini'] ?? '';
  const found = problemsOf({
    'upstreams/r2.ini': rack.replace('= ak1', '= ak9'),
    'teams/ghost/keys.ini': '',
    'teams/millers/queues/night.ini': 'data_centres = ak1, ak2',
  });
  assert.is(found.length, 5, found.join('\n'));
  assert.match(found.join('\n'), '[rack] data_centre: unknown data centre, got "ak9"');
  assert.match(found.join('\n'), 'duplicate upstream, also in upstreams/r1.ini');
  assert.match(found.join('\n'), 'address and port are also those of [upstream.w1]');
  assert.match(found.join('\n'), 'expected a file teams/ghost/team.ini');
  assert.match(found.join('\n'), 'unknown data centre, got "ak2", expected one of ak1 (did you');
});

test('a check that stops at the first problem would need one run for each problem', () => {
  const found = problemsOf({
    'fleet.ini': '[policy]\nlease_ms = 1\nurgent_deadline_ms = x\n[worker]\nfencing = 2\n',
    'data-centres/ak2.ini': 'in_service = no\n',
  });
  assert.is(found.length, 4, found.join('\n'));
});

test('a diff that lists unchanged lines would hide a change', () => {
  const after = { ...good, 'teams/millers/team.ini': 'share = 2\nlimit = 50\n', 'x.ini': 'a = 1' };
  delete (after as SettingsTree)['fleet.ini'];
  const differences = diffTrees(good, after);
  assert.equal(
    differences.map(({ path, state }) => `${state} ${path}`),
    ['removed fleet.ini', 'changed teams/millers/team.ini', 'added x.ini'],
  );
  assert.equal(differences[1]?.lines, ['- limit = 100 ; tasks', '+ limit = 50']);
});

test('a process that starts with incomplete settings of its own would fail later', () => {
  const failed = readEntrySettings('[process]\nname = e1\n').swap().unsafeCoerce();
  assert.match(failed.message, 'entry.ini:1 [process] data_centre: key is missing');
  assert.match(failed.message, '[table] address: key is missing, expected an IP address');
  const listen = 'address = 127.0.0.1\nport = 0\n';
  const service = 'address = 127.0.0.1\nport = 9000\n';
  const text = `[process]\nname = e1\ndata_centre = ak1\nregion = north\n[callers]\n${listen}[peers]\n${listen}[operators]\n${listen}[table]\n${service}[objects]\n${service}`;
  const settings = readEntrySettings(text).unsafeCoerce();
  assert.is(settings.callers.max_body_bytes, 1_048_576);
  assert.is(settings.table.dialect, 'http-json');
  assert.is(settings.hosts.address, '');
});

test.run();
