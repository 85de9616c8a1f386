/* eslint-disable import-x/prefer-default-export -- the project uses named exports */
/**
 * The last sentence of LOST, from what clients and workers saw: for 3 s a job has nothing running while
 * there is capacity for it twice over, its tenant has under half of its limit, and under half of the
 * service's capacity is in use.
 */

/**
 * Finds the spans in which nothing of a job runs although it could. `job` has `id`, `acceptedMs`, the
 * CPU of a task (`cpu`), its tasks (`tasks`) and, optionally, the label that it needs. `isBusyAllowed`
 * is for tasks that last, "however full the service is": room then means the capacity of the workers that
 * are up, whether or not it is in use.
 */
export function findIdleSpans({ events, job, fromMs, untilMs, cpuOf, isBusyAllowed }) {
  const up = new Map();
  const runs = new Map();
  const done = new Set();
  const spans = [];
  let sinceMs;

  function isIdle(nowMs) {
    if (nowMs < fromMs || nowMs < job.acceptedMs || done.size >= job.tasks) return false;
    const running = [...runs.values()];
    if (running.some(({ task }) => task.startsWith(job.id))) return false;
    const getUsed = (worker) =>
      running.filter((run) => run.worker === worker).reduce((sum, run) => sum + cpuOf(run.task), 0);
    let capacity = 0;
    let usedCpu = 0;
    let fitting = 0;
    let places = 0;
    up.forEach(({ cpu, labels }, id) => {
      capacity += cpu;
      const used = getUsed(id);
      usedCpu += used;
      const isEligible = job.label === undefined || labels.includes(job.label);
      if (isEligible) places += Math.floor(cpu / job.cpu);
      if (isEligible) fitting += Math.max(0, Math.floor((cpu - used) / job.cpu));
    });
    if (isBusyAllowed) return places >= 2 * job.tasks;
    return fitting >= 2 * job.tasks && usedCpu * 2 < capacity;
  }

  function step(nowMs) {
    if (isIdle(nowMs)) sinceMs ??= nowMs;
    else if (sinceMs !== undefined) {
      spans.push([sinceMs, nowMs]);
      sinceMs = undefined;
    }
  }

  const limits = [fromMs, untilMs].map((atMs) => ({ atMs, kind: 'limit' }));
  const ordered = [...events, ...limits].sort((a, b) => a.atMs - b.atMs);
  ordered.forEach(({ atMs, kind, worker, task, how, labels, cpu }) => {
    if (atMs > untilMs) return;
    step(atMs);
    if (kind === 'start') runs.set(`${worker} ${task}`, { worker, task });
    if (kind === 'end') runs.delete(`${worker} ${task}`);
    if (kind === 'end' && how === 'done' && task.startsWith(job.id)) done.add(task);
    if (kind === 'worker up') {
      up.set(worker, { cpu, labels: labels.split(',') });
    }
    if (kind === 'worker crashed') {
      up.delete(worker);
      [...runs.keys()]
        .filter((key) => key.startsWith(`${worker} `))
        .forEach((key) => runs.delete(key));
    }
    step(atMs);
  });
  if (sinceMs !== undefined) spans.push([sinceMs, untilMs]);
  return spans;
}
