/* eslint-disable no-await-in-loop -- scripts wait step by step */
/**
 * Checks of the rules as the users' pages write them, from what the workers have run.
 */
import { performance } from 'node:perf_hooks';

const sampleMs = 50;

/** Lists the runs of a job's tasks over all lives of all workers. */
export function listRuns(fleet, jobId) {
  return fleet
    .flatMap(({ history }) => history)
    .filter(({ task }) => task.startsWith(`${jobId}.`))
    .sort((a, b) => a.startedAtMs - b.startedAtMs);
}

/** Returns what the running tasks take of a worker; the `cpu` of a step that fills is not counted. */
function getUsed(worker, needs) {
  const used = { cpu: 0, mem_mb: 0 };
  worker.running().forEach(({ task }) => {
    const [jobId, , step] = task.split('.');
    const need = needs.get(`${jobId}.${step}`);
    used.cpu += need.fills ? 0 : need.cpu;
    used.mem_mb += need.mem_mb;
  });
  return used;
}

/** Counts how many more tasks of a need the workers that are up have capacity for. */
function countFitting(fleet, need, needs) {
  return fleet
    .filter((worker) => worker.isUp())
    .reduce((sum, worker) => {
      const used = getUsed(worker, needs);
      const byMemory = Math.floor((worker.capacity.mem_mb - used.mem_mb) / need.mem_mb);
      if (need.fills) return sum + byMemory;
      return sum + Math.min(byMemory, Math.floor((worker.capacity.cpu - used.cpu) / need.cpu));
    }, 0);
}

function getUse(fleet, needs) {
  const up = fleet.filter((worker) => worker.isUp());
  const sum = (values) => values.reduce((total, value) => total + value, 0);
  const used = up.map((worker) => getUsed(worker, needs));
  return Math.max(
    sum(used.map(({ cpu }) => cpu)) / sum(up.map(({ capacity }) => capacity.cpu)),
    sum(used.map(({ mem_mb: memory }) => memory)) / sum(up.map(({ capacity }) => capacity.mem_mb)),
  );
}

/**
 * Watches for spans in which something whose turn has come does not run although there is capacity for it
 * twice over and under half of the service's capacity is in use.
 *
 * `targets` names what is watched: `prefix` of task names (a job, or one task), `need`, and `fromMs`, the
 * time before which the rule asks for nothing. Returns the longest span of each in milliseconds, at the
 * latest once one is longer than `enoughMs`.
 */
export async function watchIdleSpans(
  fleet,
  { targets, needs, untilMs, enoughMs, mayCount = () => true },
) {
  const spans = targets.map((target) => ({ ...target, longestMs: 0, sinceMs: undefined }));
  const isShown = () => spans.some(({ longestMs }) => longestMs > enoughMs);
  while (performance.now() < untilMs && !isShown()) {
    const nowMs = performance.now();
    const isHalfFree = getUse(fleet, needs) < 0.5;
    const names = fleet.flatMap((worker) => worker.running().map(({ task }) => task));
    spans.forEach((span) => {
      const isRunning = names.some(
        (name) => name === span.prefix || name.startsWith(`${span.prefix}.`),
      );
      const isOwed =
        nowMs >= span.fromMs() &&
        !isRunning &&
        mayCount(span) &&
        isHalfFree &&
        countFitting(fleet, span.need, needs) >= 2;
      if (!isOwed) Object.assign(span, { sinceMs: undefined });
      else if (span.sinceMs === undefined) Object.assign(span, { sinceMs: nowMs });
      if (span.sinceMs !== undefined && nowMs - span.sinceMs > span.longestMs) {
        Object.assign(span, { longestMs: nowMs - span.sinceMs, foundAtMs: nowMs });
      }
    });
    await new Promise((resolve) => {
      setTimeout(resolve, sampleMs);
    });
  }
  return spans;
}
