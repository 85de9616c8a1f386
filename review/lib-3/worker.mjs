/**
 * A stand-in for a worker: it keeps fencing tokens, attempts, leases and the list of ends as the users'
 * pages tell them, and runs tasks for as long as their payload says.
 *
 * A payload is JSON. A task that ends: `{"ms": 900}`; a task that lasts: `{"lasting": true}`, with
 * `failAfterMs` for the time at which its runs fail. `onStart` may replace these values for a run. The
 * tasks of a gang, `{"ms": 900, "gang": 4}`, work from the moment when all of them are present.
 */
import { createServer } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { performance } from 'node:perf_hooks';

const heartbeatMs = 1_500;
const tickMs = 10;
const stopMs = 40;
const startupMs = 100;
const maxEndsPerReport = 500;
const completePercent = 100;
const gangTimeoutMs = 3_000;
const minLateMs = 2_000;
const maxLateMs = 12_000;

export const maxHoldMs = 6_000;

/** Makes a worker; it listens, registers and runs tasks once `start` is called. */
export function makeWorker({
  id,
  ip,
  service,
  zone,
  labels,
  capacity,
  store,
  log,
  onStart = () => ({}),
  gangs = new Map(),
  isTicketValid = () => true,
  guards = false,
}) {
  let server;
  let port = 0;
  let timers = [];
  let life;
  let isCut = false;
  let isLosingAnswers = false;
  let lateShare = 0;
  let heldStart;
  const sockets = new Set();
  /** All runs of all lives, for the checks. */
  const history = [];

  const clockMs = () => Math.round(performance.now() - life.clockStartMs);

  const gangKey = ({ task, attempt }) => `${task.slice(0, task.lastIndexOf('.'))}#${attempt}`;

  /** The end of one member ends all: they are done together, or broken. */
  function endGang(run, how) {
    if (run.plan.gang === undefined) return;
    const members = gangs.get(gangKey(run)) ?? [];
    gangs.set(gangKey(run), []);
    members
      .filter(({ member }) => member !== run)
      .forEach(({ end }) => end(how === 'done' ? 'done' : 'broken'));
  }

  function endRun(run, how) {
    life.running.delete(run.task);
    life.lastSequence += 1;
    life.ended.push([life.lastSequence, run.task, run.attempt, how, '']);
    Object.assign(run.record, { endedAtMs: performance.now(), how });
    log('run-ended', { worker: id, task: run.task, attempt: run.attempt, how });
    const { waiting } = life;
    life.waiting = [];
    waiting.forEach((wake) => wake());
    endGang(run, how);
  }

  function joinGang(run) {
    const ownLife = life;
    const members = gangs.get(gangKey(run)) ?? [];
    const end = (how) => {
      if (ownLife === life && life.running.get(run.task) === run) endRun(run, how);
    };
    members.push({
      member: run,
      end,
      begin: () => Object.assign(run, { beganMs: ownLife === life ? clockMs() : 0 }),
    });
    gangs.set(gangKey(run), members);
    if (members.length === run.plan.gang) members.forEach(({ begin }) => begin());
  }

  function tick() {
    const nowMs = clockMs();
    // An end that is listed when the lease runs out is never taken note of.
    if (nowMs > life.leaseUntilMs)
      life.ended.forEach(([sequence]) => life.lapsedEnds.add(sequence));
    [...life.running.values()].forEach((run) => {
      const elapsedMs = nowMs - run.startedMs;
      const isWaiting = run.plan.gang !== undefined && run.beganMs === undefined;
      if (nowMs > life.leaseUntilMs) endRun(run, 'lapsed');
      else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) endRun(run, 'stopped');
      else if (isWaiting) {
        if (elapsedMs >= gangTimeoutMs) endRun(run, 'alone');
      } else if (run.plan.failAfterMs !== undefined && elapsedMs >= run.plan.failAfterMs)
        endRun(run, 'failed');
      else if (!run.plan.lasting && nowMs - (run.beganMs ?? run.startedMs) >= run.plan.ms)
        endRun(run, 'done');
    });
  }

  function extendLease(untilMs) {
    if (!Number.isFinite(untilMs)) return;
    life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(untilMs, clockMs() + maxHoldMs));
  }

  const respond = (status, body = {}) => ({
    status,
    body: { clock_ms: clockMs(), born: life.bornMs, ...body },
  });
  const reject = (reason) => respond(409, { reason });

  const getUsedCpu = () =>
    [...life.running.values()].reduce((sum, { plan }) => sum + (plan.cpu ?? 0), 0);

  function start({ task, attempt, spec, deadline_ms: deadlineMs, ticket }) {
    if (deadlineMs <= clockMs()) return reject('late');
    if (life.running.get(task)?.attempt === attempt) return respond(200);
    extendLease(deadlineMs);
    if (attempt <= (life.highestAttempts.get(task) ?? 0) || life.running.has(task))
      return reject('old');
    const payload = JSON.parse(spec);
    if (guards && getUsedCpu() + payload.cpu > capacity.cpu) return reject('room');
    if (payload.ticketed && !isTicketValid(ticket, { task, worker: id })) return reject('ticket');
    const record = {
      worker: id,
      labels: life.labels,
      task,
      attempt,
      spec,
      startedAtMs: performance.now(),
    };
    history.push(record);
    const plan = { ...payload, ...onStart(record) };
    life.highestAttempts.set(task, attempt);
    const run = { task, attempt, startedMs: clockMs(), plan, record };
    life.running.set(task, run);
    if (plan.gang !== undefined) joinGang(run);
    log('run-started', { worker: id, labels: life.labels, born: life.bornMs, task, attempt });
    return respond(200);
  }

  function stop({ task, attempt }) {
    life.highestAttempts.set(task, Math.max(life.highestAttempts.get(task) ?? 0, attempt));
    const run = life.running.get(task);
    if (run && run.attempt <= attempt && run.stopAtMs === undefined) {
      run.stopAtMs = clockMs() + stopMs;
      log('stop-received', { worker: id, task, attempt });
    }
    return respond(200);
  }

  function describeRun(run) {
    const elapsedMs = clockMs() - run.startedMs;
    // A task that lasts is at work after its startup; the percents are whole numbers.
    const durationMs = run.plan.lasting ? startupMs : run.plan.ms;
    const progress = run.plan.lasting ? Math.floor(elapsedMs / durationMs) : elapsedMs / durationMs;
    const percent = Math.min(completePercent, Math.floor(completePercent * progress));
    return [run.task, run.attempt, '', percent, run.plan.usage ?? 0];
  }

  async function hold({ deadline_ms: deadlineMs, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }) {
    const own = life;
    extendLease(deadlineMs);
    life.ended
      .filter(([sequence]) => sequence <= lastSeen)
      .forEach(([sequence, task, attempt, how]) => {
        const record = history.find((each) => each.task === task && each.attempt === attempt);
        if (!life.lapsedEnds.has(sequence)) Object.assign(record, { notedAtMs: performance.now() });
        log('end-noted', { worker: id, task, attempt, how });
      });
    life.ended = life.ended.filter(([sequence]) => sequence > lastSeen);
    if (life.ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(waitMs, 2_000));
        life.waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (own !== life) return undefined;
    return respond(200, {
      running: [...life.running.values()].map(describeRun),
      finished: life.ended.slice(0, maxEndsPerReport),
    });
  }

  function carryOut(path, headers, body) {
    const expected = headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) return respond(421);
    const token = body.fencing_token ?? 0;
    if (token < life.highestToken) return reject('fence');
    life.highestToken = token;
    tick();
    if (path === '/v1/run-start') return start(body);
    if (path === '/v1/run-stop') return stop(body);
    if (path === '/v1/hold') return hold(body);
    if (path === '/healthz') return respond(200);
    return respond(404);
  }

  async function handle(request, response) {
    const text = await readText(request);
    if (isCut) return;
    const body = text === '' ? {} : JSON.parse(text);
    const isHeld = heldStart !== undefined && request.url === '/v1/run-start';
    if (isHeld) {
      const { resolve } = heldStart;
      heldStart = undefined;
      log('start-held', { worker: id, task: body.task, attempt: body.attempt });
      resolve({ task: body.task, carryOut: () => carryOut(request.url, request.headers, body) });
      return;
    }
    if (Math.random() < lateShare) {
      // Carried out seconds later by whichever life there is then.
      const delayMs = minLateMs + Math.random() * (maxLateMs - minLateMs);
      setTimeout(() => life && carryOut(request.url, request.headers, body), delayMs);
      return;
    }
    const result = await carryOut(request.url, request.headers, body);
    if (!result || isCut || isLosingAnswers) return;
    response.writeHead(result.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(result.body));
  }

  function register() {
    life.sequence += 1;
    store.put('servers', id, {
      service,
      address: `${ip}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity,
      labels: life.labels,
      clock_ms: clockMs(),
      born: life.bornMs,
      sequence: life.sequence,
    });
  }

  function listen() {
    server = createServer((request, response) => {
      handle(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    });
    return new Promise((resolve, fail) => {
      server.once('error', fail);
      server.listen(port, ip, () => {
        port = server.address().port;
        resolve();
      });
    });
  }

  return {
    id,
    zone,
    capacity,
    history,
    isUp: () => life !== undefined,
    service,
    labels: () => life?.labels ?? [],
    running: () => (life ? [...life.running.values()] : []),
    /** Begins a life. A life knows nothing of those before. */
    async start(ownLabels = labels) {
      life = {
        bornMs: Date.now(),
        clockStartMs: performance.now(),
        labels: ownLabels,
        highestToken: 0,
        leaseUntilMs: 0,
        running: new Map(),
        ended: [],
        lastSequence: 0,
        lapsedEnds: new Set(),
        highestAttempts: new Map(),
        waiting: [],
        sequence: 0,
      };
      // It registers as soon as it serves, unless it is cut off: the registry can't know of it any earlier.
      await listen();
      if (!isCut) register();
      log('worker-up', { worker: id, labels: ownLabels, born: life.bornMs });
      timers = [setInterval(tick, tickMs), setInterval(() => isCut || register(), heartbeatMs)];
    },
    /** Ends a life at once, as a crash does: nothing of it runs on and nobody is told. */
    async crash() {
      log('worker-crashed', { worker: id, runs: life.running.size });
      life.running.forEach(({ record }) =>
        Object.assign(record, { endedAtMs: performance.now(), how: 'crashed' }),
      );
      const crashed = [...life.running.values()];
      timers.forEach(clearInterval);
      life = undefined;
      crashed.forEach((run) => endGang(run, 'crashed'));
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      sockets.forEach((socket) => socket.destroy());
      await closed;
    },
    /** While it is cut off, requests get no answer and it doesn't register; what it runs goes on. */
    setCut(value) {
      isCut = value;
      log('worker-cut', { worker: id, isCut });
    },
    /** While it loses answers, requests are carried out and get none. */
    setLosingAnswers(value) {
      isLosingAnswers = value;
      log('worker-loses-answers', { worker: id, isLosingAnswers });
    },
    /**
     * Waits for the next start order and leaves it without an answer. The function in the result carries it
     * out, in whatever life there is then.
     */
    holdNextStart: () =>
      new Promise((resolve) => {
        heldStart = { resolve };
      }),
    /** Stops waiting for a start order to hold. */
    releaseHold() {
      heldStart = undefined;
    },
    /** This share of the requests gets no answer and is carried out 2 to 12 s later. */
    setLateShare(share) {
      lateShare = share;
      log('worker-late', { worker: id, share });
    },
    /** Lets the registry's entry expire, as after three heartbeats of silence. */
    expireEntry: () => store.put('servers', id, undefined),
  };
}
