/**
 * A stand-in for a worker, as PROTOCOL.md describes it. What a task does stands in its `spec`, which is
 * JSON: `ms` (how long it works), `lasts` (it runs until it is stopped), `saves` (it checkpoints its
 * progress), `failsMs` (each run fails after this time) and `failsOnceMs` (its first run does).
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
/* eslint-disable import-x/prefer-default-export -- the house style has named exports only */
import { serve, sleep } from './http.mjs';

const pollMs = 5;
const maxEndsPerReport = 500;
const startupMs = 300;
const hexadecimal = 16;

const encodeProgress = (ms) => Math.floor(ms).toString(hexadecimal).padStart(hexadecimal, '0');
const decodeProgress = (text) => (text ? parseInt(text, hexadecimal) : 0);

/**
 * Starts a worker that registers itself in the store; `onStart` and `onEnd` hear of its runs, and
 * `isTicketValid` says whether the ticket of a start is in order.
 */
export async function startWorker(options) {
  const { ip, id, service, zone, capacity, labels, store, bounds } = options;
  const { onStart, onEnd, isTicketValid = () => true } = options;
  const startedAtMs = performance.now();
  const born = Date.now();
  const running = new Map();
  const highestAttempts = new Map();
  let finished = [];
  let lastNumber = 0;
  let highestToken = 0;
  let leaseUntilMs = 0;
  let sequence = 0;
  let isDraining = false;
  let hasLeft = false;

  const clockMs = () => Math.floor(performance.now() - startedAtMs);

  function end(run, how) {
    running.delete(run.task);
    lastNumber += 1;
    finished.push([lastNumber, run.task, run.attempt, how, how === 'done' ? '' : run.saved]);
    onEnd({ worker: id, task: run.task, attempt: run.attempt, how });
  }

  /** Work done by a run in milliseconds; restoring a checkpoint takes a while first. */
  const workOf = (run, nowMs) => run.restoredMs + Math.max(0, nowMs - run.workFromMs);

  /** Whether a run fails by its own fault: after each start, or only after the first. */
  function fails({ attempt, plan, startedMs }, nowMs) {
    const afterMs = plan.failsMs ?? (attempt === 1 ? plan.failsOnceMs : undefined);
    return afterMs !== undefined && nowMs - startedMs >= afterMs;
  }

  function advance() {
    const nowMs = clockMs();
    running.forEach((run) => {
      const work = workOf(run, nowMs);
      if (run.plan.saves && work - run.savedMs >= bounds.checkpoint_interval_s * 1_000) {
        Object.assign(run, { savedMs: work, saved: encodeProgress(work) });
      }
      if (nowMs > leaseUntilMs) end(run, 'lapsed');
      else if (run.plan.ms !== undefined && work >= run.plan.ms) end(run, 'done');
      else if (fails(run, nowMs)) end(run, 'failed');
    });
  }

  function percentOf(run) {
    const nowMs = clockMs();
    if (run.plan.lasts) return nowMs - run.startedMs >= startupMs ? 100 : 0;
    return Math.min(99, Math.floor((100 * workOf(run, nowMs)) / run.plan.ms));
  }

  const respond = (status, body = {}) => ({
    status,
    body: { ...body, clock_ms: clockMs(), born },
  });

  function extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + bounds.max_hold_ms));
  }

  function start({ task, attempt, spec, deadline_ms: deadlineMs, checkpoint = '', ticket }) {
    if (deadlineMs < clockMs()) return respond(409, { reason: 'late' });
    extendLease(deadlineMs);
    if (running.get(task)?.attempt === attempt) return respond(200);
    if (attempt <= (highestAttempts.get(task) ?? 0)) return respond(409, { reason: 'old' });
    if (!isTicketValid({ worker: id, born, task, ticket }))
      return respond(409, { reason: 'ticket' });
    highestAttempts.set(task, attempt);
    const startedMs = clockMs();
    const restoredMs = decodeProgress(checkpoint);
    running.set(task, {
      task,
      attempt,
      plan: JSON.parse(spec),
      startedMs,
      restoredMs,
      savedMs: restoredMs,
      saved: checkpoint,
      workFromMs: startedMs + (checkpoint ? bounds.restore_ms : 0),
    });
    onStart({ worker: id, task, attempt });
    return respond(200);
  }

  function stop({ task, attempt }) {
    highestAttempts.set(task, Math.max(highestAttempts.get(task) ?? 0, attempt));
    const run = running.get(task);
    if (run && run.attempt <= attempt) {
      if (run.plan.saves) run.saved = encodeProgress(workOf(run, clockMs()));
      end(run, 'stopped');
    }
    return respond(200);
  }

  async function hold({ last_seen: lastSeen = 0, wait_ms: waitMs = 0, deadline_ms: deadlineMs }) {
    extendLease(deadlineMs);
    finished = finished.filter(([number]) => number > lastSeen);
    const endMs = clockMs() + Math.min(2_000, waitMs);
    while (finished.length === 0 && clockMs() < endMs && !hasLeft) await sleep(pollMs);
    if (hasLeft) return undefined;
    return respond(200, {
      running: [...running.values()].map((run) => [
        run.task,
        run.attempt,
        run.saved,
        percentOf(run),
        0,
      ]),
      finished: finished.slice(0, maxEndsPerReport),
    });
  }

  const server = await serve(ip, ({ path, headers, body }) => {
    if (hasLeft) return undefined;
    if (headers['x-expected-instance'] !== id) return respond(421);
    advance();
    const token = body.fencing_token ?? 0;
    if (token < highestToken) return respond(409, { reason: 'fence' });
    highestToken = token;
    if (path === '/v1/run-start') return start(body);
    if (path === '/v1/run-stop') return stop(body);
    if (path === '/v1/hold') return hold(body);
    return respond(404);
  });

  function report() {
    sequence += 1;
    store.put('servers', id, {
      service,
      address: server.address,
      zone,
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels,
      ...(isDraining ? { remaining_ms: bounds.drain_ms } : {}),
      clock_ms: clockMs(),
      born,
      sequence,
    });
  }

  const heartbeat = setInterval(report, options.heartbeatMs);
  const ticker = setInterval(advance, pollMs);
  report();

  function close() {
    hasLeft = true;
    clearInterval(heartbeat);
    clearInterval(ticker);
    server.close();
  }

  return {
    id,
    service,
    capacity,
    close,
    /** Whether it is up and takes new work. */
    isUsable: () => !isDraining && !hasLeft,
    tasks: () => [...running.keys()],
    /** Reports that it is draining, serves for the drain time and a little longer, and leaves. */
    async leave() {
      isDraining = true;
      report();
      await sleep(bounds.drain_ms + 1_000);
      running.forEach((run) => end(run, 'left'));
      close();
      store.remove('servers', id);
    },
  };
}
