import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';

import { Right } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { Caller, Dispatch } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { buildFleet } from '../settings/mod.ts';
import { ask, operator, other, own, start, tree } from '../testing/callers_client.ts';
import type { Answer } from '../testing/callers_client.ts';

const describeFailure = ({ status, body }: Answer) =>
  `${status} ${body.error.kind} ${body.error.ran}`;
const sleep = (ms: number) => systemClock.sleep(ms);

test('accepting a missing, invalid, foreign or withdrawn key would run work for the wrong team', async () => {
  const { port, callers, calls, state } = await start();
  const refusals: [Parameters<typeof ask>[1], string][] = [
    [{}, '401 key-missing no'],
    [{ headers: { 'x-team': 'bakers' } }, '401 key-missing no'],
    [{ headers: { 'x-team': 'millers' } }, '401 key-missing no'],
    [{ headers: { 'x-team': 'nobody' } }, '403 team-unknown no'],
    [{ headers: { 'x-team': 'constructor' } }, '403 team-unknown no'],
    [{ headers: { authorization: own.key } }, '403 key-rejected no'],
    [{ key: `${own.key.slice(0, -2)}AA` }, '403 key-rejected no'],
    [{ key: operator.key }, '403 key-rejected no'],
    [{ key: other.key, headers: { 'x-team': 'millers' } }, '403 key-rejected no'],
    [{ key: own.key, body: { queue: 'nights' } }, '404 queue-unknown no'],
    [
      { key: own.key, path: '/v1/jobs', body: { kind: 'batch', queue: 'public' } },
      '400 malformed-request no',
    ],
    [{ key: other.key, path: '/v1/jobs/j1', method: 'GET' }, '404 not-found no'],
    [
      { headers: { 'x-team': 'millers' }, path: '/v1/jobs/j1', method: 'GET' },
      '404 queue-unknown no',
    ],
  ];
  for (const [request, expected] of refusals) {
    assert.is(describeFailure(await ask(port, request)), expected, JSON.stringify(request));
  }
  assert.is(calls.length, 0);
  assert.is((await ask(port, { key: own.key })).status, 200);
  state.fleet = buildFleet({ ...tree, 'teams/millers/keys.ini': '' }, 2).unsafeCoerce();
  assert.is(describeFailure(await ask(port, { key: own.key })), '403 key-rejected no');
  await callers.drain();
});

test('requiring a key for an open queue, or denying a team its own job, would block valid requests', async () => {
  const { port, callers, calls } = await start();
  const open = { headers: { 'x-team': 'millers' }, body: { queue: 'public', body: { n: 1 } } };
  const response = await ask(port, open);
  assert.equal(response.body, {
    id: 'l1',
    worker: 'w1',
    waitMs: 1,
    runMs: 2,
    body: { n: 1 },
  });
  assert.is((await ask(port, { ...open, key: other.key })).status, 200);
  const headers = { 'x-request-id': 'r-1' };
  const echoResponse = await ask(port, { key: own.key, headers });
  assert.is(echoResponse.headers['x-request-id'], 'r-1');
  assert.is(calls.at(-1)?.caller.request, 'r-1');
  const job = await ask(port, { key: own.key, method: 'GET', path: '/v1/jobs/j1' });
  assert.equal(job.body, { id: 'j1', team: 'millers', queue: 'gone' });
  const result = await ask(port, { key: own.key, method: 'GET', path: '/v1/jobs/j1/result' });
  assert.equal(result.body, { id: 'j1', result: null });
  await callers.drain();
});

test('an invalid request would get a closed connection or a stack trace instead of an error response', async () => {
  const lookup = () =>
    Promise.resolve(failWith(ErrorKind.SizeInfeasible, 'no upstream is that large'));
  const { port, callers } = await start({ lookup });
  const { key } = own;
  const invalidRequests: [Parameters<typeof ask>[1], string][] = [
    [{ key, body: '{"queue": ' }, '400 malformed-request no'],
    [{ key, body: 'null' }, '400 malformed-request no'],
    [{ key, body: { size: { processors: -1 } } }, '400 malformed-request no'],
    [{ key, body: { sise: {} } }, '400 malformed-request no'],
    [{ key, body: { size: { processors: 9_999 } } }, '422 size-infeasible no'],
    [{ key, path: '/v1/jobs', body: { kind: 'lookup' } }, '400 malformed-request no'],
    [{ key, body: { body: 'x'.repeat(500_000) } }, '413 body-too-large no'],
    [
      { key, body: 'x'.repeat(500_000), headers: { 'transfer-encoding': 'chunked' } },
      '413 body-too-large no',
    ],
    [{ key, headers: { 'x-long': 'x'.repeat(4_000) } }, '431 header-too-large no'],
    [{ key, headers: { 'x-request-id': 'a b' } }, '400 malformed-request no'],
    [{ path: '/v2/lookups' }, '404 not-found no'],
    [{ path: '/v1/jobs/%E0%A4%A/result' }, '405 method-not-allowed no'],
  ];
  for (const [request, expected] of invalidRequests) {
    assert.is(
      describeFailure(await ask(port, request)),
      expected,
      JSON.stringify(request).slice(0, 200),
    );
  }
  const method = await ask(port, { method: 'PUT', path: '/v1/jobs/j1' });
  assert.is(describeFailure(method), '405 method-not-allowed no');
  assert.is(method.headers.allow, 'GET, DELETE');
  const raw = net.connect(port, '127.0.0.1');
  raw.write('HELLO\r\n\r\n');
  const [bytes] = (await once(raw, 'data')) as [Buffer];
  assert.match(bytes.toString(), 'HTTP/1.1 400');
  await callers.drain();
});

test('reporting an unknown outcome as "not run" would make a caller run work twice', async () => {
  const kinds = [ErrorKind.OutcomeUnknown, ErrorKind.NotFresh, ErrorKind.NoRoom] as const;
  let callIndex = -1;
  const lookup = () => {
    callIndex += 1;
    const kind = kinds[callIndex];
    if (!kind) throw new Error('defect');
    return Promise.resolve(failWith(kind, 'test', { retryAfterMs: 2_500 }));
  };
  const { port, callers } = await start({ lookup });
  assert.is(describeFailure(await ask(port, { key: own.key })), '504 outcome-unknown unknown');
  const refused = await ask(port, { key: own.key });
  assert.is(describeFailure(refused), '503 not-fresh no');
  assert.is(refused.headers['retry-after'], '3');
  assert.is(describeFailure(await ask(port, { key: own.key })), '503 no-room no');
  assert.is(describeFailure(await ask(port, { key: own.key })), '500 internal unknown');
  await callers.drain();
});

test('a process that is not fresh would accept work based on outdated settings', async () => {
  const checkReady = () =>
    failWith<void>(ErrorKind.NotFresh, 'no recent read of the table service');
  const { port, callers, calls } = await start({ checkReady });
  assert.is(describeFailure(await ask(port, { key: own.key })), '503 not-fresh no');
  assert.is(calls.length, 0);
  await callers.drain();
});

test('the lookup of a disconnected caller would keep running', async () => {
  let aborted = false;
  const lookup = ({ signal }: Caller) =>
    new Promise<ReturnType<typeof failWith>>((resolve) => {
      signal?.addEventListener('abort', () => {
        aborted = true;
        resolve(failWith(ErrorKind.Cancelled, 'the caller went away'));
      });
    }) as ReturnType<Dispatch['lookup']>;
  const { port, callers, calls } = await start({ lookup });
  const request = http.request({
    port,
    method: 'POST',
    path: '/v1/lookups',
    headers: { authorization: `Bearer ${own.key}` },
  });
  request.on('error', () => undefined);
  request.end('{}');
  while (calls.length === 0) await sleep(5);
  request.destroy();
  await sleep(50);
  assert.ok(aborted);
  await callers.drain();
});

test('an unbounded number of requests or connections would exhaust the process', async () => {
  const finishLookups: (() => void)[] = [];
  const lookup = () =>
    new Promise((resolve) => {
      finishLookups.push(() => resolve(failWith(ErrorKind.NoRoom, 'test')));
    }) as ReturnType<Dispatch['lookup']>;
  const { port, callers } = await start({ lookup });
  const waiting = Array.from({ length: 5 }, () => ask(port, { key: own.key }));
  while (finishLookups.length < 5) await sleep(5);
  assert.is(describeFailure(await ask(port, { key: own.key })), '503 too-many-connections no');
  finishLookups.forEach((end) => end());
  await Promise.all(waiting);
  const sockets = Array.from({ length: 20 }, () => net.connect(port, '127.0.0.1'));
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  await sleep(50);
  const excess = await ask(port, { key: own.key });
  assert.is(describeFailure(excess), '503 too-many-connections no');
  assert.is(excess.headers.connection, 'close');
  sockets.forEach((socket) => socket.destroy());
  await callers.drain();
});

test('a shutdown would cut off open requests, or wait forever for idle keep-alive connections', async () => {
  const finishLookups: (() => void)[] = [];
  const lookup = () =>
    new Promise((resolve) => {
      const body = 'y'.repeat(300_000);
      finishLookups.push(() => resolve(Right({ id: 'l', worker: 'w', waitMs: 0, runMs: 0, body })));
    }) as ReturnType<Dispatch['lookup']>;
  const { port, callers } = await start({ lookup });
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const open = ask(port, { key: own.key });
  const keptAlive = ask(port, { key: own.key, agent });
  while (finishLookups.length < 2) await sleep(5);
  finishLookups.pop()?.();
  await keptAlive;
  const drained = callers.drain();
  await sleep(20);
  const lateResponse = await ask(port, { key: own.key, agent });
  assert.is(describeFailure(lateResponse), '503 draining no');
  assert.is(lateResponse.headers.connection, 'close');
  const refused = await ask(port, { key: own.key }).catch((error: NodeJS.ErrnoException) => error);
  assert.is((refused as NodeJS.ErrnoException).code, 'ECONNREFUSED');
  await sleep(1_200);
  assert.is(callers.state().open, 1);
  finishLookups.pop()?.();
  const response = await open;
  assert.is((response.body.body as string).length, 300_000);
  assert.is(response.headers.connection, 'close');
  await drained;
  assert.is(callers.state().connections, 0);
  agent.destroy();
});

test('a port in use would be reported as a stack trace instead of a clear error message', async () => {
  const { port, callers } = await start();
  const second = await start({ port });
  const { kind, message } = second.listened.swap().unsafeCoerce();
  assert.is(kind, ErrorKind.SettingsInvalid);
  assert.match(message, `127.0.0.1:${port} of section [callers] is in use by another process`);
  await callers.drain();
});

test.run();
