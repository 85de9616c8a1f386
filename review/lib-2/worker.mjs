/* eslint-disable no-await-in-loop, import-x/prefer-default-export -- the project uses named exports */
/**
 * A worker that follows the users' protocol: fencing tokens, leases, attempts, numbered ends and the
 * registry entry. The text of a task says how long it runs and how it ends:
 * `{"ms": 300, "how": "done"}`; `{"lasting": true}` runs until it is stopped, and with `{"failures": 1}`
 * the first attempt fails.
 */
import { createServer } from 'node:http';

const maxHoldMs = 6_000;
const heartbeatMs = 1_500;
/** A registry entry is removed after three heartbeat intervals of silence. */
const entryLifetimeMs = 3 * heartbeatMs;
const pollMs = 5;
/** A lasting task is at work after this time. */
const startupMs = 200;

function readJson(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', reject);
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      resolve(text === '' ? {} : JSON.parse(text));
    });
  });
}

/** Makes a worker; `note` records what it sees, `store` is the store's stand-in. */
export function makeWorker({ id, service, zone, labels, cpu, memoryMb = 65_536, store, note }) {
  const worker = { id, cpu, labels, isUp: false };
  let life;
  let server;
  let sockets = new Set();
  let address = '127.0.0.1:0';
  let beatTimer;
  let endTimer;
  let removeTimer;
  let isCut = false;

  const clockMs = () => Math.round(performance.now() - life.startedAtMs);

  function endRun(run, how) {
    life.running.delete(run.task);
    life.sequence += 1;
    life.ended.push([life.sequence, run.task, run.attempt, how, '']);
    note('end', { worker: worker.id, task: run.task, attempt: run.attempt, how });
  }

  function endDueRuns() {
    const nowMs = clockMs();
    [...life.running.values()].forEach((run) => {
      if (nowMs > life.leaseUntilMs) endRun(run, 'lapsed');
      else if (!run.lasting && nowMs - run.startedMs >= run.ms) endRun(run, run.how);
    });
  }

  function takeLease(deadlineMs) {
    if (typeof deadlineMs !== 'number') return;
    const granted = Math.min(deadlineMs, clockMs() + maxHoldMs);
    life.leaseUntilMs = Math.max(life.leaseUntilMs, granted);
  }

  function start({ task, attempt, spec, deadline_ms: deadlineMs }) {
    if (deadlineMs < clockMs()) return [409, { reason: 'late' }];
    if (life.running.get(task)?.attempt === attempt) return [200, {}];
    takeLease(deadlineMs);
    if (attempt <= (life.attempts.get(task) ?? 0)) return [409, { reason: 'old' }];
    life.attempts.set(task, attempt);
    const { ms = 100, how = 'done', lasting = false, failures = 0 } = JSON.parse(spec);
    const end = attempt <= failures ? 'failed' : how;
    life.running.set(task, { task, attempt, ms, how: end, lasting, startedMs: clockMs() });
    note('start', { worker: worker.id, labels: worker.labels.join(','), task, attempt });
    return [200, {}];
  }

  function stop({ task, attempt }) {
    life.attempts.set(task, Math.max(life.attempts.get(task) ?? 0, attempt));
    const run = life.running.get(task);
    if (run && run.attempt <= attempt) endRun(run, 'stopped');
    return [200, {}];
  }

  function getPercent({ lasting, startedMs, ms }) {
    const ranMs = clockMs() - startedMs;
    return Math.min(100, Math.floor((100 * ranMs) / (lasting ? startupMs : Math.max(1, ms))));
  }

  async function hold({ deadline_ms: deadlineMs, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
    const ownLife = life;
    takeLease(deadlineMs);
    life.ended = life.ended.filter(([sequence]) => sequence > lastSeen);
    const untilMs = clockMs() + waitMs;
    endDueRuns();
    while (life === ownLife && life.ended.length === 0 && clockMs() < untilMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, pollMs);
      });
      if (life === ownLife) endDueRuns();
    }
    if (life !== ownLife) return undefined;
    const running = [...life.running.values()].map((run) => [
      run.task,
      run.attempt,
      '',
      getPercent(run),
      0,
    ]);
    return [200, { running, finished: life.ended.slice(0, 500) }];
  }

  async function handle(request, response) {
    const body = await readJson(request);
    const handlers = { '/v1/run-start': start, '/v1/run-stop': stop, '/v1/hold': hold };
    let answer;
    if (!life || isCut) return;
    if (request.headers['x-expected-instance'] !== worker.id) answer = [421, {}];
    else if ((body.fencing_token ?? 0) < life.token) answer = [409, { reason: 'fence' }];
    else {
      life.token = body.fencing_token ?? 0;
      endDueRuns();
      answer = (await handlers[request.url]?.(body)) ?? [404, {}];
    }
    if (!life || isCut || response.destroyed) return;
    const text = JSON.stringify({ clock_ms: clockMs(), born: life.born, ...answer[1] });
    response.writeHead(answer[0], { 'content-type': 'application/json' });
    response.end(text);
  }

  function register() {
    life.beats += 1;
    clearTimeout(removeTimer);
    store.put('servers', worker.id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: memoryMb, gpu: 0 },
      labels: worker.labels,
      clock_ms: clockMs(),
      born: life.born,
      sequence: life.beats,
    });
  }

  /** Starts a life of the worker: it listens, and registers itself at once. */
  worker.boot = async () => {
    life = {
      born: Date.now(),
      startedAtMs: performance.now(),
      token: 0,
      leaseUntilMs: 0,
      running: new Map(),
      ended: [],
      sequence: 0,
      attempts: new Map(),
      beats: 0,
    };
    server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      handle(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    });
    const port = Number(address.split(':')[1]);
    await new Promise((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${server.address().port}`;
    register();
    beatTimer = setInterval(register, heartbeatMs);
    // Runs end in time, whether or not anybody asks.
    endTimer = setInterval(endDueRuns, pollMs);
    worker.isUp = true;
    note('worker up', { worker: worker.id, labels: worker.labels.join(','), cpu, born: life.born });
  };

  async function closeServer() {
    sockets.forEach((socket) => socket.resetAndDestroy());
    sockets = new Set();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }

  /** Crashes: everything that runs ends, connections are reset, and nothing is remembered. */
  worker.crash = async () => {
    worker.isUp = false;
    note('worker crashed', { worker: worker.id, runs: [...life.running.keys()].join(',') });
    life = undefined;
    clearInterval(beatTimer);
    clearInterval(endTimer);
    removeTimer = setTimeout(() => store.put('servers', worker.id, undefined), entryLifetimeMs);
    await closeServer();
  };

  /** Cuts the worker off from all processes, or ends that; it runs on, and its calls are lost. */
  worker.setCut = (next) => {
    isCut = next;
    if (!isCut) sockets.forEach((socket) => socket.resetAndDestroy());
    note(isCut ? 'worker cut off' : 'worker reached again', { worker: worker.id });
  };

  /** Loses power: nothing is answered any more, and open connections stay silent. */
  worker.goDark = () => {
    worker.isUp = false;
    note('worker crashed', { worker: worker.id, runs: [...life.running.keys()].join(',') });
    life = undefined;
    clearInterval(beatTimer);
    clearInterval(endTimer);
    const { id: formerId } = worker;
    setTimeout(() => store.put('servers', formerId, undefined), entryLifetimeMs).unref();
  };

  /** Gets power back after `goDark`, as a new worker under another id and at another port. */
  worker.bootAnew = async (newId) => {
    await closeServer();
    address = '127.0.0.1:0';
    worker.id = newId;
    await worker.boot();
  };

  worker.close = async () => {
    clearTimeout(removeTimer);
    if (worker.isUp) await worker.crash();
    else await closeServer();
    clearTimeout(removeTimer);
  };

  worker.running = () => (life ? [...life.running.values()] : []);
  return worker;
}
