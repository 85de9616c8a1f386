import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import { makeConnectionPool } from '../exchange/mod.ts';
import { makeChannelServer } from '../channel/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { findFreePort } from '../testing/free_port.ts';
import { makePeerClient } from './peer_client.ts';
import { servePeers } from './peer_server.ts';
import type { PeerService } from './peer_server.ts';

const test = suite('requests between entry processes');

/** Submits jobs to a process that responds with the status, and returns the kind of the failure. */
async function submitAndGetErrorKind(status: number): Promise<ErrorKind | undefined> {
  const channels = makeChannelServer({
    handle: async () => ({ status, body: {} }),
    onError: () => undefined,
    onConnectionFailed: () => undefined,
  });
  const server = createServer();
  server.on('upgrade', (_request, socket, head) => channels.accept(socket as Socket, head));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const result = await makePeerClient(systemClock, { portOffset: 0 }).submit(
    `127.0.0.1:${port}`,
    [],
  );
  channels.close();
  server.close();
  return result.swap().toMaybe().extract()?.kind;
}

test('jobs of which some may be stored have an unknown outcome if the scheduler fails', async () => {
  assert.is(await submitAndGetErrorKind(500), ErrorKind.OutcomeUnknown);
  assert.is(await submitAndGetErrorKind(503), ErrorKind.PeerUnavailable);
  assert.is(await submitAndGetErrorKind(413), ErrorKind.PeerUnavailable);
});

test('a malformed request between processes is refused and reported, and the next one is served', async () => {
  const address = `127.0.0.1:${await findFreePort()}`;
  const errors: unknown[] = [];
  const servers = await servePeers(
    { instance: () => 'a-1', scheduler: () => undefined } as Partial<PeerService> as PeerService,
    { address, ports: 1, log: silentLogger, onError: (error) => errors.push(error) },
  );
  const [ip = '', port] = address.split(':');
  const pool = makeConnectionPool({ address: ip, port: Number(port), clock: systemClock });
  const send = async (path: string, body: string) => {
    const response = await pool.exchange({ method: 'POST', path, body, timeoutMs: 1_000 });
    return response.map(({ status }) => status).orDefault(0);
  };
  const malformed = ['{', 'null', '{}', '[null]', '[5]', '[{"id":"a"}]'];
  const statuses = await Promise.all(
    ['/submit', '/states', '/cancel', '/worker'].flatMap((path) =>
      malformed.map((body) => send(path, body)),
    ),
  );
  assert.ok(
    statuses.every((status) => status === 400),
    String(statuses),
  );
  assert.is(errors.length, statuses.length);
  assert.is(await send('/states', '["a"]'), 200);
  const ping = await makePeerClient(systemClock, { portOffset: 0 }).ping(address, 1_000);
  assert.is(ping.instance, 'a-1');
  await pool.close();
  servers.forEach((server) => server.close());
});

test('a process that is stopping makes no calls to workers for others', async () => {
  const address = `127.0.0.1:${await findFreePort()}`;
  const service: Partial<PeerService> = {
    instance: () => '',
    callWorker: () => Promise.reject(new Error('called')),
  };
  const errors: unknown[] = [];
  const servers = await servePeers(service as PeerService, {
    address,
    ports: 1,
    log: silentLogger,
    onError: (error) => errors.push(error),
  });
  const result = await makePeerClient(systemClock, { portOffset: 0 }).callWorker(
    address,
    { worker: { id: 'i-1', address: '127.0.0.1:1' }, disconnect: true },
    1_000,
  );
  assert.is(result.swap().toMaybe().extract()?.kind, ErrorKind.PeerUnavailable, 'nothing was sent');
  assert.equal(errors, []);
  servers.forEach((server) => server.close());
});

test.run();
