import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { SubmitResult } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { configuration, queue, stepSpec } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { ClientRequest, ClientResponse } from './_responses.ts';
import { makeFrontEnd } from './front.ts';
import type { FrontEndOptions } from './front.ts';
import { makeRouteTable } from './routes.ts';

const test = suite('front end');

const id = '00000000000000a1';

/** A cell without a scheduler. */
const noScheduler: FrontEndOptions['scheduler'] = {
  submit: async () => SubmitResult.NotTaken,
  getState: async () => undefined,
  cancel: async () => false,
};

function setUp(options: Partial<FrontEndOptions> = {}) {
  const store = makeFakeStore();
  const relayed: ClientRequest[] = [];
  const routeTable = makeRouteTable(
    configuration([queue(), queue({ name: 'open', pathPrefix: '/batch/open/', isPublic: true })]),
  );
  const front = makeFrontEnd({
    store,
    clock: systemClock,
    log: silentLogger,
    getRoutes: () => routeTable,
    getPendingCount: () => 3,
    isOverloaded: () => false,
    isStoreDown: () => false,
    maxJobBytes: 600_000,
    scheduler: noScheduler,
    async relay(request) {
      relayed.push(request);
      return Left(makeFailure(ErrorKind.PeerUnavailable, 'no other process responds'));
    },
    isJobId: (text) => text.length === 16,
    decodeJob: () => Right({ payload: '', steps: [] }),
    encodeState: (state) => state,
    encodePending: String,
    ...options,
  });
  const send = (method: string, path = `/batch/${id}`, fields: Partial<ClientRequest> = {}) =>
    front.handle({
      method,
      host: 'site.example',
      path,
      key: 'key-1',
      body: '{}',
      isRelayed: false,
      ...fields,
    });
  return { store, relayed, send };
}

function makeRelay(response: ClientResponse) {
  return async () => Right(response) as never;
}

test('a write that the store did not answer is never reported as not executed', async () => {
  for (const status of [401, 404, 410, 429, 503, 504]) {
    const { store, send } = setUp({ relay: makeRelay({ status, body: '' }) });
    store.setOutcome(() => 'lost');
    assert.is((await send('POST')).status, 504, `the other process responded with ${status}`);
  }
});

test('a write that the store rejected gets 503 and Retry-After if no other process can serve it', async () => {
  const { store, send, relayed } = setUp();
  store.setOutcome(() => 'rejected');
  const response = await send('POST');
  assert.is(response.status, 503);
  assert.is(response.retryAfterS, 1);
  assert.is(relayed.length, 1);
});

test('a request that is not served is logged with the job id and the status', async () => {
  const lines: Record<string, unknown>[] = [];
  const record = (_text: string, fields?: Record<string, unknown>) => lines.push(fields ?? {});
  const log = { ...silentLogger, info: record, warn: record };
  const { send } = setUp({ log, isStoreDown: () => true });
  await send('POST');
  assert.equal(
    lines.map(({ event }) => event),
    ['job-received', 'call-not-served'],
  );
  assert.equal([lines[1]!.id, lines[1]!.status], [id, 503]);
});

test('a relayed request is not relayed again', async () => {
  const { store, send, relayed } = setUp();
  store.setOutcome(() => 'rejected');
  assert.is((await send('POST', undefined, { isRelayed: true })).status, 503);
  assert.is(relayed.length, 0);
});

test('a job that is already stored is accepted again without a second row', async () => {
  const { store, send } = setUp();
  assert.is((await send('POST')).status, 200);
  assert.is((await send('POST')).status, 200);
  assert.is(store.rows.size, 1);
});

test('without a current configuration every request gets 503, not 401 or 404', async () => {
  const { send } = setUp({ getRoutes: () => undefined });
  assert.is((await send('POST')).status, 503);
  assert.is((await send('GET', '/nowhere/')).status, 503);
});

test('a store that is known to be down is not called', async () => {
  const { store, send } = setUp({ isStoreDown: () => true });
  assert.is((await send('POST')).status, 503);
  assert.is(store.rows.size, 0);
});

test('a job beyond its share on a busy queue is refused with 429 and not stored', async () => {
  const { store, send } = setUp({ isOverloaded: () => true });
  const response = await send('POST');
  assert.is(response.status, 429);
  assert.is(response.retryAfterS, 1);
  assert.is(store.rows.size, 0);
});

/** Makes a route table whose only organisation has this upper limit. */
function makeLimitedRoutes(cpu: number) {
  const { organisations, ...rest } = configuration();
  const upperLimit = { cpu, memoryMb: 0, gpu: 0 };
  return makeRouteTable({
    ...rest,
    organisations: organisations.map((organisation) => ({ ...organisation, upperLimit })),
  });
}

// Guards against a job that is accepted and never runs, as its organisation's limit was lowered before.
test('a job with a step above the upper limit is refused at once, unless it was stored before', async () => {
  let limitCpu = 4_000;
  const steps = [stepSpec(), stepSpec({ cpu: 4_000 })];
  const { store, send } = setUp({
    getRoutes: () => makeLimitedRoutes(limitCpu),
    decodeJob: () => Right({ payload: '', steps }),
  });
  assert.is((await send('POST')).status, 200);
  limitCpu = 3_999;
  assert.is((await send('POST')).status, 200);
  const response = await send('POST', '/batch/00000000000000a2');
  assert.is(response.status, 429);
  assert.is(response.retryAfterS, 3);
  assert.is(store.rows.size, 1);
});

test('a job that is already stored is accepted again while its queue is busy', async () => {
  let isBusy = false;
  const { send } = setUp({ isOverloaded: () => isBusy });
  await send('POST');
  isBusy = true;
  assert.is((await send('POST')).status, 200);
});

test('the queue with the longest path prefix is chosen, and a public queue needs no key', async () => {
  const { send } = setUp();
  assert.is((await send('GET', '/batch/open/', { key: undefined })).status, 200);
  assert.is((await send('GET', '/batch/', { key: undefined })).status, 401);
  assert.is((await send('GET', '/batch/', { host: 'SITE.example:80' })).body, '3');
});

test('a job is shown with its stored state, as queued before it has progress, and as 410 if unknown', async () => {
  const { store, send } = setUp();
  assert.is((await send('GET')).status, 410);
  await send('POST');
  assert.is((await send('GET')).body, 'queued');
  await store.transact({
    expected: [],
    writes: [{ table: 'progress', part: 'c0', key: id, value: '{"state":"running"}' }],
    deletes: [],
  });
  assert.is((await send('GET')).body, 'running');
});

test('a job that the scheduler has stored needs no call to the store', async () => {
  const { store, send } = setUp({
    scheduler: {
      ...noScheduler,
      submit: async () => SubmitResult.Stored,
      getState: async () => 'running',
    },
  });
  assert.is((await send('POST')).status, 200);
  assert.is((await send('GET')).body, 'running');
  assert.is(store.rows.size, 0);
});

test('a job that the scheduler may have stored is never refused as not executed', async () => {
  const scheduler = { ...noScheduler, submit: async () => SubmitResult.Unknown };
  const { store, send } = setUp({ scheduler, isOverloaded: () => true });
  store.setOutcome(() => 'rejected');
  assert.is((await send('POST')).status, 504);
  const down = setUp({ scheduler, isStoreDown: () => true });
  assert.is((await down.send('POST')).status, 504);
});

test('a process that cannot reach the store still serves requests through the scheduler', async () => {
  const { send } = setUp({
    isStoreDown: () => true,
    scheduler: {
      submit: async () => SubmitResult.Stored,
      getState: async () => 'completed',
      cancel: async () => true,
    },
  });
  assert.is((await send('POST')).status, 200);
  assert.is((await send('GET')).body, 'completed');
  assert.is((await send('DELETE')).status, 200);
});

test('a job that ends between the two reads of its state does not get 410', async () => {
  const setup = setUp();
  const { rows } = setup.store;
  const accepted = { table: 'accepted', part: 'c0', key: id, value: '{}', version: 1 };
  const progress = { ...accepted, table: 'progress', value: '{"state":"completed"}' };
  rows.set('accepted', accepted);
  const read = setup.store.read.bind(setup.store);
  setup.store.read = async (query) => {
    const result = await read(query);
    // After the first read, the scheduler replaces the accepted row with a progress row.
    rows.delete('accepted');
    rows.set('progress', progress);
    return result;
  };
  assert.is((await setup.send('GET')).body, 'completed');
});

// Guards against a job that is refused again and again, though no process can ever store it.
test('a job that is too large for the store is rejected at once and for good', async () => {
  const { send, store, relayed } = setUp({
    decodeJob: () => Right({ payload: 'x'.repeat(700_000), steps: [] }),
  });
  const response = await send('POST');
  assert.is(response.status, 413);
  assert.is(response.retryAfterS, undefined);
  assert.is(relayed.length, 0);
  assert.is(store.rows.size, 0);
});

// Guards against a gang that holds capacity for ever, as no transaction holds the progress of its job.
test('a gang that is wider than a job may have started tasks is rejected at once', async () => {
  const decodeGang = (count: number) => ({
    decodeJob: () => Right({ payload: '', steps: [stepSpec({ count, gang: true })] }),
  });
  assert.is((await setUp(decodeGang(6_001)).send('POST')).status, 413);
  assert.is((await setUp(decodeGang(6_000)).send('POST')).status, 200);
});

test.run();
