/**
 * The check of the rule LOST for jobs that wait: for 3 s, a job has nothing running while a task's turn
 * has come, there is capacity for it twice over, its tenant has under half of `upper_limit` (these
 * deployments set none), and under half of the service's capacity is in use.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
import { sleep } from './http.mjs';

const windowMs = 3_000;
const sampleMs = 50;

const isTerminal = (state) => ['completed', 'failed', 'cancelled'].includes(state);

/** What the tasks on a worker use; a task that fills uses no processor. */
function usageOf(worker, jobs) {
  const usage = { cpu: 0, mem_mb: 0 };
  worker.tasks().forEach((task) => {
    const [id, , step] = task.split('.');
    const { cpu, mem_mb: memory = 0, fills } = jobs.get(id).phases[Number(step)];
    usage.cpu += fills ? 0 : cpu;
    usage.mem_mb += memory;
  });
  return usage;
}

function countCopies({ cpu, mem_mb: memory = 0, fills }, { capacity }, usage) {
  const byCpu = fills ? Infinity : Math.floor((capacity.cpu - usage.cpu) / cpu);
  const byMemory = memory > 0 ? Math.floor((capacity.mem_mb - usage.mem_mb) / memory) : Infinity;
  return Math.max(0, Math.min(byCpu, byMemory));
}

/** Whether the workers have room for all tasks of a step twice over, and half of their capacity. */
function hasRoomTwiceOver(phase, service, workers, jobs) {
  const usable = workers.filter((worker) => worker.service === service && worker.isUsable());
  const usages = usable.map((worker) => usageOf(worker, jobs));
  const copies = usable.reduce((sum, worker, i) => sum + countCopies(phase, worker, usages[i]), 0);
  const isUnderHalf = ['cpu', 'mem_mb'].every((resource) => {
    const used = usages.reduce((sum, usage) => sum + usage[resource], 0);
    const total = usable.reduce((sum, { capacity }) => sum + capacity[resource], 0);
    return used < total / 2;
  });
  return isUnderHalf && copies >= 2 * phase.count;
}

/**
 * Watches for a while and returns the waits of 3 s or more that break the rule, by job id. `openPhases(job)`
 * gives the steps of a job whose turn has come and that have not ended; `isAsked(job)` says whether its
 * wait counts now.
 */
export async function watchWaits({ jobs, workers, forMs, openPhases, isAsked }) {
  const waits = new Map();
  const broken = new Map();
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    const nowMs = performance.now();
    const running = new Set(workers.flatMap((w) => w.tasks()).map((task) => task.split('.')[0]));
    jobs.forEach((job, id) => {
      const phases = openPhases(job);
      const waitsNow =
        isAsked(job) &&
        phases.length > 0 &&
        !running.has(id) &&
        phases.some((phase) => hasRoomTwiceOver(phase, job.service, workers, jobs));
      if (!waitsNow) {
        waits.delete(id);
        return;
      }
      if (!waits.has(id)) waits.set(id, nowMs);
      const waitedMs = nowMs - waits.get(id);
      if (waitedMs >= windowMs) broken.set(id, Math.max(broken.get(id) ?? 0, waitedMs));
    });
    await sleep(sampleMs);
  }
  return broken;
}

export { isTerminal };
