import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server as TcpServer } from 'node:net';

import { Right } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { HandedLookup } from '../schema/mod.ts';
import { makePeerClients, makePeerHandler, peerKeepAliveMs } from './mod.ts';
import type { Peer } from './mod.ts';

const lookup: HandedLookup = {
  id: 'l1',
  team: 'a',
  queue: 'main',
  size: { processors: 1, memoryMb: 100, accelerators: 0, slots: 1 },
  remainingMs: 1_500,
  estimateMs: 20,
  idempotent: false,
  body: { q: 'x' },
  settings: 7,
};

const handlers: Peer = {
  fresh: async () => Right({ verdict: 'promise', settings: 7 }),
  lookup: async ({ id, body }, { signal } = {}) => {
    if (id === 'slow') await systemClock.sleep(5_000, signal);
    return Right({ id, worker: 'w1', waitMs: 1, runMs: 2, body });
  },
  witness: async () => Right({ verdict: 'first' }),
  views: async () => Right({ complete: true, views: [] }),
  submit: async () => failWith(ErrorKind.NotOwner, 'no partition'),
  hold: async () => failWith(ErrorKind.TeamLimit, 'no unit', { retryAfterMs: 70, expected: 3 }),
  commit: async () => Right({ tasks: [] }),
  release: async () => Right(undefined),
  stop: async () => Right(undefined),
  ended: async () => Right({ recorded: [] }),
  attempt: async () => Right({ state: 'absent' }),
  changes: async () => Right([]),
  status: async () => Right({}),
};

const portOf = (server: Server | TcpServer) => (server.address() as AddressInfo).port;
const listen = (server: Server | TcpServer) =>
  new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

async function setUp() {
  const server = createServer(
    { keepAliveTimeout: peerKeepAliveMs },
    makePeerHandler(handlers, { room: () => 41 }),
  );
  await listen(server);
  const bytes = { sent: 0, received: 0 };
  const relay = createTcpServer((socket) => {
    const serverSocket = connect(portOf(server), '127.0.0.1');
    socket.on('data', (chunk) => {
      bytes.sent += chunk.length;
      serverSocket.write(chunk);
    });
    serverSocket.on('data', (chunk) => {
      bytes.received += chunk.length;
      socket.write(chunk);
    });
    socket.on('close', () => serverSocket.destroy());
    socket.on('error', () => serverSocket.destroy());
    serverSocket.on('error', () => socket.destroy());
  });
  await listen(relay);
  const freeSlots: number[] = [];
  const clients = makePeerClients({
    clock: systemClock,
    onFreeSlots: (_member, room) => freeSlots.push(room),
  });
  const peer = clients.peers({ id: 'm2', address: '127.0.0.1', port: portOf(relay) });
  const close = async () => {
    await clients.close();
    relay.close();
    server.closeAllConnections();
    server.close();
  };
  return { peer, bytes, close, freeSlots, clients };
}

test('a failure must keep its kind on the wire, or the caller handles it wrongly', async () => {
  const { peer, close, freeSlots } = await setUp();
  const need = {
    team: 'a',
    queue: 'main',
    kind: 'batch',
    size: lookup.size,
    estimateMs: 1,
  } as const;
  const holdResult = await peer.hold({ hold: 'h', job: 'j', need, count: 1, settings: 7 });
  assert.equal(holdResult.swap().unsafeCoerce(), {
    kind: ErrorKind.TeamLimit,
    message: 'no unit',
    retryAfterMs: 70,
    expected: 3,
  });
  assert.equal((await peer.lookup(lookup)).unsafeCoerce().body, { q: 'x' });
  assert.ok((await peer.release({ hold: 'h' })).isRight());
  const malformed = await peer.attempt({ task: 't' } as never);
  assert.is(malformed.swap().unsafeCoerce().kind, ErrorKind.MalformedRequest);
  assert.equal(freeSlots, [41, 41, 41, 41]);
  await close();
});

test('"peer-unavailable" after a byte was sent would make a lookup run twice', async () => {
  const { peer, close, clients } = await setUp();
  const slow = await peer.lookup({ ...lookup, id: 'slow' }, { timeoutMs: 100 });
  assert.is(slow.swap().unsafeCoerce().kind, ErrorKind.OutcomeUnknown);
  const controller = new AbortController();
  controller.abort();
  const aborted = await peer.lookup(lookup, { signal: controller.signal });
  assert.is(aborted.swap().unsafeCoerce().kind, ErrorKind.PeerUnavailable);
  const closedServer = createTcpServer();
  await listen(closedServer);
  const closedPort = portOf(closedServer);
  await new Promise((resolve) => {
    closedServer.close(resolve);
  });
  const unreachable = await clients
    .peers({ id: 'm3', address: '127.0.0.1', port: closedPort })
    .lookup(lookup);
  assert.is(unreachable.swap().unsafeCoerce().kind, ErrorKind.PeerUnavailable);
  const resettingServer = createTcpServer((socket) => socket.once('data', () => socket.destroy()));
  await listen(resettingServer);
  const interrupted = await clients
    .peers({ id: 'm4', address: '127.0.0.1', port: portOf(resettingServer) })
    .lookup(lookup);
  assert.is(interrupted.swap().unsafeCoerce().kind, ErrorKind.OutcomeUnknown);
  resettingServer.close();
  await close();
});

test('calls above 1,000 bytes with headers would exceed the control traffic budget', async () => {
  const { peer, bytes, close } = await setUp();
  const request = { member: 'm1', settings: 7, membership: 3 };
  await peer.fresh(request);
  const before = { ...bytes };
  for (let i = 0; i < 10; i++) await peer.fresh(request);
  const perCall = (bytes.sent + bytes.received - before.sent - before.received) / 10;
  assert.ok(perCall < 500, `${perCall} bytes for each call`);
  await close();
});

test.run();
