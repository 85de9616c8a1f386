import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { startTestSite } from '../testing/site.ts';
import type { TestSite } from '../testing/site.ts';

const test = suite('entry processes on the platform');

let nextId = 1;

function newId(): string {
  nextId += 1;
  return nextId.toString(16).padStart(16, '0');
}

function job(count: number, { ms = 20, cpu = 1_000, ...rest }: Record<string, unknown> = {}) {
  return {
    spec: JSON.stringify({ ms, how: rest.how ?? 'done' }),
    phases: [{ count, cpu, mem_mb: 100, estimated_ms: ms, ...rest }],
  };
}

async function withSite(
  options: { hosts: number; workers: number; cpu?: number },
  play: (site: TestSite) => Promise<void>,
): Promise<void> {
  const site = await startTestSite(options);
  try {
    await play(site);
  } finally {
    await site.close();
  }
}

/** Fails when two runs of a task overlap, or one starts after one that was done. */
function assertSingleRuns(site: TestSite): void {
  const byTask = new Map<string, ReturnType<TestSite['starts']>>();
  site.starts().forEach((start) => {
    byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
  });
  byTask.forEach((starts, task) => {
    const sorted = starts.sort((a, b) => a.atMs - b.atMs);
    sorted.slice(1).forEach((start, index) => {
      const before = sorted[index]!;
      assert.ok((before.endedMs ?? Infinity) <= start.atMs, `two runs of ${task} overlap`);
      assert.is.not(before.how, 'done', `${task} was started after it was done`);
    });
  });
}

test('a job runs from its submission to completed, with tickets and steps in order', () =>
  withSite({ hosts: 2, workers: 3 }, async (site) => {
    const path = `/urgent/${newId()}`;
    const [phase] = job(3).phases;
    const body = { ...job(3), phases: [phase, { ...phase, count: 2, after: [0] }] };
    assert.is((await site.call('POST', path, { body })).status, 200);
    await site.waitForState(path, 'completed');
    const starts = site.starts();
    assert.is(starts.length, 5);
    const first = starts.filter(({ task }) => task.includes('.0.0.'));
    const second = starts.filter(({ task }) => task.includes('.0.1.'));
    const firstEnd = Math.max(...first.map(({ endedMs }) => endedMs!));
    assert.ok(
      second.every(({ atMs }) => atMs >= firstEnd),
      'the second step waits for the first',
    );
    assertSingleRuns(site);
  }));

test('a job that is sent twice, to two entry processes, runs once', () =>
  withSite({ hosts: 2, workers: 2 }, async (site) => {
    const path = `/batch/${newId()}`;
    const answers = await Promise.all(
      [0, 1].map((host) => site.call('POST', path, { body: job(2), host })),
    );
    assert.equal(
      answers.map(({ status }) => status),
      [200, 200],
    );
    await site.waitForState(path, 'completed');
    assert.is((await site.call('POST', path, { body: job(2) })).status, 200);
    assert.is(site.starts().length, 2);
  }));

test('a cancelled job is stopped at its workers and shown as cancelled', () =>
  withSite({ hosts: 1, workers: 1 }, async (site) => {
    const path = `/batch/${newId()}`;
    await site.call('POST', path, { body: job(2, { ms: 60_000 }) });
    await site.waitForState(path, 'in_progress');
    assert.is((await site.call('DELETE', path)).status, 200);
    await site.waitForState(path, 'cancelled');
    while (site.starts().some(({ how }) => how === undefined)) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    assert.ok(site.starts().every(({ how }) => how === 'stopped'));
  }));

test('a task that fails max_attempts times fails its job', () =>
  withSite({ hosts: 1, workers: 2 }, async (site) => {
    const path = `/batch/${newId()}`;
    await site.call('POST', path, { body: job(1, { how: 'failed' }) });
    await site.waitForState(path, 'failed');
    assert.is(site.starts().length, 2);
  }));

test('unknown keys, queues and jobs get 401, 404 and 410, and a bad body 400', () =>
  withSite({ hosts: 1, workers: 1 }, async (site) => {
    const path = `/batch/${newId()}`;
    assert.is((await site.call('POST', path, { body: job(1), key: 'none' })).status, 401);
    assert.is((await site.call('GET', '/nowhere/')).status, 404);
    assert.is((await site.call('GET', path)).status, 410);
    assert.is((await site.call('DELETE', path)).status, 410);
    assert.is((await site.call('POST', path, { body: '{"spec":' })).status, 400);
    const cycle = { spec: '{}', phases: [{ count: 1, cpu: 1, after: [0] }] };
    assert.is((await site.call('POST', path, { body: cycle })).status, 400);
    assert.is((await site.call('POST', '/batch/xyz', { body: job(1) })).status, 404);
    assert.is(await site.waitForCount('/batch/'), 0);
  }));

test('an answer of a worker that is lost does not start a task twice', () =>
  withSite({ hosts: 1, workers: 2 }, async (site) => {
    site.standin.workers.forEach((worker) => worker.setLosingAnswers(true));
    const path = `/batch/${newId()}`;
    await site.call('POST', path, { body: job(3, { ms: 50 }) });
    await site.waitForState(path, 'completed');
    assert.is(site.starts().length, 3);
  }));

test('another entry process takes over when the scheduler is killed, and no task runs twice', () =>
  withSite({ hosts: 2, workers: 3 }, async (site) => {
    const paths = Array.from({ length: 6 }, () => `/batch/${newId()}`);
    await Promise.all(
      paths.map((path) => site.call('POST', path, { body: job(4, { ms: 900 }), host: 1 })),
    );
    await site.waitForState(paths[0]!, 'in_progress');
    const claim = JSON.parse(site.standin.store.get('leadership', 'c0', 'claim')!) as {
      name: string;
    };
    const scheduler = claim.name === 'entry-1' ? 0 : 1;
    site.hosts[scheduler]!.kill();
    const survivor = 1 - scheduler;
    for (const path of paths) {
      let state: string | undefined;
      while (state !== 'completed') {
        ({
          body: { state },
        } = await site.call('GET', path, { host: survivor }));
      }
    }
    assertSingleRuns(site);
  }));

test('the store losing its answers neither loses nor doubles a job', () =>
  withSite({ hosts: 1, workers: 2 }, async (site) => {
    const before = `/batch/${newId()}`;
    await site.call('POST', before, { body: job(1) });
    await site.waitForState(before, 'completed');
    const path = `/batch/${newId()}`;
    site.standin.store.setMode('loses-answers');
    const first = await site.call('POST', path, { body: job(2) });
    // The scheduler finds out whether its transaction took effect; a process alone cannot.
    assert.ok([200, 504].includes(first.status), String(first.status));
    site.standin.store.setMode('well');
    assert.is((await site.call('POST', path, { body: job(2) })).status, 200);
    await site.waitForState(path, 'completed');
    assert.is(site.starts().filter(({ task }) => task.startsWith(path.slice(-16))).length, 2);
  }));

test('a store that is down is answered with 503 and Retry-After, not held', () =>
  withSite({ hosts: 1, workers: 1 }, async (site) => {
    site.standin.store.setMode('busy');
    // The job that finds the store down may already be in a transaction, which is sent again later.
    const first = await site.call('POST', `/batch/${newId()}`, { body: job(1) });
    assert.ok([503, 504].includes(first.status), String(first.status));
    const path = `/batch/${newId()}`;
    const refused = await site.call('POST', path, { body: job(1) });
    assert.is(refused.status, 503);
    assert.is(refused.retryAfter, '1');
    site.standin.store.setMode('well');
    assert.is(site.starts().length, 0);
  }));

test('a lost history of the store loses no job', () =>
  withSite({ hosts: 1, workers: 1 }, async (site) => {
    const path = `/batch/${newId()}`;
    site.standin.store.dropHistory();
    await site.call('POST', path, { body: job(1) });
    site.standin.store.dropHistory();
    await site.waitForState(path, 'completed');
  }));

test.run();
