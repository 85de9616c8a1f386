import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Leadership } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { PeerClient, PingResult } from './peers.ts';
import { makeSchedulerMonitor } from './scheduler_monitor.ts';

const test = suite('scheduler monitor');

/**
 * Runs the monitor on the given ping results, 250 ms apart, and returns its reports with their times. A
 * ping without a response takes its whole timeout if `hasTimeouts` is true, and otherwise no time.
 */
async function runMonitor(
  results: PingResult[],
  {
    isStoreServing = true,
    hasTimeouts = false,
    onPing = () => undefined,
  }: {
    isStoreServing?: boolean;
    hasTimeouts?: boolean;
    onPing?: (timeoutMs: number) => unknown;
  } = {},
): Promise<[report: string, atMs: number][]> {
  let nowMs = 0;
  const reports: [string, number][] = [];
  const stopped = new AbortController();
  const clock: Clock = {
    ...systemClock,
    now: () => nowMs,
    async sleep(ms) {
      nowMs += ms;
      await Promise.resolve();
    },
  };
  const claim = {
    epoch: 1,
    instance: 'a',
    name: 'host-a',
    address: '10.0.0.1:7420',
    predecessorMayAct: false,
  };
  const leadership = {
    claim: () => claim,
    reportConnectionRefused: () => reports.push(['connection refused', nowMs]),
    reportUnresponsive: () => reports.push(['unresponsive', nowMs]),
    reportRejectedByStore: () => reports.push(['rejected by store', nowMs]),
  } as Partial<Leadership> as Leadership;
  const peers = {
    async ping(_address, timeoutMs) {
      onPing(timeoutMs);
      const result = results.shift();
      if (hasTimeouts && result?.instance === undefined) nowMs += timeoutMs;
      if (results.length === 0) stopped.abort();
      return result!;
    },
  } as Partial<PeerClient> as PeerClient;
  await makeSchedulerMonitor({
    clock,
    peers,
    leadership,
    isStoreServing: async () => isStoreServing,
    self: { instance: 'b' },
  }).run(stopped.signal);
  return reports;
}

const healthy = {
  instance: 'a',
  isConnectionRefused: false,
  storeFailingMs: 0,
  storeRejectedMs: 0,
};

test('a scheduler that the store rejects is reported sooner if the store serves other processes', async () => {
  const rejected = { ...healthy, storeFailingMs: 230, storeRejectedMs: 230 };
  assert.equal(await runMonitor([healthy, rejected, rejected]), [['rejected by store', 620]]);
  assert.equal(await runMonitor([healthy, rejected], { isStoreServing: false }), []);
});

test('a scheduler is not replaced because the store recovers for other processes a moment earlier', async () => {
  const rejected = { ...healthy, storeFailingMs: 5_000, storeRejectedMs: 5_000 };
  assert.equal(await runMonitor([rejected, healthy, healthy]), []);
});

test('the time for which the store has already failed a scheduler counts towards its timeout', async () => {
  const failing = [250, 500, 750].map((storeFailingMs) => ({ ...healthy, storeFailingMs }));
  assert.equal(await runMonitor([healthy, ...failing]), [['unresponsive', 1_000]]);
});

test('a scheduler is reported after several missed pings, but not if it responds again before', async () => {
  const missed = { isConnectionRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  assert.equal(await runMonitor([healthy, missed, missed, healthy, missed, missed]), []);
  assert.equal(await runMonitor([healthy, missed, missed, missed]), [['unresponsive', 1_000]]);
});

test('a ping that times out is followed by the next at once, so that a takeover is not delayed', async () => {
  const missed = { isConnectionRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  // It responds at 250 ms; the ping at 500 ms times out at 850 ms, the next one at 1,100 ms.
  assert.equal(await runMonitor([healthy, missed, missed], { hasTimeouts: true }), [
    ['unresponsive', 1_100],
  ]);
});

test('the shorter timeout applies to one ping only, so that a slow scheduler can become responsive again', async () => {
  const timeouts: number[] = [];
  const missed = { isConnectionRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  await runMonitor([healthy, missed, missed, missed, healthy, missed, missed, healthy], {
    hasTimeouts: true,
    onPing: (timeoutMs) => timeouts.push(timeoutMs),
  });
  assert.equal(timeouts, [350, 350, 250, 350, 350, 350, 250, 350]);
});

test('a scheduler whose host refuses connections or runs another instance is reported at once', async () => {
  const refused = { isConnectionRefused: true, storeFailingMs: 0, storeRejectedMs: 0 };
  assert.equal(await runMonitor([refused]), [['connection refused', 250]]);
  assert.equal(await runMonitor([{ ...healthy, instance: 'c' }]), [['connection refused', 250]]);
});

test.run();
