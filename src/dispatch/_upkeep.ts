/**
 * What is done for jobs from time to time: retries that are due, attempts in doubt, stops of
 * cancelled jobs and broken gangs, services that move, and evacuation.
 */
import { planEvacuation, planService } from '../decisions/mod.ts';
import type { Job, StopQuestion } from '../schema/mod.ts';
import { recordEnded } from './_ending.ts';
import { endInfeasible } from './_infeasible.ts';
import { isOver } from './_job_machine.ts';
import { activeAttempts, waitingTasks } from './_job_model.ts';
import { holderOf, note, replicasOf, schedule } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launch, placed, spareTask, spreadNeed } from './_placing.ts';
import { round } from './_rounds.ts';
import { holdSpread, nextCrowded, respread } from './_spreading.ts';

const tickMs = 250;
const ticksPerCheck = 4;
// Without an owner nobody renews the worker's leases: 30 s and 2 s margin, after the 4 s in which a
// changed setting comes into force everywhere.
const ownerlessMs = 36_000;
const keepEndedMs = 3_600_000;

type Stops = Map<string, StopQuestion['tasks']>;

function retryDue(state: JobsState): void {
  const now = state.clock.now();
  state.notBefore.forEach((at, id) => {
    if (at > now) return;
    state.notBefore.delete(id);
    const job = state.rows.get(id);
    if (job) schedule(state, job);
  });
}

/** Asks the owner of the worker what it knows of an attempt. */
async function resolve(state: JobsState, task: string): Promise<void> {
  const { doubtful, ownership, seenOwner, settings, clock, rows } = state;
  const doubt = doubtful.get(task);
  const job = doubt && rows.get(doubt.job);
  if (!doubt || !job) {
    doubtful.delete(task);
    return;
  }
  const { attempt, worker } = doubt;
  const owner = ownership.ownerOfWorker(worker);
  const holder = owner === undefined ? undefined : holderOf(state, owner);
  const answer = await holder?.attempt({ task, attempt, worker });
  const known = answer?.toMaybe().extract()?.state ?? 'unknown';
  if (doubtful.get(task) !== doubt) return;
  if (known === 'running') {
    doubtful.delete(task);
    seenOwner.set(task, owner ?? '');
  }
  const removed = settings.current().upstreams[worker] === undefined;
  Object.assign(doubt, { since: doubt.since ?? clock.now() });
  const ownerless = removed && !holder && clock.now() - (doubt.since ?? Infinity) > ownerlessMs;
  if (known === 'unknown') ownership.recheck({ workers: [worker] });
  if (known !== 'absent' && !ownerless) return;
  const message = ownerless ? 'the worker was removed' : 'the worker does not run the attempt';
  await recordEnded(state, [
    { task, attempt, job: job.id, team: job.team, worker, state: 'lost', message },
  ]);
}

/** Attempts whose worker has got another owner are asked for again. */
function doubtMoved({ rows, ownership, seenOwner, doubtful, placing }: JobsState): void {
  const settled = rows.all().filter(({ id }) => !placing.has(id));
  settled.forEach((job) =>
    activeAttempts(job).forEach(({ task, attempt, worker }) => {
      if (doubtful.has(task)) return;
      if (seenOwner.get(task) === (ownership.ownerOfWorker(worker) ?? '')) return;
      doubtful.set(task, { job: job.id, attempt, worker });
    }),
  );
}

function addStop(state: JobsState, stops: Stops, stop: StopQuestion['tasks'][number]): void {
  const owner = state.ownership.ownerOfWorker(stop.worker);
  if (owner === undefined) return;
  stops.set(owner, [...(stops.get(owner) ?? []), stop]);
}

async function sendStops(
  state: JobsState,
  stops: Stops,
  mode: StopQuestion['mode'],
): Promise<void> {
  await Promise.all(
    [...stops].map(async ([owner, tasks]) => {
      const sent = await holderOf(state, owner)?.stop({ tasks, mode });
      if (sent?.isRight()) return;
      state.ownership.recheck({ workers: tasks.map(({ worker }) => worker) });
    }),
  );
}

/** Tasks that run for a job that is over, and what is left of a gang of which a task has ended. */
function stopsOf(state: JobsState): Stops {
  const stops: Stops = new Map();
  state.rows.all().forEach((job) => {
    const active = activeAttempts(job);
    const broken = job.kind === 'gang' && active.length > 0 && waitingTasks(job).length > 0;
    if (!isOver(job) && !broken) return;
    if (state.placing.has(job.id)) return;
    active.forEach(({ task, attempt, worker }) => {
      addStop(state, stops, { task, worker });
      // A task that its worker does not run is never reported as ended.
      if (!state.doubtful.has(task)) state.doubtful.set(task, { job: job.id, attempt, worker });
    });
  });
  return stops;
}

/** Starts a replica beyond the wanted number, so that one on a leaving host can be stopped. */
async function surge(state: JobsState, job: Job): Promise<void> {
  const held = await holdSpread(state, { job, need: spreadNeed(state, job) });
  if (held) await launch(state, { job, held: [held], tasks: spareTask(job) });
}

async function moveServices(state: JobsState): Promise<void> {
  const stops: Stops = new Map();
  const moving = state.rows.all().filter((job) => {
    if (job.kind !== 'service' || isOver(job) || state.placing.has(job.id)) return false;
    const replicas = replicasOf(state, job);
    const steps = planService({ replicas: job.tasks, spread: job.spread }, replicas);
    steps.forEach(({ action, task, reason }) => {
      const replica = replicas.find((one) => one.task === task);
      if (action !== 'stop' || !replica) return;
      note(state, job.id, `${replica.task} is stopped: ${reason}`);
      addStop(state, stops, { task: replica.task, worker: replica.worker });
    });
    return waitingTasks(job).length === 0 && steps.some(({ action }) => action === 'start');
  });
  await sendStops(state, stops, 'stop');
  const { evacuationTasksPerSecond } = state.settings.current().policy;
  const rate = Math.max(1, evacuationTasksPerSecond / state.membership.view().members.length);
  await Promise.all(
    moving
      .slice(0, rate)
      .map((job) => placed(state, { id: job.id, work: () => surge(state, job) })),
  );
  const crowded = nextCrowded(state);
  if (crowded) await placed(state, { id: crowded.id, work: () => respread(state, crowded) });
}

/** Moves tasks that can checkpoint out of data centres that are out of service. */
async function evacuate(state: JobsState): Promise<void> {
  const { rows, clock, settings, membership, pool } = state;
  const now = clock.wallTime();
  const fleet = settings.current();
  const tasks = rows.all().flatMap((job) => {
    if (isOver(job) || job.kind === 'service' || !job.checkpoint) return [];
    return replicasOf(state, job).flatMap(({ task, worker }) => {
      const upstream = fleet.upstreams[worker];
      if (!upstream || fleet.dataCentres[upstream.dataCentre]?.inService) return [];
      const ranMs = Math.max(0, now - job.submittedAt);
      return [
        {
          ...{ task, worker, kind: job.kind, processors: job.size.processors, checkpoint: true },
          ...{ startedAt: job.submittedAt, remainingMs: Math.max(0, job.estimateMs - ranMs) },
          ...(job.deadlineAt === undefined ? {} : { deadlineAt: job.deadlineAt }),
        },
      ];
    });
  });
  if (tasks.length === 0) return;
  const members = Math.max(1, membership.view().members.length);
  const steps = planEvacuation({
    ...{ tasks, now, intervalMs: tickMs * ticksPerCheck },
    tasksPerSecond: fleet.policy.evacuationTasksPerSecond / members,
    freeProcessors: pool.freeSlots() > 0 ? Infinity : 0,
  });
  const stops: Stops = new Map();
  steps.forEach(({ task, reason }) => {
    const found = tasks.find((one) => one.task === task);
    if (!found) return;
    note(state, task.slice(0, task.lastIndexOf('.')), `${task} is moved: ${reason}`);
    addStop(state, stops, { task, worker: found.worker });
  });
  await sendStops(state, stops, 'checkpoint');
}

/** Ended jobs would otherwise fill the memory within days. */
function forgetOld({ rows, clock, reasons, remoteAfter }: JobsState): void {
  const before = clock.wallTime() - keepEndedMs;
  const old = rows.all().filter((job) => {
    const ended = isOver(job) && activeAttempts(job).length === 0;
    return ended && (job.endedAt ?? 0) < before;
  });
  rows.forget(old.map(({ id }) => id));
  old.forEach(({ id }) => reasons.delete(id));
  remoteAfter.forEach((at, id) => {
    if (at < clock.now()) remoteAfter.delete(id);
  });
}

/** Runs until the dispatcher is closed. */
export async function keepUp(state: JobsState): Promise<void> {
  const { clock, closed, doubtful, log } = state;
  for (let tick = 0; !closed.signal.aborted; tick++) {
    retryDue(state);
    round(state);
    if (tick % ticksPerCheck === 0) {
      doubtMoved(state);
      forgetOld(state);
      const work = async () => {
        await sendStops(state, stopsOf(state), 'stop');
        await Promise.all([...doubtful.keys()].map((task) => resolve(state, task)));
        await moveServices(state);
        await evacuate(state);
        await endInfeasible(state);
      };
      // One slow peer must not hold up the next rounds.
      work().catch((error: unknown) => log.error('Upkeep failed.', { error: String(error) }));
    }
    await clock.sleep(tickMs, closed.signal);
  }
}
