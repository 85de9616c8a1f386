import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Leadership } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { PeerClient, Pong } from './peers.ts';
import { makeSchedulerWatch } from './scheduler_monitor.ts';

const test = suite('watch of the scheduler');

/**
 * Plays pings, 250 ms apart; tells what was reported at which time. One without an answer lasts for its
 * timeout if `hasTimeouts`, else it fails at once.
 */
async function play(
  pongs: Pong[],
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
  const over = new AbortController();
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
    reportConnectionRefused: () => reports.push(['rejected', nowMs]),
    reportUnresponsive: () => reports.push(['silent', nowMs]),
    reportRejectedByStore: () => reports.push(['turned away', nowMs]),
  } as Partial<Leadership> as Leadership;
  const peers = {
    async ping(_address, timeoutMs) {
      onPing(timeoutMs);
      const pong = pongs.shift();
      if (hasTimeouts && pong?.instance === undefined) nowMs += timeoutMs;
      if (pongs.length === 0) over.abort();
      return pong!;
    },
  } as Partial<PeerClient> as PeerClient;
  await makeSchedulerWatch({
    clock,
    peers,
    leadership,
    isStoreServing: async () => isStoreServing,
    self: { instance: 'b' },
  }).run(over.signal);
  return reports;
}

const sound = { instance: 'a', isRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };

test('a scheduler that the store turns away is reported sooner, if the store serves others', async () => {
  const rejected = { ...sound, storeFailingMs: 230, storeRejectedMs: 230 };
  assert.equal(await play([sound, rejected, rejected]), [['turned away', 620]]);
  assert.equal(await play([sound, rejected], { isStoreServing: false }), []);
});

test('a scheduler is not replaced because the store served others a moment earlier after an outage', async () => {
  const rejected = { ...sound, storeFailingMs: 5_000, storeRejectedMs: 5_000 };
  assert.equal(await play([rejected, sound, sound]), []);
});

test('a scheduler that the store fails is reported once that has lasted, not twice as long', async () => {
  const failing = [250, 500, 750].map((storeFailingMs) => ({ ...sound, storeFailingMs }));
  assert.equal(await play([sound, ...failing]), [['silent', 1_000]]);
});

test('a scheduler without an answer is reported after a while, and one that answers again is not', async () => {
  const silent = { isRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  assert.equal(await play([sound, silent, silent, sound, silent, silent]), []);
  assert.equal(await play([sound, silent, silent, silent]), [['silent', 1_000]]);
});

test('the silence of a scheduler is confirmed at once, so that its cell is not without one for longer', async () => {
  const silent = { isRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  // It answers at 250 ms; the next ping begins at 500 ms and is confirmed at once.
  assert.equal(await play([sound, silent, silent], { hasTimeouts: true }), [['silent', 1_100]]);
});

test('a scheduler that answers slowly is not found silent for ever by shorter pings', async () => {
  const timeouts: number[] = [];
  const silent = { isRefused: false, storeFailingMs: 0, storeRejectedMs: 0 };
  await play([sound, silent, silent, silent, sound, silent, silent, sound], {
    hasTimeouts: true,
    onPing: (timeoutMs) => timeouts.push(timeoutMs),
  });
  assert.equal(timeouts, [350, 350, 250, 350, 350, 350, 250, 350]);
});

test('a scheduler whose host rejects connections, or runs another instance, is reported at once', async () => {
  const refused = { isRefused: true, storeFailingMs: 0, storeRejectedMs: 0 };
  assert.equal(await play([refused]), [['rejected', 250]]);
  assert.equal(await play([{ ...sound, instance: 'c' }]), [['rejected', 250]]);
});

test.run();
