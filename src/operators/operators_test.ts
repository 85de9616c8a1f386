import { request } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { ErrorKind, failWith } from '../errors/mod.ts';
import { issueKey } from '../keys/mod.ts';
import { startOperators } from '../testing/operators_server.ts';

const ana = await issueKey({ owner: 'operator', id: 'ana' });
const bo = await issueKey({ owner: 'operator', id: 'bo' });
const team = await issueKey({ owner: 'team', team: 'millers', id: 'k1' });
const formatOperatorSection = (name: string, { salt, hash }: typeof ana) =>
  `[operator.${name}]\nsalt = ${salt}\nhash = ${hash}\n`;
const files = {
  'fleet.ini': formatOperatorSection('ana', ana),
  'teams/millers/team.ini': 'limit = 10\n',
  'teams/millers/keys.ini': `[key.k1]\nsalt = ${team.salt}\nhash = ${team.hash}\n`,
};

interface ErrorBody {
  error: { kind: string; message: string };
}

async function fetchJson(
  url: string,
  options: { key?: string; method?: string; body?: unknown } = {},
) {
  const { key, method, body } = options;
  const response = await request(url, {
    method: (method ?? (body === undefined ? 'GET' : 'POST')) as 'GET',
    headers: key ? { authorization: `Bearer ${key}` } : {},
    reset: true,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  return { status: response.statusCode, body: await response.body.json() };
}

const describeFailure = ({ status, body }: Awaited<ReturnType<typeof fetchJson>>) =>
  `${status} ${(body as ErrorBody).error.kind}`;

test('access to settings or jobs without an operator key would let anyone change the fleet', async () => {
  const { url, operators, cancelled } = await startOperators();
  await fetchJson(`${url}/v1/settings`, { key: ana.key, body: { base: 0, files } });
  const paths = ['settings', 'settings/history', 'jobs', 'explain/j1', 'state', 'state?member=m2'];
  for (const path of paths) {
    const target = `${url}/v1/${path}`;
    assert.is(describeFailure(await fetchJson(target)), '401 key-missing', path);
    assert.is(
      describeFailure(await fetchJson(target, { key: bo.key })),
      '403 operator-rejected',
      path,
    );
    assert.is(
      describeFailure(await fetchJson(target, { key: team.key })),
      '403 operator-rejected',
      path,
    );
    assert.is((await fetchJson(target, { key: ana.key })).status, 200, path);
  }
  const change = { key: team.key, body: { base: 1, files: { 'teams/millers/team.ini': null } } };
  assert.is(
    describeFailure(await fetchJson(`${url}/v1/settings`, change)),
    '403 operator-rejected',
  );
  const cancel = { key: team.key, method: 'DELETE' };
  assert.is(describeFailure(await fetchJson(`${url}/v1/jobs/j1`, cancel)), '403 operator-rejected');
  assert.equal(cancelled, []);
  await operators.drain();
});

test('accepting first settings from an operator they do not define would give away the fleet', async () => {
  const { url, operators } = await startOperators();
  const post = (key: string | undefined, body: unknown) =>
    fetchJson(`${url}/v1/settings`, { key, body });
  assert.is(describeFailure(await post(bo.key, { base: 0, files })), '403 operator-rejected');
  assert.is(describeFailure(await post(undefined, { base: 0, files })), '401 key-missing');
  assert.is((await post(ana.key, { base: 0, files })).status, 200);
  const takeover = { base: 0, files: { 'fleet.ini': formatOperatorSection('bo', bo) } };
  assert.is(describeFailure(await post(bo.key, takeover)), '403 operator-rejected');
  await operators.drain();
});

test('a withdrawn operator key that still works, or settings without operators, would lose control', async () => {
  const { url, operators } = await startOperators();
  const post = (key: string, body: unknown) => fetchJson(`${url}/v1/settings`, { key, body });
  await post(ana.key, { base: 0, files });
  const emptyChange = await post(ana.key, { base: 1, files: { 'fleet.ini': '' } });
  assert.is(describeFailure(emptyChange), '422 settings-invalid');
  assert.match((emptyChange.body as ErrorBody).error.message, 'no operator');
  await post(ana.key, { base: 1, files: { 'fleet.ini': formatOperatorSection('bo', bo) } });
  const lateChange = await post(ana.key, {
    base: 2,
    files: { 'fleet.ini': formatOperatorSection('ana', ana) },
  });
  assert.is(describeFailure(lateChange), '403 operator-rejected');
  const conflictingChange = await post(bo.key, {
    base: 1,
    files: { 'teams/millers/team.ini': 'limit = 1' },
  });
  assert.is(describeFailure(conflictingChange), '409 settings-conflict');
  assert.match(
    (conflictingChange.body as ErrorBody).error.message,
    'version 2 by ana changed fleet.ini',
  );
  assert.is(describeFailure(await post(bo.key, { base: 2, fils: {} })), '400 malformed-request');
  await operators.drain();
});

test('a process that is not fresh but reports itself as ready would keep receiving requests', async () => {
  const checkReady = () => failWith<void>(ErrorKind.NotFresh, 'no recent read');
  const { url, operators } = await startOperators({ checkReady });
  assert.is((await fetchJson(`${url}/healthz`)).status, 200);
  assert.is(describeFailure(await fetchJson(`${url}/readyz`)), '503 not-fresh');
  await operators.drain();
});

test('omitting the jobs of an unresponsive member without notice would make them look finished', async () => {
  const { url, operators, cancelled } = await startOperators();
  await fetchJson(`${url}/v1/settings`, { key: ana.key, body: { base: 0, files } });
  const get = (path: string) => fetchJson(`${url}/v1/${path}`, { key: ana.key });
  const { body } = await get('jobs');
  const list = body as { jobs: { id: string; body?: unknown }[]; missing: string[] };
  assert.equal(list.jobs.map(({ id }) => id).sort(), ['j1', 'j2']);
  assert.is(list.jobs[0]?.body, undefined);
  assert.equal(list.missing, ['m3']);
  assert.equal((await get('state?member=m2')).body, { member: 'm2' });
  assert.is(describeFailure(await get('state?member=m3')), '503 peer-unavailable');
  assert.is(describeFailure(await get('state?member=m9')), '404 not-found');
  assert.is(describeFailure(await get('explain/l9')), '404 not-found');
  assert.is(describeFailure(await get('settings/history?limit=x')), '400 malformed-request');
  const cancel = { key: ana.key, method: 'DELETE' };
  assert.is((await fetchJson(`${url}/v1/jobs/j2`, cancel)).status, 200);
  assert.is(describeFailure(await fetchJson(`${url}/v1/jobs/j9`, cancel)), '404 not-found');
  assert.equal(cancelled, ['bakers/j2']);
  await operators.drain();
});

test.run();
