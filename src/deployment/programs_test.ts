import { readFileSync, mkdtempSync, rmSync, writeFileSync, mkdirSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';

import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { fetch } from 'undici';

import { systemClock } from '../clock/mod.ts';
import { issueKey } from '../keys/mod.ts';
import { assertInvariants, generousMs, startSmallSite, stopSites } from '../testing/small_site.ts';
import { runProgram, startProgram } from './_child.ts';
import type { Child } from './_child.ts';
import { waitFor } from './mod.ts';
import type { EntryProcess } from './mod.ts';

const waitOptions = { clock: systemClock, timeoutMs: generousMs };
const folder = mkdtempSync(path.join(tmpdir(), 'dogwood-programs-'));
const children: Child[] = [];
const usageExitCode = 2;

/** Listens on a free port until it is released. */
async function occupyPort(): Promise<{ port: number; release: () => Promise<void> }> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const release = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  return { port, release };
}

async function findFreePort(): Promise<number> {
  const { port, release } = await occupyPort();
  await release();
  return port;
}

function writeEntrySettings(name: string, options: { callers?: number; table: number }): string {
  const { callers = 0, table } = options;
  const sections = { callers, peers: 0, operators: 0, table, objects: 1, hosts: 1 };
  const text = Object.entries(sections)
    .map(([section, port]) => `[${section}]\naddress = 127.0.0.1\nport = ${port}\n`)
    .join('\n');
  const file = path.join(folder, `${name}.ini`);
  writeFileSync(file, `[process]\nname = ${name}\ndata_centre = north\nregion = island\n\n${text}`);
  return file;
}

function start(name: string, args: string[]): Child {
  const child = startProgram(name, args, { clock: systemClock });
  children.push(child);
  return child;
}

test('the operator who loses a race could overwrite a change that it has not seen', async () => {
  const deployment = await startSmallSite();
  const { entries } = deployment;
  const otherKey = await issueKey({ owner: 'operator', id: 'rua' });
  const editTree = async (name: string, change: (tree: string) => void) => {
    const tree = path.join(deployment.folder, name);
    const showResult = await deployment.runOperator(['show', '--dir', tree]);
    assert.is(showResult.code, 0, showResult.stderr);
    change(tree);
    return tree;
  };
  const fleetFile = (tree: string) => path.join(tree, 'fleet.ini');
  const operatorTree = await editTree('named', (tree) => {
    const section = `[operator.rua]\nsalt = ${otherKey.salt}\nhash = ${otherKey.hash}\n`;
    writeFileSync(fleetFile(tree), `${readFileSync(fleetFile(tree), 'utf8')}\n${section}`);
  });
  const applyResult = await deployment.runOperator(['apply', operatorTree]);
  assert.is(applyResult.code, 0, applyResult.stderr);
  const isInForce = async () =>
    (await Promise.all(entries.map(deployment.fetchState))).every(
      ({ settings }) => (settings as { version: number }).version === 2,
    );
  await waitFor(isInForce, { ...waitOptions, what: 'both operators are known everywhere' });
  const setLimit = (team: string) => (tree: string) =>
    writeFileSync(path.join(tree, `teams/${team}/team.ini`), 'share = 2\nlimit = 5\n');
  const trees = [
    await editTree('ops', setLimit('many')),
    await editTree('rua', setLimit('few')),
  ] as const;
  const results = await Promise.all([
    deployment.runOperator(['apply', trees[0]], { entry: entries[0] as EntryProcess }),
    deployment.runOperator(['apply', trees[1], '--key', otherKey.key], {
      entry: entries[1] as EntryProcess,
    }),
  ]);
  assert.equal(results.map(({ code }) => code).sort(), [0, 1], JSON.stringify(results));
  const opsWon = results[0].code === 0;
  const loser = opsWon ? results[1] : results[0];
  const [by, file] = opsWon ? ['ops', 'teams/many/team.ini'] : ['rua', 'teams/few/team.ini'];
  assert.match(loser.stderr, 'settings-conflict');
  assert.match(loser.stderr, by);
  assert.match(loser.stderr, file);
  const history = await deployment.runOperator(['history']);
  assert.match(history.stdout, file);
  assert.not.match(history.stdout, opsWon ? 'teams/few' : 'teams/many/team.ini  ');
  await assertInvariants(deployment, entries);
});

test('a port in use could leave a process running that no caller can reach', async () => {
  const { port, release } = await occupyPort();
  const file = writeEntrySettings('taken', { callers: port, table: await findFreePort() });
  const entry = await runProgram('entry', ['--settings', file]);
  const standin = await runProgram('standin', ['table', '--port', `${port}`]);
  await release();
  assert.is(entry.code, 1);
  assert.match(entry.stderr, `127.0.0.1:${port} of section [callers] is in use`);
  assert.is.not(standin.code, 0);
  assert.match(standin.stderr, `${port}`);
});

test('an invalid entry.ini could start a process with unintended settings', async () => {
  const missingPath = path.join(folder, 'missing.ini');
  const unreadablePath = path.join(folder, 'a-folder.ini');
  mkdirSync(unreadablePath);
  const invalidPath = path.join(folder, 'invalid.ini');
  writeFileSync(invalidPath, '[process]\nname = Not A Name\n\n[callers]\nport = many\n');
  const [noArgumentResult, missingFileResult, unreadableFileResult, invalidFileResult] =
    await Promise.all([
      runProgram('entry', []),
      runProgram('entry', ['--settings', missingPath]),
      runProgram('entry', ['--settings', unreadablePath]),
      runProgram('entry', ['--settings', invalidPath]),
    ]);
  assert.is.not(noArgumentResult.code, 0);
  assert.match(noArgumentResult.stderr, 'settings');
  assert.is(missingFileResult.code, usageExitCode);
  assert.match(missingFileResult.stderr, `cannot read ${missingPath}`);
  assert.is(unreadableFileResult.code, usageExitCode);
  assert.match(unreadableFileResult.stderr, `cannot read ${unreadablePath}`);
  assert.is(invalidFileResult.code, usageExitCode);
  assert.match(invalidFileResult.stderr, 'port');
  assert.match(invalidFileResult.stderr, 'many');
  assert.not.match(invalidFileResult.stderr, '    at ');
});

test('a process started before the table service could exit, or accept work that it may not run', async () => {
  const port = await findFreePort();
  const entry = start('entry', ['--settings', writeEntrySettings('early', { table: port })]);
  const { operators, callers } = await entry.waitForLine((line) =>
    line.includes('The process has started.')
      ? (JSON.parse(line) as { operators: number; callers: number })
      : undefined,
  );
  const fetchStatus = async (address: string) =>
    (await fetch(`http://127.0.0.1:${address}`)).status;
  await entry.waitForLine((line) => line.includes('could not be loaded') || undefined);
  assert.is(await fetchStatus(`${operators}/healthz`), 200);
  assert.is(await fetchStatus(`${operators}/readyz`), 503);
  const lookup = await fetch(`http://127.0.0.1:${callers}/v1/lookups`, {
    method: 'POST',
    headers: { authorization: 'Bearer dwt_none', 'x-team': 'many' },
    body: '{}',
  });
  assert.is(lookup.status, 503);
  assert.match(await lookup.text(), '"ran":"no"');
  start('standin', ['table', '--port', `${port}`]);
  await waitFor(async () => (await fetchStatus(`${operators}/readyz`)) === 200, {
    ...waitOptions,
    what: 'the process is ready',
  });
  entry.process.kill('SIGTERM');
  assert.is(await entry.ended, 0, entry.output());
});

test('dogwood without a reachable server could report a change as made, or hang', async () => {
  const port = await findFreePort();
  const server = `http://127.0.0.1:${port}`;
  const env = { DOGWOOD_KEY: 'dwo_none' };
  const [show, set, noKey] = await Promise.all([
    runProgram('operator', ['show', '--server', server], { env }),
    runProgram('operator', ['team', 'set', 'many', '--limit', '5', '--server', server], { env }),
    runProgram('operator', ['show', '--server', server], { env: { DOGWOOD_KEY: '' } }),
  ]);
  [show, set].forEach(({ code, stdout, stderr }) => {
    assert.is(code, 3);
    assert.is(stdout, '');
    assert.match(stderr, `no entry process answers at ${server}`);
    assert.not.match(stderr, 'may have taken effect');
  });
  assert.is(noKey.code, usageExitCode);
  assert.match(noKey.stderr, 'an operator key is needed');
});

test.after(async () => {
  children.forEach(({ process: child }) => child.kill('SIGKILL'));
  await Promise.all(children.map(({ ended }) => ended));
  await stopSites();
  rmSync(folder, { recursive: true, force: true });
});
test.run();
