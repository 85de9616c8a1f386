/* eslint-disable no-await-in-loop, import-x/extensions -- scripts wait step by step and are bundled */
/**
 * A randomised soak of the program with kinds of work that the sites' traffic leaves out: jobs that last,
 * repeated jobs, labels, bounds per worker, gangs, cancellations. Faults come one after the other. It is a
 * tool for finding, not a case: `node target/review/soak.cjs FOLDER` with SEED and FAULTS in the environment.
 */
import { performance } from 'node:perf_hooks';

import { makeJobId, makeRoute, makeTenant, runCase, sleep } from './deployment.mjs';
import { listRuns } from './rules.mjs';

let seed = Number(process.env.SEED ?? 1);
function random() {
  seed = (seed * 1_664_525 + 1_013_904_223) % 4_294_967_296;
  return seed / 4_294_967_296;
}
const pick = (list) => list[Math.floor(random() * list.length)];
const between = (low, high) => low + random() * (high - low);
const trafficMs = Number(process.env.TRAFFIC_MS ?? 55_000);
const faults = (
  process.env.FAULTS ?? 'kill,stop,crash,cut,busy,silent,lost,term,config,evacuate,reborn,deaf,late'
).split(',');
/** From 48 on, other entry processes make the scheduler's calls to workers. */
const workers = Number(process.env.WORKERS ?? 8);
const tenantLimit = { cpu: 40_000, mem_mb: 200_000 };

function makeKind() {
  const kind = pick([
    'batch',
    'batch',
    'batch',
    'steps',
    'gang',
    'lasting',
    'timed',
    'label',
    'apart',
  ]);
  const cpu = Math.round(between(300, 4_000));
  const base = { cpu, mem_mb: 256, estimated_ms: 500 };
  const ms = Math.round(between(100, 2_500));
  const plain = { spec: JSON.stringify({ ms, tag: makeJobId() }) };
  if (kind === 'steps') {
    return {
      kind,
      ...plain,
      phases: [
        { count: 2, ...base },
        { count: 3, ...base, after: [0] },
        { count: 1, ...base, after: [0, 1] },
      ],
    };
  }
  if (kind === 'gang') {
    const count = 2 + Math.floor(random() * 4);
    return {
      kind,
      spec: JSON.stringify({ ms, gang: count, tag: makeJobId() }),
      phases: [{ count, ...base, gang_scheduled: true }],
    };
  }
  if (kind === 'flaky') {
    return { kind, spec: JSON.stringify({ ms, isFlaky: true }), phases: [{ count: 2, ...base }] };
  }
  if (kind === 'failing') {
    return { kind, spec: JSON.stringify({ ms, failAfterMs: 80 }), phases: [{ count: 1, ...base }] };
  }
  if (kind === 'lasting') {
    return {
      kind,
      spec: JSON.stringify({ lasting: true, tag: makeJobId() }),
      phases: [{ count: 2, ...base, cpu: 300, long_running: true }],
    };
  }
  if (kind === 'timed') {
    return {
      kind,
      ...plain,
      phases: [{ count: 1, ...base }],
      repeat_count: 4,
      start_at_ms: Date.now() + Math.round(between(500, 4_000)),
      interval_ms: Math.round(between(800, 3_000)),
    };
  }
  if (kind === 'label')
    return { kind, ...plain, phases: [{ count: 3, ...base, requirements: pick(['a', 'b']) }] };
  if (kind === 'apart')
    return { kind, ...plain, phases: [{ count: 4, ...base, anti_affinity: 1 }] };
  return { kind, ...plain, phases: [{ count: 1 + Math.floor(random() * 6), ...base }] };
}

function makeJob() {
  const job = makeKind();
  const payload = { ...JSON.parse(job.spec), cpu: job.phases[0].cpu };
  return { ...job, spec: JSON.stringify(payload) };
}

const jobs = new Map();
/** The service of each queue. */
const services = { batch: 'ledger', urgent: 'ledger', open: 'ledger', desk: 'desk' };

function checkStart(fleet, record, broken) {
  const { task, attempt, worker, spec, labels } = record;
  const [id, occurrence, stepIndex] = task.split('.');
  const job = jobs.get(id);
  const nowMs = performance.now();
  if (!job) {
    broken.push(`UNASKED: ${task} of no job`);
    return;
  }
  const step = job.phases[stepIndex];
  if (spec !== job.spec) broken.push(`UNASKED: ${task} with another spec`);
  if (job.cancelAckedAtMs && nowMs - job.cancelAckedAtMs > 3_000)
    broken.push(
      `UNASKED: ${task} started ${nowMs - job.cancelAckedAtMs} ms after the cancellation`,
    );
  const expectedService = services[job.path.split('/').at(-2)];
  if (fleet.find((each) => each.id === worker).service !== expectedService) {
    broken.push(`ROUTE: ${task} on ${worker} of another service`);
  }
  if (step.requirements && !labels.includes(step.requirements))
    broken.push(`ROUTE: ${task} on ${worker} ${labels}`);
  const others = fleet.flatMap(({ history }) => history).filter((each) => each !== record);
  const same = others.filter((each) => each.task === task);
  if (same.some(({ endedAtMs }) => endedAtMs === undefined))
    broken.push(`TWICE: ${task} ${attempt} runs already, ${JSON.stringify(same)}`);
  const done = same.find(({ how }) => how === 'done');
  if (done) Object.assign(record, { startedAfterDone: done });
  if (step.anti_affinity) {
    const prefix = `${id}.${occurrence}.${stepIndex}.`;
    const here = others.filter(
      (each) =>
        each.worker === worker && each.task.startsWith(prefix) && each.endedAtMs === undefined,
    );
    if (here.length >= step.anti_affinity)
      broken.push(`ROUTE: ${task} beyond anti_affinity on ${worker}`);
  }
  (step.after ?? []).forEach((earlier) => {
    const prefix = `${id}.${occurrence}.${earlier}.`;
    const doneTasks = new Set(
      others
        .filter((each) => each.how === 'done' && each.task.startsWith(prefix))
        .map((each) => each.task),
    );
    if (doneTasks.size < job.phases[earlier].count)
      broken.push(`ORDER: ${task} before step ${earlier}`);
  });
  if (job.start_at_ms && Date.now() < job.start_at_ms + occurrence * job.interval_ms - 250)
    broken.push(`ORDER: ${task} early`);
  const running = fleet.flatMap((each) => each.running());
  const cpuOf = (name) => jobs.get(name.split('.')[0]).phases[name.split('.')[2]].cpu;
  const own = running.filter(
    (run) => jobs.get(run.task.split('.')[0])?.tenant === job.tenant && run.task !== task,
  );
  const used = own.reduce((sum, run) => sum + cpuOf(run.task), 0) + step.cpu;
  if (used > tenantLimit.cpu * 1.1 + step.cpu) broken.push(`QUOTA: ${job.tenant} ${used}`);
  const workerOf = fleet.find((each) => each.id === worker);
  const load =
    workerOf
      .running()
      .filter((run) => run.task !== task)
      .reduce((sum, run) => sum + cpuOf(run.task), 0) + step.cpu;
  if (load > workerOf.capacity.cpu) broken.push(`LIMIT: ${worker} ${load}`);
}

runCase(
  {
    workers: Array.from({ length: workers }, (_, index) => ({
      labels: [index % 2 ? 'a' : 'b', `r1-${1 + Math.floor(index / 4)}`],
      zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
      ...(index < workers / 2 ? {} : { service: 'desk', guards: true }),
    })),
    routes: [
      makeRoute('batch', { max_attempts: 3 }),
      makeRoute('urgent', { priority: 0, max_attempts: 3, path_prefix: '/batch/urgent/' }),
      makeRoute('open', { max_attempts: 3, public: true }),
      makeRoute('desk', { max_attempts: 3, service: 'desk' }),
    ],
    services: [{ name: 'ledger' }, { name: 'desk', admission_control: true }],
    onStart: ({ spec, attempt }) =>
      JSON.parse(spec).isFlaky && attempt === 1 ? { failAfterMs: 60 } : {},
    tenants: [
      makeTenant('mill', { limit: tenantLimit }),
      makeTenant('farm', { limit: tenantLimit }),
    ],
  },
  async (deployment) => {
    const { fleet, entries, store, makeClient, log, configure, startEntry } = deployment;
    const broken = [];
    const addBroken = {
      push(line) {
        if (!broken.includes(line)) broken.push(line);
        log('suspect', { line });
      },
    };
    fleet.forEach((worker) => {
      const { history } = worker;
      const push = history.push.bind(history);
      history.push = (record) => {
        const size = push(record);
        checkStart(fleet, record, addBroken);
        return size;
      };
    });
    const clients = { mill: makeClient('key-mill'), farm: makeClient('key-farm') };
    const startedAtMs = performance.now();
    async function sendJobs() {
      const pending = [];
      while (performance.now() - startedAtMs < trafficMs) {
        const job = makeJob();
        const tenant = pick(['mill', 'farm']);
        const id = makeJobId();
        const path = `/${pick(['batch', 'batch/urgent', 'open', 'desk'])}/${id}`;
        const { kind, ...body } = job;
        jobs.set(id, { ...job, tenant, path });
        pending.push(
          (async () => {
            const isAccepted = await clients[tenant].submit(path, body);
            Object.assign(jobs.get(id), { isAccepted, acceptedAtMs: performance.now() });
            if (!isAccepted) return;
            if (random() < 0.2) {
              const { status } = await clients[tenant].send('POST', path, body);
              log('repeated', { id, status });
            }
            if (random() < 0.25 || (kind === 'lasting' && random() < 0.7)) {
              await sleep(between(50, 5_000));
              Object.assign(jobs.get(id), { isCancelled: true });
              for (let tries = 0; tries < 12; tries += 1) {
                const { status } = await clients[tenant].send('DELETE', path);
                if (status === 200 || status === 410) {
                  Object.assign(jobs.get(id), {
                    cancelAckedAtMs: performance.now(),
                    cancelStatus: status,
                  });
                  break;
                }
                await sleep(400);
              }
            }
          })(),
        );
        await sleep(between(40, 260));
      }
      await Promise.all(pending);
    }
    const isFree = (child) => child.exitCode === null && child.signalCode === null && !child.busy;

    async function playFault({ fault, index, worker, forMs }) {
      if (fault === 'kill') {
        const { child } = entries[index];
        if (!isFree(child)) return;
        child.busy = true;
        child.kill('SIGKILL');
        await sleep(forMs);
        startEntry(index);
      } else if (fault === 'term') {
        const { child } = entries[index];
        if (!isFree(child)) return;
        child.busy = true;
        child.kill('SIGTERM');
        await new Promise((resolve) => {
          child.on('exit', resolve);
        });
        startEntry(index);
      } else if (fault === 'stop') {
        const { child } = entries[index];
        if (!isFree(child)) return;
        child.busy = true;
        child.kill('SIGSTOP');
        await sleep(forMs);
        child.kill('SIGCONT');
        child.busy = false;
      } else if (fault === 'crash' && worker.isUp() && !worker.busy) {
        Object.assign(worker, { busy: true });
        await worker.crash();
        await sleep(forMs);
        await worker.start();
        Object.assign(worker, { busy: false });
      } else if (fault === 'cut' && worker.isUp()) {
        worker.setCut(true);
        await sleep(forMs * 2);
        worker.setCut(false);
      } else if (fault === 'reborn' && worker.isUp() && !worker.busy) {
        Object.assign(worker, { busy: true });
        worker.setCut(true);
        await sleep(between(10, 400));
        await worker.crash();
        await sleep(between(5, 300));
        worker.setCut(false);
        await worker.start();
        Object.assign(worker, { busy: false });
      } else if (fault === 'deaf') {
        worker.setLosingAnswers(true);
        await sleep(forMs);
        worker.setLosingAnswers(false);
      } else if (fault === 'late') {
        fleet.forEach((each) => each.setLateShare(0.055));
        await sleep(forMs);
        fleet.forEach((each) => each.setLateShare(0));
      } else if (fault === 'busy' || fault === 'silent' || fault === 'lost') {
        store.setMode({ busy: 'busy', silent: 'silent', lost: 'loses-answers' }[fault]);
        await sleep(forMs);
        store.setMode('well');
      } else if (fault === 'config') {
        configure({});
      } else if (fault === 'evacuate') {
        store.put('op', 'evacuate/zone-b', {});
        await sleep(forMs);
        store.put('op', 'evacuate/zone-b', undefined);
      }
    }

    async function inject() {
      await sleep(3_000);
      while (performance.now() - startedAtMs < trafficMs - 6_000) {
        const chosen = {
          fault: pick(faults),
          index: Math.floor(random() * entries.length),
          worker: pick(fleet),
          forMs: between(800, 4_500),
        };
        log('fault', { ...chosen, worker: chosen.worker.id });
        await playFault(chosen);
        await sleep(between(500, 3_000));
      }
    }
    await Promise.all([
      sendJobs(),
      ...Array.from({ length: Number(process.env.INJECTORS ?? 1) }, inject),
    ]);
    await sleep(14_000);
    const states = await Promise.all(
      [...jobs]
        .filter(([, job]) => job.isAccepted)
        .map(async ([id, job]) => {
          const state = await clients[job.tenant].getState(job.path);
          return [id, job, state];
        }),
    );
    states.forEach(([id, job, state]) => {
      const runs = listRuns(fleet, id);
      const doneTasks = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task))
        .size;
      const wanted =
        job.phases.reduce((sum, { count }) => sum + count, 0) * (job.repeat_count ?? 1);
      const doneGang = job.kind === 'gang' && doneTasks > 0;
      if (state === undefined || state === 'gone')
        addBroken.push(`LOST: ${id} ${job.kind} shown as ${state}`);
      else if (state === 'completed' && doneTasks < wanted && !doneGang)
        addBroken.push(`MIXED: ${id} ${job.kind} completed with ${doneTasks} of ${wanted}`);
      else if (state === 'cancelled' && !job.isCancelled) addBroken.push(`LOST: ${id} cancelled`);
      else if (state === 'failed' && job.kind !== 'failing') addBroken.push(`LOST: ${id} failed`);
      else if ((state === 'queued' || state === 'in_progress') && job.kind !== 'lasting')
        addBroken.push(
          `LOST?: ${id} ${job.kind} still ${state}, ${doneTasks} of ${wanted}, cancelled ${job.isCancelled}`,
        );
      else if (job.cancelAckedAtMs && !['cancelled', 'completed', 'failed'].includes(state))
        addBroken.push(`LOST?: ${id} ${job.kind} cancel acked ${job.cancelStatus}, state ${state}`);
      if (
        job.kind === 'lasting' &&
        !job.isCancelled &&
        runs.filter(({ endedAtMs }) => endedAtMs === undefined).length < 2
      )
        addBroken.push(`LOST: ${id} lasting is not running`);
      if (job.cancelAckedAtMs && runs.some(({ endedAtMs }) => endedAtMs === undefined))
        addBroken.push(`UNASKED: ${id} ${job.kind} runs on after cancellation`);
    });
    fleet
      .flatMap(({ history }) => history)
      .forEach((record) => {
        if (record.startedAfterDone?.notedAtMs)
          addBroken.push(
            `TWICE: ${record.task} ${record.attempt} started after a done end that was noted: ${JSON.stringify(record)}`,
          );
        if (record.how === 'alone') log('alone', record);
      });
    [...jobs]
      .filter(([, job]) => job.isAccepted === false)
      .forEach(([id, job]) => {
        const ran = listRuns(fleet, id).length;
        log('not-accepted', { id, ran, kind: job.kind });
      });
    log('summary', {
      jobs: jobs.size,
      accepted: states.length,
      runs: fleet.flatMap(({ history }) => history).length,
    });
    return broken;
  },
);
