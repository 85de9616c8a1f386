import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { PingResult } from './peer_client.ts';
import { makeSchedulerMonitor } from './scheduler_monitor.ts';

const test = suite('scheduler monitor');

const healthy: PingResult = {
  instance: 'a',
  isConnectionRefused: false,
  epoch: 1,
  storeFailingMs: 0,
  storeRejectedMs: 0,
};

const noResponse: PingResult = {
  isConnectionRefused: false,
  epoch: 0,
  storeFailingMs: 0,
  storeRejectedMs: 0,
};

interface Options {
  /** Returns the response to a ping that is sent now, and the time that it takes. */
  respond(nowMs: number): { result: PingResult; afterMs: number };
  runForMs?: number;
  isStoreServing?: boolean;
  isCandidate?: boolean;
  oldestRequestMs?: (nowMs: number) => number;
  /** Whether the scheduler writes heartbeats in time. */
  hasHeartbeats?: boolean;
  /** Time at which the same process claims again. */
  claimsAgainAtMs?: number;
}

/** Runs the monitor and returns its first report of each kind with the time, and the pings sent. */
async function runMonitor(options: Options) {
  const { respond, runForMs = 3_000, isStoreServing = true, isCandidate = true } = options;
  const { oldestRequestMs = () => 0, hasHeartbeats = true, claimsAgainAtMs = Infinity } = options;
  const clock = makeVirtualClock();
  const stopped = new AbortController();
  const reports = new Map<string, number>();
  const unresponsiveAtMs: number[] = [];
  let pings = 0;
  const report = (name: string) => {
    if (!reports.has(name)) reports.set(name, clock.now());
  };
  const claim = {
    epoch: 1,
    instance: 'a',
    name: 'host-a',
    address: '10.0.0.1:7420',
    predecessorMayAct: false,
  };
  const monitor = makeSchedulerMonitor({
    clock,
    log: silentLogger,
    leadership: {
      claim: () => ({ ...claim, epoch: clock.now() < claimsAgainAtMs ? 1 : 2 }),
      heartbeat: () => ({
        epoch: 1,
        pending: {},
        busyQueues: [],
        beyondShare: [],
        seenAtMs: hasHeartbeats ? clock.now() : 0,
      }),
      reportConnectionRefused: () => report('connection refused'),
      reportUnresponsive: () => report('unresponsive'),
      reportRejectedByStore: () => report('rejected by store'),
    },
    peers: {
      async ping(_address, timeoutMs) {
        pings += 1;
        const { result, afterMs } = respond(clock.now());
        await clock.sleep(Math.min(afterMs, timeoutMs));
        return afterMs > timeoutMs ? noResponse : result;
      },
    },
    isStoreServing: async () => isStoreServing,
    isCandidate: () => isCandidate,
    oldestRequestMs: () => oldestRequestMs(clock.now()),
    self: { instance: 'b' },
  });
  const running = monitor.run(stopped.signal);
  for (let elapsedMs = 0; elapsedMs < runForMs; elapsedMs += 25) {
    await clock.advance(25);
    if (!monitor.isResponsive()) unresponsiveAtMs.push(clock.now());
  }
  stopped.abort();
  await running;
  return { reports: Object.fromEntries(reports), pings, unresponsiveAtMs };
}

test('a scheduler that the store rejects is reported sooner if the store serves other processes', async () => {
  const respond = (nowMs: number) => ({
    result: { ...healthy, storeFailingMs: nowMs, storeRejectedMs: nowMs },
    afterMs: 1,
  });
  const { reports } = await runMonitor({ respond, runForMs: 600 });
  assert.equal(reports, { 'rejected by store': 497 });
  const others = await runMonitor({ respond, runForMs: 600, isStoreServing: false });
  assert.equal(others.reports, {});
});

test('a scheduler is not replaced because the store recovers for other processes a moment earlier', async () => {
  const respond = (nowMs: number) => ({
    result: nowMs < 200 ? { ...healthy, storeRejectedMs: 5_000 } : healthy,
    afterMs: 1,
  });
  const { reports } = await runMonitor({ respond });
  assert.equal(reports, {});
});

test('the time for which the store has already failed a scheduler counts towards its timeout', async () => {
  const respond = (nowMs: number) => ({
    result: { ...healthy, storeFailingMs: nowMs },
    afterMs: 1,
  });
  const { reports } = await runMonitor({ respond });
  assert.equal(reports, { unresponsive: 750 });
});

test('a scheduler whose responses are late is not taken for one that has stopped', async () => {
  const { reports, unresponsiveAtMs } = await runMonitor({
    respond: () => ({ result: healthy, afterMs: 450 }),
  });
  assert.equal(reports, {});
  const firstResponseMs = 575;
  assert.equal(
    unresponsiveAtMs.filter((atMs) => atMs > firstResponseMs),
    [],
  );
});

test('no request is sent to a new scheduler that accepts no connections yet', async () => {
  const { unresponsiveAtMs } = await runMonitor({
    respond: (nowMs) => ({ result: healthy, afterMs: nowMs < 1_500 ? Infinity : 1 }),
    isCandidate: false,
    runForMs: 2_500,
  });
  const beforeFirstResponse = Array.from({ length: 60 }, (_, index) => 25 * (index + 1));
  assert.equal(unresponsiveAtMs.slice(0, 60), beforeFirstResponse);
  assert.ok(Math.max(...unresponsiveAtMs) <= 2_150, 'its first response is noticed');
});

test('a scheduler whose responses become slower is reported only for a gap between them', async () => {
  // Each response takes longer than the one before, up to 900 ms, but they keep coming.
  const respond = (nowMs: number) => ({
    result: healthy,
    afterMs: Math.min(900, 100 + nowMs / 4),
  });
  const { reports } = await runMonitor({ respond, runForMs: 8_000 });
  assert.equal(reports, {});
});

test('no request is sent to a process that has claimed again before it has responded in its new term', async () => {
  const { unresponsiveAtMs } = await runMonitor({
    respond: (nowMs) => ({
      result: { ...healthy, epoch: nowMs < 1_500 ? 1 : 2 },
      afterMs: 1,
    }),
    isCandidate: false,
    claimsAgainAtMs: 1_000,
  });
  const afterClaim = unresponsiveAtMs.filter((atMs) => atMs >= 1_000);
  assert.is(afterClaim[0], 1_000);
  assert.ok(Math.max(...afterClaim) >= 1_475, 'a response of its former term does not count');
  assert.ok(Math.max(...afterClaim) <= 2_150);
});

test('a scheduler without a response is reported within 900 ms of its last one, and gets no requests', async () => {
  const respond = (nowMs: number) => ({ result: healthy, afterMs: nowMs < 900 ? 1 : Infinity });
  const { reports, unresponsiveAtMs } = await runMonitor({ respond });
  const lastResponseMs = 876;
  assert.ok(reports.unresponsive! - lastResponseMs <= 900, JSON.stringify(reports));
  const silentFromMs = unresponsiveAtMs.find((atMs) => atMs > lastResponseMs)!;
  assert.ok(silentFromMs - lastResponseMs <= 650, String(silentFromMs));
});

test('a scheduler that responds again after missed pings is responsive again', async () => {
  const respond = (nowMs: number) => ({
    result: healthy,
    afterMs: nowMs > 500 && nowMs < 900 ? Infinity : 1,
  });
  const { reports, unresponsiveAtMs } = await runMonitor({ respond });
  assert.equal(reports, {});
  assert.ok(Math.max(...unresponsiveAtMs) <= 1_125, 'the response to the ping at 1,125 ms counts');
});

test('a process that does not know of a term of its own does not count as a working scheduler', async () => {
  const { reports } = await runMonitor({
    respond: () => ({ result: { ...healthy, epoch: 0 }, afterMs: 1 }),
  });
  assert.is(reports.unresponsive, 875);
});

test('a scheduler whose host refuses connections or runs another instance is reported at once', async () => {
  const refused = { ...noResponse, isConnectionRefused: true };
  const atOnce = { 'connection refused': 126 };
  const report = async (result: PingResult) =>
    (await runMonitor({ respond: () => ({ result, afterMs: 1 }), runForMs: 500 })).reports;
  assert.equal(await report(refused), atOnce);
  assert.equal(await report({ ...healthy, instance: 'c' }), atOnce);
});

test('the pings to the scheduler do not grow with the number of processes', async () => {
  const respond = () => ({ result: healthy, afterMs: 1 });
  assert.is((await runMonitor({ respond, isCandidate: false })).pings, 1);
  assert.is((await runMonitor({ respond })).pings, 12);
});

test('a process that is no candidate finds out itself whether the scheduler responds to its requests', async () => {
  const waiting = await runMonitor({
    respond: (nowMs) => ({ result: healthy, afterMs: nowMs < 500 ? 1 : Infinity }),
    isCandidate: false,
    oldestRequestMs: (nowMs) => nowMs - 500,
  });
  const silentFromMs = waiting.unresponsiveAtMs.find((atMs) => atMs > 500)!;
  assert.ok(silentFromMs <= 1_500, String(silentFromMs));
  const late = await runMonitor({
    respond: () => ({ result: healthy, afterMs: Infinity }),
    isCandidate: false,
    hasHeartbeats: false,
  });
  assert.ok(late.reports.unresponsive! <= 2_000, JSON.stringify(late.reports));
});

test.run();
