import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import { hostDialects } from '../hosts/mod.ts';
import { objectDialects } from '../objects/mod.ts';
import { startHosts, startObjects, startWorker } from './mod.ts';

const clock = systemClock;

test('a missing object read as a failure, or the reverse, would lose a result', async () => {
  const { faults, close, address, port } = await startObjects({ clock });
  const objects = objectDialects.http({ address, port, clock });
  const name = 'results/j1 2';
  assert.is((await objects.get(name)).unsafeCoerce(), undefined);
  await objects.put(name, new Uint8Array([1, 2, 255]));
  assert.equal([...((await objects.get(name)).unsafeCoerce() ?? [])], [1, 2, 255]);
  faults.fail = true;
  assert.is(((await objects.get(name)).extract() as Failure).kind, ErrorKind.ObjectUnavailable);
  faults.fail = false;
  await objects.remove(name);
  assert.is((await objects.get(name)).unsafeCoerce(), undefined);
  await Promise.all([objects.close(), close()]);
});

test('a host list that fails would be read as a list without hosts', async () => {
  const hosts = [{ address: '127.0.0.9', state: 'leaving' as const }];
  const { faults, close, address, port } = await startHosts({ clock, hosts });
  const client = hostDialects['http-json']({ address, port, clock });
  assert.equal((await client.list()).unsafeCoerce(), hosts);
  faults.fail = true;
  assert.is(((await client.list()).extract() as Failure).kind, ErrorKind.HostsUnavailable);
  await Promise.all([client.close(), close()]);
});

test('faults that cannot be switched over HTTP would leave other processes untested', async () => {
  const worker = await startWorker({ clock, id: 'w1' });
  const { address, port } = worker;
  const pool = makeConnectionPool({ address, port, clock, connections: 2 });
  const post = async (path: string, value: object) => {
    const body = JSON.stringify(value);
    const response = await pool.exchange({ method: 'POST', path, body, timeoutMs: 2_000 });
    return response.map(({ status }) => status).extract();
  };
  assert.is(await post('/_control', { fail: true }), 200);
  assert.is(await post('/fence', { owner: 'm1', epoch: 1 }), 500);
  assert.is(await post('/_control', { fail: false, leaving: true }), 200);
  assert.is(await post('/fence', { owner: 'm1', epoch: 1 }), 200);
  const leavingRenewal = post('/renew', { epoch: 1, leaseMs: 1_000, waitMs: 1_500 });
  assert.is(await leavingRenewal, 200, 'the change to leaving ends the wait');
  const cutRenewal = post('/renew', { epoch: 1, leaseMs: 1_000, waitMs: 1_500 });
  assert.is(await post('/_control', { crash: true, refuseMs: 100 }), 200);
  assert.equal(
    (await cutRenewal) && typeof (await cutRenewal),
    'object',
    'a crash closes open exchanges',
  );
  // The client may notice the closing of its other connection a little later.
  await clock.sleep(20);
  assert.equal(await post('/fence', { owner: 'm1', epoch: 2 }), {
    mayBeSent: false,
    message: `connect ECONNREFUSED ${address}:${port}`,
    code: 'ECONNREFUSED',
  });
  await clock.sleep(150);
  assert.is(await post('/fence', { owner: 'm1', epoch: 2 }), 200);
  await Promise.all([pool.close(), worker.close()]);
});

test.run();
