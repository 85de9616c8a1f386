import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import { issueKey } from '../keys/mod.ts';
import { startOperators } from '../testing/operators_server.ts';
import { addSection, removeSection, setKey } from './_edit_text.ts';
import { runOperator } from './mod.ts';

const operatorKey = await issueKey({ owner: 'operator', id: 'ana' });
const settingsFiles = {
  'fleet.ini': `[operator.ana]\nsalt = ${operatorKey.salt}\nhash = ${operatorKey.hash}\n`,
  'data-centres/ak1.ini': 'region = north\n',
  'upstreams/r1.ini':
    '[rack]\ndata_centre = ak1\n[upstream.w1]\naddress = 127.0.0.1\nport = 1\nprocessors = 1\nmemory_mb = 1\n',
  'teams/millers/team.ini': 'limit = 10 ; running tasks\n',
};

function makeFolder(tree: Record<string, string> = settingsFiles): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'dogwood-'));
  Object.entries(tree).forEach(([name, text]) => {
    const file = path.join(folder, name);
    mkdirSync(path.dirname(file), { recursive: true });
    writeFileSync(file, text);
  });
  return folder;
}

async function runDogwood(args: string[], env: Record<string, string> = {}) {
  const allLines: string[] = [];
  const outLines: string[] = [];
  const err = (text: string) => allLines.push(text);
  const writeOut = (text: string) => {
    allLines.push(text);
    outLines.push(text);
  };
  const code = await runOperator(args, { out: writeOut, err, env });
  return { code, text: allLines.join('\n'), out: outLines.join('\n') };
}

async function startFleet() {
  const server = await startOperators();
  const env = { DOGWOOD_KEY: operatorKey.key, DOGWOOD_SERVER: server.url };
  const run = (...args: string[]) => runDogwood(args, env);
  const folder = makeFolder();
  const applied = await run('apply', folder, '--base', '0');
  assert.is(applied.code, 0, applied.text);
  return { ...server, env, run, folder };
}

test('explain prints the timeline of a job from log files without a server', async () => {
  const line = (time: number, process: string, event: string) =>
    JSON.stringify({ level: 30, time, process, event, id: 'a1', reason: 'busy', msg: 'text' });
  const folder = makeFolder({
    'edge-1.log': `${line(2_000, 'edge-1', 'job-refused')}\n`,
    'edge-2.log': `${line(1_000, 'edge-2', 'job-refused')}\n`,
  });
  const logs = ['edge-1.log', 'edge-2.log'].map((file) => path.join(folder, file));
  const { code, text } = await runDogwood(['explain', 'a1', ...logs]);
  assert.is(code, 0);
  assert.match(
    text,
    /edge-2 {2}job-refused[^]*edge-1 {2}job-refused[^]*cause: refused by edge-1: busy/,
  );
  const missing = await runDogwood(['explain', 'a1', path.join(folder, 'none.log')]);
  assert.is(missing.code, 2);
  rmSync(folder, { recursive: true });
});

test('delays reads log files without a server and names a queue that they do not contain', async () => {
  const line = (time: number, event: string, fields: Record<string, unknown>) =>
    JSON.stringify({ level: 30, time, process: 'edge-1', event, id: 'a1', ...fields });
  const folder = makeFolder({
    'edge-1.log': `${line(1_000, 'job-received', { queue: 'lookups' })}\n`,
    'edge-2.log': `${line(1_040, 'job-taken', { queue: 'lookups' })}\n`,
  });
  const logs = ['edge-1.log', 'edge-2.log'].map((file) => path.join(folder, file));
  const { code, text } = await runDogwood(['delays', ...logs]);
  assert.is(code, 0);
  assert.match(text, /queue lookups\nsecond[^]*\nall .* 40\/40 /);
  const other = await runDogwood(['delays', ...logs, '--queue', 'plans']);
  assert.is(other.code, 2);
  assert.match(other.text, 'no jobs of queue plans');
  rmSync(folder, { recursive: true });
});

test('check needs no server and reports every fault, so that none reaches the fleet', async () => {
  const validFolder = makeFolder();
  const checked = await runDogwood(['check', validFolder]);
  assert.is(checked.code, 0);
  assert.is(checked.text, `${validFolder}: 4 files, no faults`);
  const invalidFolder = makeFolder({
    ...settingsFiles,
    'teams/x/team.ini': 'limt = 1\nlimit = 2\nlimit = 3\n',
  });
  const { code, text } = await runDogwood(['check', invalidFolder]);
  assert.is(code, 2);
  assert.match(text, '2 faults');
  assert.match(text, 'did you mean limit?');
  assert.is((await runDogwood(['check', `${invalidFolder}/none`])).code, 2);
  assert.is((await runDogwood(['check', makeFolder({})])).code, 2);
});

test('an invalid command line or an unreachable server never exits with code 0, which scripts take for success', async () => {
  const invalidCommands = [
    [],
    ['chek', 'x'],
    ['team'],
    ['team', 'create', 'x'],
    ['jobs', '--nope'],
    ['show'],
  ];
  for (const args of invalidCommands) assert.is((await runDogwood(args)).code, 2, args.join(' '));
  const unreachableServer = ['team', 'list', '--server', 'http://127.0.0.1:9', '--key', 'k'];
  const { code, text } = await runDogwood(unreachableServer);
  assert.is(code, 3);
  assert.match(text, 'no entry process answers at http://127.0.0.1:9');
  const { url, operators } = await startOperators();
  const refused = await runDogwood(['team', 'list', '--server', url, '--key', operatorKey.key]);
  assert.is(refused.code, 1);
  assert.match(refused.text, 'operator-rejected');
  await operators.drain();
});

test('every command does what it reports, so that it does not mislead operators in an incident', async () => {
  const { run, parts, operators, cancelled } = await startFleet();
  const expectSuccess = async (...args: string[]) => {
    const { code, text } = await run(...args);
    assert.is(code, 0, `${args.join(' ')}: ${text}`);
    return text;
  };
  await expectSuccess('team', 'create', 'bakers', '--limit', '5');
  await expectSuccess('team', 'set', 'millers', '--limit', '7');
  assert.is(parts.settings.tree()['teams/millers/team.ini'], 'limit = 7 ; running tasks\n');
  assert.match(await expectSuccess('team', 'list'), /bakers\s+1\s+5/);
  const issued = await expectSuccess('key', 'issue', 'bakers', 'k1');
  assert.match(issued, /dwt_bakers_k1_\S{43}/);
  assert.match(await expectSuccess('key', 'list', 'bakers'), /bakers\s+k1/);
  await expectSuccess('key', 'withdraw', 'bakers', 'k1');
  assert.equal(parts.settings.current().teams.bakers?.keys, []);
  await expectSuccess('data-centre', 'out', 'ak1');
  assert.is(parts.settings.current().dataCentres.ak1?.inService, false);
  assert.match(await expectSuccess('data-centre', 'list'), /ak1\s+north\s+out\s+1/);
  await expectSuccess('data-centre', 'in', 'ak1');
  assert.is(parts.settings.current().dataCentres.ak1?.inService, true);
  await expectSuccess('upstream', 'leave', 'w1');
  assert.is(parts.settings.current().upstreams.w1?.leaving, true);
  assert.match(await expectSuccess('upstream', 'list'), /w1\s+r1\s+ak1\s+127.0.0.1:1\s+leaving/);
  await expectSuccess('upstream', 'return', 'w1');
  assert.match(
    await expectSuccess('history'),
    /9\s+\S+\s+ana\s+upstreams\/r1.ini\s+upstream w1 returns/,
  );
  assert.match(await expectSuccess('jobs'), /j2[^]*Members that did not answer: m3/);
  assert.match(await expectSuccess('explain', 'j1'), 'no room');
  assert.match(await expectSuccess('cancel', 'j1'), 'j1: cancelled');
  assert.equal(cancelled, ['millers/j1']);
  assert.match(await expectSuccess('state', 'm2'), '"member": "m2"');
  await operators.drain();
});

test('the error for an unknown name suggests known ones, which saves time in an incident', async () => {
  const { run, operators, parts } = await startFleet();
  const cases: [string[], string][] = [
    [['team', 'set', 'miller', '--limit', '1'], 'did you mean millers?'],
    [['team', 'set', 'millers'], 'nothing to set'],
    [['team', 'set', 'millers', '--limit', 'many'], 'expected a whole number'],
    [['team', 'create', 'millers', '--limit', '1'], 'exists already'],
    [['team', 'create', 'Big Team', '--limit', '1'], 'name in the path'],
    [['key', 'issue', 'nobody', 'k1'], 'there is no team nobody'],
    [['key', 'withdraw', 'millers', 'k1'], 'there is no key of team millers named k1'],
    [['data-centre', 'out', 'ak2'], 'did you mean ak1?'],
    [['upstream', 'leave', 'w2'], 'did you mean w1?'],
  ];
  for (const [args, expected] of cases) {
    const { code, text } = await run(...args);
    assert.is(code, 2, args.join(' '));
    assert.match(text, expected);
  }
  assert.is((await run('state', 'm9')).code, 1);
  assert.is(parts.settings.current().version, 1);
  await operators.drain();
});

test('a withdrawal is retried after a conflict, or a leaked key would stay valid; an apply is not, or it would undo another change', async () => {
  const { run, operators, parts, table, folder } = await startFleet();
  await run('key', 'issue', 'millers', 'k1');
  let conflicts = 1;
  table.beforeCommit = () => {
    conflicts -= 1;
    return conflicts < 0 ? undefined : makeFailure(ErrorKind.SettingsConflict, 'bo was first');
  };
  const withdrawn = await run('key', 'withdraw', 'millers', 'k1');
  assert.is(withdrawn.code, 0, withdrawn.text);
  assert.equal(parts.settings.current().teams.millers?.keys, []);
  writeFileSync(path.join(folder, 'teams/millers/team.ini'), 'limit = 1\n');
  const stale = await run('apply', folder);
  assert.is(stale.code, 1);
  assert.match(stale.text, 'version 3 by ana changed teams/millers/keys.ini');
  assert.is(parts.settings.current().version, 3);
  conflicts = 2;
  assert.is((await run('data-centre', 'out', 'ak1')).code, 1, 'one repetition only');
  await operators.drain();
});

test('apply requires the base version of a folder, so that it does not overwrite later changes', async () => {
  const { run, operators, parts, folder } = await startFleet();
  assert.is(readFileSync(path.join(folder, '.dogwood-version'), 'utf8'), '1\n');
  await run('team', 'set', 'millers', '--limit', '3');
  assert.match((await run('diff', folder)).text, /limit = 3.*\n.*limit = 10/);
  const newFolder = path.join(makeFolder({}), 'tree');
  assert.is((await run('show', '--dir', newFolder)).code, 0);
  assert.is((await run('show', '--dir', newFolder)).code, 2, 'not empty');
  assert.match((await run('apply', newFolder)).text, 'Nothing to change');
  rmSync(path.join(newFolder, 'data-centres'), { recursive: true });
  rmSync(path.join(newFolder, 'upstreams'), { recursive: true });
  assert.is((await run('apply', newFolder)).code, 0);
  assert.equal(parts.settings.current().dataCentres, {});
  rmSync(path.join(newFolder, '.dogwood-version'));
  assert.match((await run('apply', newFolder)).text, '--base N');
  assert.is((await run('show', 'fleet.ini')).text, settingsFiles['fleet.ini'].trimEnd());
  await operators.drain();
});

test('the printed operator section makes the printed key valid', async () => {
  const { text, out } = await runDogwood(['operator-key', 'bo']);
  const key = /dwo_bo_\S+/.exec(text)?.[0] ?? '';
  assert.not(out.includes(key), 'the key would end up in fleet.ini');
  const { url, operators } = await startOperators();
  const folder = makeFolder({ 'fleet.ini': out });
  const applied = await runDogwood(['apply', folder, '--base', '0', '--server', url, '--key', key]);
  assert.is(applied.code, 0, applied.text);
  await operators.drain();
});

test('an edit keeps the comments and the other sections of a file', () => {
  const text = '; keys\n[key.a]\nsalt = 1 # old\n\n[key.b]\nsalt = 2\n';
  assert.is(removeSection(text, 'key.a'), '; keys\n[key.b]\nsalt = 2\n');
  const added = addSection(text, { section: 'key.c', values: { salt: '3' } });
  assert.is(added, `${text}\n[key.c]\nsalt = 3\n`);
  const set = setKey(text, { section: 'key.a', key: 'salt', value: '9' });
  assert.is(set, text.replace('salt = 1', 'salt = 9'));
  assert.match(
    setKey(text, { section: 'key.a', key: 'hash', value: '9' }),
    'old\nhash = 9\n\n[key.b]',
  );
  assert.is(setKey('', { section: '', key: 'limit', value: '1' }), 'limit = 1\n');
});

test.run();
