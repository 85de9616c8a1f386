/**
 * A small deployment: the stand-ins of the platform, workers and clients around the project's own entry
 * processes. Everything that is sent, answered and run goes into `record.txt` of the case.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
/* eslint-disable n/no-process-exit -- a case tells its result by its exit code */
import { createHash } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { startAdvice } from './advice.mjs';
import { bounds, findAddressBlock, heartbeatMs, platform, startHosts } from './hosts.mjs';
import { call, sleep } from './http.mjs';
import { isTerminal, watchWaits } from './judge.mjs';
import { startStore } from './store.mjs';
import { startWorker } from './worker.mjs';

const hostName = 'ledger.example';
const key = 'key-of-the-team';
const zones = ['akl-a', 'ham-b', 'wlg-c'];
const hostCount = 6;
const retryDelayMs = 400;
const maxTries = 5;
/** The wait of a task that lasts counts from this time after its last run. */
const lastingNoticeMs = 6_000;
/** After this time without an end the script gives up. */
const maxScriptMs = 118_000;

export const exitCode = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0';

function makeRoute(name, route) {
  const { service, priority, maxAttempts, targetFactor, targetLatencyMs, advice } = route;
  return {
    name,
    host: hostName,
    path_prefix: `/${name}/`,
    type: 'non_idempotent',
    timeout_ms: 3_000,
    target_latency_ms: targetLatencyMs,
    priority,
    service,
    max_attempts: maxAttempts,
    target_factor: targetFactor,
    ...(advice
      ? {
          recommendation: {
            decision_ms: advice.decisionMs,
            period_ms: advice.periodMs,
            validity_ms: advice.validityMs,
          },
        }
      : {}),
    public: false,
  };
}

const makeId = (name) => createHash('sha256').update(name).digest('hex').slice(0, 16);

/**
 * Starts the deployment; `routes` describes the queues by name, and `workerCount` is the number of workers
 * of each service.
 */
async function startCluster({ folder, workerCount, cpu, memoryMb, routes, advice }) {
  const services = [...new Set(Object.values(routes).map(({ service }) => service))];
  const startedAtMs = performance.now();
  const lines = [];
  const jobs = new Map();
  const starts = new Map();
  const ends = new Map();
  const lastRunMs = new Map();
  const refusals = [];
  const seconds = () => ((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8);
  const record = (text) => lines.push(`${seconds()} ${text}`);

  const block = await findAddressBlock();
  const store = await startStore({
    ip: `${block}.200`,
    rowBytes: platform.row_bytes,
    transactionMs: platform.transaction_ms,
    onRefused({ status, reason, row }) {
      refusals.push({ reason, row });
      if (refusals.length <= 20) record(`store answers ${status}: ${row ?? ''} ${reason}`);
    },
  });
  const adviser = advice && (await startAdvice({ ip: `${block}.201`, ...advice }));

  function countEvent(counts, task) {
    counts.set(task, (counts.get(task) ?? 0) + 1);
    lastRunMs.set(task, performance.now());
  }

  function onStart({ worker, task, attempt }) {
    countEvent(starts, task);
    record(`start ${task} run ${attempt} on ${worker}`);
  }

  function onEnd({ worker, task, attempt, how }) {
    if (!ends.has(task)) ends.set(task, []);
    ends.get(task).push(how);
    lastRunMs.set(task, performance.now());
    record(`end   ${task} run ${attempt} on ${worker}: ${how}`);
  }

  const workers = await Promise.all(
    Array.from({ length: workerCount * services.length }, (_, index) =>
      startWorker({
        ip: `${block}.${100 + index}`,
        id: `i-${makeId(`worker ${index}`).slice(0, 10)}`,
        service: services[index % services.length],
        zone: zones[index % zones.length],
        capacity: { cpu, mem_mb: memoryMb, gpu: 0 },
        labels: ['a', `r${1 + (index % zones.length)}-1`],
        store,
        bounds,
        heartbeatMs,
        onStart,
        onEnd,
        ...(adviser ? { isTicketValid: adviser.isTicketValid } : {}),
      }),
    ),
  );

  async function writeRecord(verdict) {
    const counts = {};
    [...ends.values()].flat().forEach((how) => {
      counts[how] = (counts[how] ?? 0) + 1;
    });
    const total = [...starts.values()].reduce((sum, count) => sum + count, 0);
    record(
      `${total} starts; ends: ${JSON.stringify(counts)}; the store refused ${refusals.length}`,
    );
    record(verdict);
    await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  }

  store.put('op', 'config', {
    version: 3,
    routes: Object.entries(routes).map(([name, route]) => makeRoute(name, route)),
    services: services.map((name) => ({
      name,
      health_check_path: '/healthz',
      max_connections: 64,
      protocol: 'h1',
      admission_control: false,
      standby: false,
    })),
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, idle_timeout_ms: 15_000 },
    tenants: [
      { name: 'mill', api_keys: [key], weight: 10, upper_limit: { cpu: 0, mem_mb: 0, gpu: 0 } },
    ],
  });
  const hosts = await startHosts({
    block,
    count: hostCount,
    zones,
    storeAddress: store.address,
    adviceAddress: adviser?.address,
    onExit({ name, code, signal }) {
      record(`process ${name} ended by itself: ${code ?? signal}`);
    },
  });
  record(`${hostCount} entry processes are ready, ${workers.length} workers`);
  let nextHost = 0;

  /** Sends a call of a client to one of the processes. */
  function send(method, path, body) {
    const address = hosts.addresses[nextHost % hosts.addresses.length];
    nextHost += 1;
    return call(address, {
      method,
      path,
      headers: {
        host: hostName,
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'x-deadline-ms': '3000',
      },
      ...(body ? { body } : {}),
    });
  }

  /** Hands a job in as a client does, with retries under the same id; returns its id. */
  async function submit(queue, name, { spec, phases, ...repetition }) {
    const id = makeId(name);
    const job = { name, queue, id, spec, phases, isAccepted: false, isCancelled: false };
    job.service = routes[queue].service;
    jobs.set(id, job);
    for (let tries = 0; tries < maxTries && !job.isAccepted; tries += 1) {
      if (tries > 0) await sleep(retryDelayMs);
      record(`POST   ${name} ${id} (try ${tries + 1})`);
      const { status } = await send('POST', `/${queue}/${id}`, {
        spec: JSON.stringify(spec),
        phases,
        ...repetition,
      });
      record(`answer ${name} ${id}: ${status || 'none'}`);
      job.isAccepted = status >= 200 && status < 300;
    }
    return id;
  }

  async function cancel(id) {
    const { name, queue } = jobs.get(id);
    jobs.get(id).isCancelled = true;
    const { status } = await send('DELETE', `/${queue}/${id}`);
    record(`DELETE ${name} ${id}: ${status || 'none'}`);
  }

  async function getState(id) {
    const { name, queue } = jobs.get(id);
    const { status, body } = await send('GET', `/${queue}/${id}`);
    record(`GET    ${name} ${id}: ${status || 'none'} ${body.state ?? ''}`);
    return status === 200 ? body.state : `no state (${status || 'no answer'})`;
  }

  function isTaskDone(task) {
    return ends.get(task)?.includes('done') ?? false;
  }

  /** The steps of a job whose turn has come (for K = 0) and that have not ended. */
  function openPhases(job) {
    const isStepDone = (step) =>
      Array.from({ length: job.phases[step].count }, (_, i) => `${job.id}.0.${step}.${i}`).every(
        isTaskDone,
      );
    return job.phases.filter(
      (phase, step) => !isStepDone(step) && (phase.after ?? []).every(isStepDone),
    );
  }

  /** When a run of a job last began or ended; undefined before the first. */
  function jobLastRunMs(id) {
    const times = [...lastRunMs].filter(([task]) => task.startsWith(`${id}.`)).map(([, ms]) => ms);
    return times.length > 0 ? Math.max(...times) : undefined;
  }

  /**
   * Asks for all accepted jobs `finish_s` after the end of the traffic, watches their waits for a while,
   * and returns what breaks the rule LOST. The wait of a task that lasts counts from 6 s after its last
   * run.
   */
  async function judge({ forMs, isAsked = () => true }) {
    record('the traffic has ended');
    await sleep(bounds.finish_s * 1_000);
    const owed = [...jobs.values()].filter((job) => job.isAccepted && !job.isCancelled);
    const states = new Map();
    await Promise.all(owed.map(async ({ id }) => states.set(id, await getState(id))));
    const isPastNotice = ({ id, phases }) =>
      !phases[0].long_running || performance.now() - (jobLastRunMs(id) ?? 0) >= lastingNoticeMs;
    const isOpen = (job) =>
      owed.includes(job) && !isTerminal(states.get(job.id)) && isPastNotice(job) && isAsked(job);
    const waits = await watchWaits({ jobs, workers, forMs, openPhases, isAsked: isOpen });
    const problems = [];
    waits.forEach((ms, id) => {
      const text = `nothing of it runs for ${(ms / 1_000).toFixed(1)} s, with room twice over`;
      problems.push(`${jobs.get(id).name} ${id} (${states.get(id)}): ${text}`);
    });
    states.forEach((state, id) => {
      if (state.startsWith('no state')) problems.push(`${jobs.get(id).name} ${id}: ${state}`);
      if (state === 'failed') problems.push(`${jobs.get(id).name} ${id}: shown as failed`);
    });
    return problems;
  }

  return {
    jobs,
    workers,
    record,
    submit,
    cancel,
    judge,
    writeRecord,
    async close() {
      await hosts.close({ keepLogs: process.env.KEEP_LOGS === '1' });
      if (process.env.KEEP_LOGS === '1') process.stdout.write(`logs: ${hosts.folder}\n`);
      workers.forEach((worker) => worker.close());
      store.close();
      adviser?.close();
    },
  };
}

/**
 * Plays a case: starts the deployment, runs `play`, which returns the problems found, and ends the
 * process with the exit code of the case.
 */
export async function runCase(options, play) {
  let cluster;
  const finish = async (code, verdict) => {
    await cluster?.writeRecord(verdict);
    await cluster?.close();
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  };
  setTimeout(() => finish(exitCode.notRun, 'not run: no end in time'), maxScriptMs);
  try {
    cluster = await startCluster(options);
    ['SIGINT', 'SIGTERM'].forEach((signal) =>
      process.on(signal, () => finish(exitCode.notRun, `not run: ${signal}`)),
    );
    const problems = await play(cluster);
    if (problems.length === 0) await finish(exitCode.held, 'the rule held');
    const list = problems.slice(0, 12).map((problem) => `\n  ${problem}`);
    await finish(exitCode.broken, `LOST is broken (${problems.length}):${list.join('')}`);
  } catch (error) {
    await finish(exitCode.notRun, `not run: ${error.stack}`);
  }
}
