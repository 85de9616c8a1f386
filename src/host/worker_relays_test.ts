import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Member } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { StartOrder, WorkerAddress, WorkerClient } from '../model/mod.ts';
import type { PingResult } from './peer_client.ts';
import { makeWorkerRelays } from './worker_relays.ts';
import type { WorkerRelayOptions } from './worker_relays.ts';

const test = suite('worker relays');

const members = [1, 2, 3].map((index): Member => ({
  name: `edge-${index}`,
  instance: `i${index}`,
  address: `edge-${index}`,
  dataCentre: 'north',
  processors: 1,
  clients: 0,
  isJustRestarted: false,
}));
const order: StartOrder = {
  task: 'a.0.0.0',
  attempt: 1,
  payload: '',
  leaseUntilMs: 1,
  fencingToken: 1,
};
const noResponse: PingResult = {
  isConnectionRefused: false,
  epoch: 0,
  storeFailingMs: 0,
  storeRejectedMs: 0,
};
const workers = Array.from({ length: 48 }, (_, index) => ({
  id: `i-${index}`,
  address: `10.0.1.${index}:80`,
}));

const shutdowns: AbortController[] = [];

test.after.each(() => shutdowns.forEach((shutdown) => shutdown.abort()));

/** Which host made a call, in order. */
type Calls = string[];

function setUp(callWorker: WorkerRelayOptions['peers']['callWorker']) {
  const calls: Calls = [];
  const state = { nowMs: 0, ping: noResponse, members, pings: 0 };
  const clock = {
    ...systemClock,
    now: () => state.nowMs,
    async sleep() {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
  };
  const direct: Partial<WorkerClient> = {
    async start() {
      calls.push('direct');
      return {};
    },
    disconnect: () => undefined,
  };
  const shutdown = new AbortController();
  shutdowns.push(shutdown);
  const client = makeWorkerRelays({
    clock,
    signal: shutdown.signal,
    log: silentLogger,
    direct: direct as WorkerClient,
    otherMembers: () => state.members,
    peers: {
      async ping() {
        state.pings += 1;
        return state.ping;
      },
      callWorker(address, ...rest) {
        calls.push(address);
        return callWorker(address, ...rest);
      },
    },
  });
  async function startOn(worker: WorkerAddress): Promise<Rejection | undefined> {
    const { rejection } = await client.start(worker, order);
    return rejection;
  }
  return {
    calls,
    state,
    client,
    startAll: () => Promise.all(workers.map(startOn)),
    startOne: () => startOn(workers[0]!),
  };
}

function countBy(calls: Calls, name: string): number {
  return calls.filter((call) => call === name).length;
}

// Guards against a scheduler that pays an HTTP exchange for each start and each end of a large fleet.
test('all calls to the workers of a large fleet go through relays, from the first one on', async () => {
  const { calls, startAll } = setUp(async () => Right({ result: null }));
  const outcomes = await startAll();
  assert.ok(outcomes.every((outcome) => outcome === undefined));
  assert.is(calls.length, workers.length);
  assert.is(countBy(calls, 'direct'), 0);
  assert.is(new Set(calls).size, 2, 'two relays share the workers');
});

test('a call that did not reach its relay is made directly, and a call that may have is not repeated', async () => {
  const kinds: ErrorKind[] = [ErrorKind.PeerUnavailable, ErrorKind.OutcomeUnknown];
  for (const kind of kinds) {
    const { calls, startAll } = setUp(async () => Left(makeFailure(kind, 'no response')));
    const outcomes = await startAll();
    const isUnsent = kind === ErrorKind.PeerUnavailable;
    assert.ok(outcomes.every((outcome) => outcome === (isUnsent ? undefined : Rejection.Unknown)));
    assert.is(countBy(calls, 'direct'), isUnsent ? workers.length : 0);
  }
});

test('a relay that does not respond gets no further calls until it responds to a ping', async () => {
  const lost = new Set<string>();
  const { calls, state, startAll } = setUp(async (address) =>
    lost.has(address)
      ? Left(makeFailure(ErrorKind.PeerUnavailable, 'refused'))
      : Right({ result: null }),
  );
  await startAll();
  const [relay] = calls;
  lost.add(relay!);
  await startAll();
  calls.length = 0;
  await startAll();
  assert.is(countBy(calls, relay!), 0);
  assert.is(countBy(calls, 'direct'), 0, 'another relay takes over');
  lost.clear();
  state.ping = { ...noResponse, instance: '' };
  const { pings } = state;
  while (state.pings < pings + 3) await new Promise(setImmediate);
  state.nowMs += 2_000;
  calls.length = 0;
  await startAll();
  assert.is(countBy(calls, relay!), 0, 'a process that is stopping is no relay');
  state.ping = { ...noResponse, instance: 'i9' };
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  state.nowMs += 2_000;
  calls.length = 0;
  await startAll();
  assert.ok(countBy(calls, relay!) > 0);
});

test('a response without a result does not count as an order that was carried out', async () => {
  const { startAll, startOne } = setUp(async () => Right({}));
  const outcomes = await startAll();
  assert.ok(outcomes.every((outcome) => outcome === Rejection.Unknown));
  assert.is(await startOne(), undefined, 'the worker is called directly now');
});

// Guards against a worker that is unreachable for its relay only, and would count as lost.
[
  { result: Rejection.Unknown, description: 'does not respond to its relay' },
  { result: Rejection.Unsent, description: 'its relay cannot connect to' },
].forEach(({ result, description }) =>
  test(`a worker that ${description} is called directly for a while`, async () => {
    const { calls, state, startAll, startOne } = setUp(async () => Right({ result }));
    await startAll();
    calls.length = 0;
    assert.is(await startOne(), undefined);
    assert.equal(calls, ['direct']);
    state.nowMs += 5_001;
    calls.length = 0;
    await startOne();
    assert.not.equal(calls, ['direct']);
  }),
);

// Guards against a start through a relay whose response cannot tell a new incarnation from the former one.
test('the clock in the response to an order arrives through a relay', async () => {
  const { client } = setUp(async () => Right({ result: Rejection.Late, clockMs: 60 }));
  await Promise.all(workers.map((worker) => client.stop(worker, order)));
  assert.equal(await client.start(workers[0]!, order), { rejection: Rejection.Late, clockMs: 60 });
});

test.run();
