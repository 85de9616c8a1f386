import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { SubmitResult } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { configuration, queue } from '../testing/fake_cell.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { ClientAnswer, ClientCall } from './_responses.ts';
import { makeFront } from './front.ts';
import type { FrontOptions } from './front.ts';
import { makeRouteTable } from './routes.ts';

const test = suite('front');

const id = '00000000000000a1';

/** The front end's view of a cell without a scheduler. */
const noScheduler: FrontOptions['cell'] = {
  submit: async () => SubmitResult.NotTaken,
  stateOf: async () => undefined,
  cancel: async () => false,
};

function setUp(options: Partial<FrontOptions> = {}) {
  const store = makeFakeStore();
  const relayed: ClientCall[] = [];
  const table = makeRouteTable(
    configuration([queue(), queue({ name: 'open', pathPrefix: '/batch/open/', isPublic: true })]),
  );
  const front = makeFront({
    store,
    clock: systemClock,
    log: silentLogger,
    routes: () => table,
    pendingIn: () => 3,
    isOverloaded: () => false,
    isStoreDown: () => false,
    cell: noScheduler,
    async relay(call) {
      relayed.push(call);
      return Left(makeFailure(ErrorKind.PeerUnavailable, 'nobody is there'));
    },
    isJobId: (text) => text.length === 16,
    decodeJob: () => Right({ payload: '', steps: [] }),
    encodeState: (state) => state,
    encodePending: String,
    ...options,
  });
  const call = (method: string, path = `/batch/${id}`, fields: Partial<ClientCall> = {}) =>
    front.answer({
      method,
      host: 'site.example',
      path,
      key: 'key-1',
      body: '{}',
      isRelayed: false,
      ...fields,
    });
  return { store, relayed, call };
}

function answered(answer: ClientAnswer) {
  return async () => Right(answer) as never;
}

test('a write without an answer is never followed by a refusal that says it did not run', async () => {
  for (const status of [401, 404, 410, 429, 503, 504]) {
    const { store, call } = setUp({ relay: answered({ status, body: '' }) });
    store.setOutcome(() => 'lost');
    assert.is((await call('POST')).status, 504, `the other process answered ${status}`);
  }
});

test('a write that the store rejected is refused with Retry-After when nobody else can do it', async () => {
  const { store, call, relayed } = setUp();
  store.setOutcome(() => 'rejected');
  const answer = await call('POST');
  assert.is(answer.status, 503);
  assert.is(answer.retryAfterS, 1);
  assert.is(relayed.length, 1);
});

test('a call that is not served leaves a line with its id, its status and the reason', async () => {
  const lines: Record<string, unknown>[] = [];
  const keep = (_text: string, fields?: Record<string, unknown>) => lines.push(fields ?? {});
  const log = { ...silentLogger, info: keep, warn: keep };
  const { call } = setUp({ log, isStoreDown: () => true });
  await call('POST');
  assert.equal(
    lines.map(({ event }) => event),
    ['job-received', 'call-not-served'],
  );
  assert.equal([lines[1]!.id, lines[1]!.status], [id, 503]);
});

test('a relayed call is not relayed again', async () => {
  const { store, call, relayed } = setUp();
  store.setOutcome(() => 'rejected');
  assert.is((await call('POST', undefined, { isRelayed: true })).status, 503);
  assert.is(relayed.length, 0);
});

test('a job that is stored already is accepted again without a second row', async () => {
  const { store, call } = setUp();
  assert.is((await call('POST')).status, 200);
  assert.is((await call('POST')).status, 200);
  assert.is(store.rows.size, 1);
});

test('without a current configuration no call is served, and none gets 401 or 404', async () => {
  const { call } = setUp({ routes: () => undefined });
  assert.is((await call('POST')).status, 503);
  assert.is((await call('GET', '/nowhere/')).status, 503);
});

test('a store that is known to be down is not asked', async () => {
  const { store, call } = setUp({ isStoreDown: () => true });
  assert.is((await call('POST')).status, 503);
  assert.is(store.rows.size, 0);
});

test('work beyond a share on a busy queue is refused with 429 before anything is stored', async () => {
  const { store, call } = setUp({ isOverloaded: () => true });
  const answer = await call('POST');
  assert.is(answer.status, 429);
  assert.is(answer.retryAfterS, 1);
  assert.is(store.rows.size, 0);
});

test('a job that is stored already is accepted again also while its queue is busy', async () => {
  let isBusy = false;
  const { call } = setUp({ isOverloaded: () => isBusy });
  await call('POST');
  isBusy = true;
  assert.is((await call('POST')).status, 200);
});

test('the longest prefix wins, and a public queue needs no key', async () => {
  const { call } = setUp();
  assert.is((await call('GET', '/batch/open/', { key: undefined })).status, 200);
  assert.is((await call('GET', '/batch/', { key: undefined })).status, 401);
  assert.is((await call('GET', '/batch/', { host: 'SITE.example:80' })).body, '3');
});

test('a state is shown as stored, queued before there is progress, and 410 for an unknown job', async () => {
  const { store, call } = setUp();
  assert.is((await call('GET')).status, 410);
  await call('POST');
  assert.is((await call('GET')).body, 'queued');
  await store.transact({
    expected: [],
    writes: [{ table: 'progress', part: 'c0', key: id, value: '{"state":"running"}' }],
    deletes: [],
  });
  assert.is((await call('GET')).body, 'running');
});

test('a job that the scheduler took needs no call to the store', async () => {
  const { store, call } = setUp({
    cell: {
      ...noScheduler,
      submit: async () => SubmitResult.Stored,
      stateOf: async () => 'running',
    },
  });
  assert.is((await call('POST')).status, 200);
  assert.is((await call('GET')).body, 'running');
  assert.is(store.rows.size, 0);
});

test('a job that the scheduler may have stored is never refused as not run', async () => {
  const cell = { ...noScheduler, submit: async () => SubmitResult.Unknown };
  const { store, call } = setUp({ cell, isOverloaded: () => true });
  store.setOutcome(() => 'rejected');
  assert.is((await call('POST')).status, 504);
  const down = setUp({ cell, isStoreDown: () => true });
  assert.is((await down.call('POST')).status, 504);
});

test('a process that the store turns away still serves what the scheduler can', async () => {
  const { call } = setUp({
    isStoreDown: () => true,
    cell: {
      submit: async () => SubmitResult.Stored,
      stateOf: async () => 'completed',
      cancel: async () => true,
    },
  });
  assert.is((await call('POST')).status, 200);
  assert.is((await call('GET')).body, 'completed');
  assert.is((await call('DELETE')).status, 200);
});

test('a job that ends between two readings is not answered with 410', async () => {
  const set = setUp();
  const { rows } = set.store;
  const accepted = { table: 'accepted', part: 'c0', key: id, value: '{}', version: 1 };
  const progress = { ...accepted, table: 'progress', value: '{"state":"completed"}' };
  rows.set('accepted', accepted);
  const read = set.store.read.bind(set.store);
  set.store.read = async (query) => {
    const view = await read(query);
    // The scheduler replaces the accepted row by the progress after the first reading.
    rows.delete('accepted');
    rows.set('progress', progress);
    return view;
  };
  assert.is((await set.call('GET')).body, 'completed');
});

test.run();
