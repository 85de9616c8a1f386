import { Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeHostMetrics } from './host_metrics.ts';

const test = suite('host metrics');

test('events, requests and store calls are counted, and no label has a value from a request', async () => {
  const metrics = makeHostMetrics(systemClock);
  const log = metrics.countEvents(silentLogger);
  log.info('job ended', { event: 'job-ended', id: '5c0e7a21d94b36f8', afterMs: 40 });
  log.warn('a line without an event');
  const store = metrics.timeStore(makeFakeStore());
  assert.ok((await store.read({ table: 'jobs', part: 'j0' })).isRight());
  const handle = metrics.timeRequests(async () => ({ status: 404, body: '' }));
  await handle({ method: 'BREW', path: '/secret/5c0e7a21d94b36f8', headers: {}, body: '' });
  const text = await metrics.text();
  assert.match(text, 'dogwood_events_total{event="job-ended"} 1');
  assert.match(text, 'dogwood_event_delay_seconds_bucket{le="0.05",event="job-ended"} 1');
  assert.match(text, 'dogwood_store_call_seconds_count{call="read",outcome="ok"} 1');
  assert.match(text, 'dogwood_call_seconds_count{method="other",status="404"} 1');
  assert.not.match(text, '5c0e7a21d94b36f8');
});

test('the results of the store and the responses of the handler are returned unchanged', async () => {
  const metrics = makeHostMetrics(systemClock);
  const inner = { ...makeFakeStore(), transact: async () => Right(7) };
  const transaction = { expected: [], writes: [], deletes: [] };
  assert.is((await metrics.timeStore(inner).transact(transaction)).extract(), 7);
  const response = { status: 200, body: 'x' };
  const handle = metrics.timeRequests(async () => response);
  assert.is(await handle({ method: 'GET', path: '/', headers: {}, body: '' }), response);
});

test.run();
