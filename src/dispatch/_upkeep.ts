/**
 * Periodic maintenance of jobs: schedules due retries, confirms attempts whose state is unknown,
 * stops tasks of ended jobs and incomplete gangs, moves services, and evacuates data centres.
 */
import { planEvacuation, planService } from '../decisions/mod.ts';
import type { Job, StopQuestion } from '../schema/mod.ts';
import { recordEnded } from './_ending.ts';
import { endInfeasible } from './_infeasible.ts';
import { isEnded } from './_job_machine.ts';
import { activeAttempts, waitingTasks } from './_job_model.ts';
import { findWorkerOwner, recordReason, listReplicas, updateWaitingWork } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launchTasks, runPlacement, findSpareTask, makeNextNeed } from './_placing.ts';
import { runRound } from './_rounds.ts';
import { holdSpreadPlace, nextServiceToSpread, startSpreadReplica } from './_spreading.ts';

const tickMs = 250;
const ticksPerCheck = 4;
// Without an owner, a worker's leases are not renewed. They expire after 30 s plus a 2 s margin,
// counted from when a changed setting applies everywhere, which takes up to 4 s.
const maxOwnerlessMs = 36_000;
const endedRetentionMs = 3_600_000;

type StopsByOwner = Map<string, StopQuestion['tasks']>;

function scheduleDueRetries(state: JobsState): void {
  const now = state.clock.now();
  state.placementRetryAt.forEach((at, id) => {
    if (at > now) return;
    state.placementRetryAt.delete(id);
    const job = state.rows.get(id);
    if (job) updateWaitingWork(state, job);
  });
}

/**
 * Queries the owner of the worker for the state of an attempt. An attempt that is absent, or whose
 * worker was removed and has had no owner for long enough, is recorded as lost.
 */
async function confirmAttempt(state: JobsState, task: string): Promise<void> {
  const {
    unconfirmedAttempts: doubtful,
    ownership,
    lastConfirmedOwner: seenOwner,
    settings,
    clock,
    rows,
  } = state;
  const unconfirmed = doubtful.get(task);
  const job = unconfirmed && rows.get(unconfirmed.job);
  if (!unconfirmed || !job) {
    doubtful.delete(task);
    return;
  }
  const { attempt, worker } = unconfirmed;
  const owner = ownership.ownerOfWorker(worker);
  const ownerPeer = owner === undefined ? undefined : findWorkerOwner(state, owner);
  const response = await ownerPeer?.attempt({ task, attempt, worker });
  const attemptState = response?.toMaybe().extract()?.state ?? 'unknown';
  if (doubtful.get(task) !== unconfirmed) return;
  if (attemptState === 'running') {
    doubtful.delete(task);
    seenOwner.set(task, owner ?? '');
  }
  const isRemoved = settings.current().upstreams[worker] === undefined;
  Object.assign(unconfirmed, { since: unconfirmed.since ?? clock.now() });
  const isOwnerless =
    isRemoved && !ownerPeer && clock.now() - (unconfirmed.since ?? Infinity) > maxOwnerlessMs;
  if (attemptState === 'unknown') ownership.recheck({ workers: [worker] });
  if (attemptState !== 'absent' && !isOwnerless) return;
  const message = isOwnerless ? 'the worker was removed' : 'the worker does not run the attempt';
  await recordEnded(state, [
    { task, attempt, job: job.id, team: job.team, worker, state: 'lost', message },
  ]);
}

/** Marks attempts for confirmation whose worker's owner has changed. */
function markMovedAttempts({
  rows,
  ownership,
  lastConfirmedOwner: seenOwner,
  unconfirmedAttempts: doubtful,
  placing,
}: JobsState): void {
  const placedJobs = rows.all().filter(({ id }) => !placing.has(id));
  placedJobs.forEach((job) =>
    activeAttempts(job).forEach(({ task, attempt, worker }) => {
      if (doubtful.has(task)) return;
      if (seenOwner.get(task) === (ownership.ownerOfWorker(worker) ?? '')) return;
      doubtful.set(task, { job: job.id, attempt, worker });
    }),
  );
}

function addStop(state: JobsState, stops: StopsByOwner, stop: StopQuestion['tasks'][number]): void {
  const owner = state.ownership.ownerOfWorker(stop.worker);
  if (owner === undefined) return;
  stops.set(owner, [...(stops.get(owner) ?? []), stop]);
}

async function sendStops(
  state: JobsState,
  stops: StopsByOwner,
  mode: StopQuestion['mode'],
): Promise<void> {
  await Promise.all(
    [...stops].map(async ([owner, tasks]) => {
      const sent = await findWorkerOwner(state, owner)?.stop({ tasks, mode });
      if (sent?.isRight()) return;
      state.ownership.recheck({ workers: tasks.map(({ worker }) => worker) });
    }),
  );
}

/** Finds the active tasks of ended jobs, and the rest of a gang that has lost a task. */
function findStops(state: JobsState): StopsByOwner {
  const stops: StopsByOwner = new Map();
  state.rows.all().forEach((job) => {
    const active = activeAttempts(job);
    const isBrokenGang = job.kind === 'gang' && active.length > 0 && waitingTasks(job).length > 0;
    if (!isEnded(job) && !isBrokenGang) return;
    if (state.placing.has(job.id)) return;
    active.forEach(({ task, attempt, worker }) => {
      addStop(state, stops, { task, worker });
      // The end of a task that its worker doesn't run is never reported.
      if (!state.unconfirmedAttempts.has(task))
        state.unconfirmedAttempts.set(task, { job: job.id, attempt, worker });
    });
  });
  return stops;
}

/** Starts a replica beyond the wanted number, so that one on a leaving worker can be stopped. */
async function startSurgeReplica(state: JobsState, job: Job): Promise<void> {
  const held = await holdSpreadPlace(state, { job, need: makeNextNeed(state, job) });
  if (held) await launchTasks(state, { job, held: [held], tasks: findSpareTask(job) });
}

async function moveServices(state: JobsState): Promise<void> {
  const stops: StopsByOwner = new Map();
  const servicesToMove = state.rows.all().filter((job) => {
    if (job.kind !== 'service' || isEnded(job) || state.placing.has(job.id)) return false;
    const replicas = listReplicas(state, job);
    const steps = planService({ replicas: job.tasks, spread: job.spread }, replicas);
    steps.forEach(({ action, task, reason }) => {
      const replica = replicas.find((one) => one.task === task);
      if (action !== 'stop' || !replica) return;
      recordReason(state, job.id, `${replica.task} is stopped: ${reason}`);
      addStop(state, stops, { task: replica.task, worker: replica.worker });
    });
    return waitingTasks(job).length === 0 && steps.some(({ action }) => action === 'start');
  });
  await sendStops(state, stops, 'stop');
  const { evacuationTasksPerSecond } = state.settings.current().policy;
  const maxMoves = Math.max(1, evacuationTasksPerSecond / state.membership.view().members.length);
  await Promise.all(
    servicesToMove
      .slice(0, maxMoves)
      .map((job) => runPlacement(state, { id: job.id, work: () => startSurgeReplica(state, job) })),
  );
  const crowdedService = nextServiceToSpread(state);
  if (crowdedService)
    await runPlacement(state, {
      id: crowdedService.id,
      work: () => startSpreadReplica(state, crowdedService),
    });
}

/** Moves tasks that can be checkpointed away from data centres that are out of service. */
async function evacuate(state: JobsState): Promise<void> {
  const { rows, clock, settings, membership, pool } = state;
  const now = clock.wallTime();
  const fleet = settings.current();
  const tasks = rows.all().flatMap((job) => {
    if (isEnded(job) || job.kind === 'service' || !job.checkpoint) return [];
    return listReplicas(state, job).flatMap(({ task, worker }) => {
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
  const stops: StopsByOwner = new Map();
  steps.forEach(({ task, reason }) => {
    const found = tasks.find((one) => one.task === task);
    if (!found) return;
    recordReason(state, task.slice(0, task.lastIndexOf('.')), `${task} is moved: ${reason}`);
    addStop(state, stops, { task, worker: found.worker });
  });
  await sendStops(state, stops, 'checkpoint');
}

/** Evicts jobs that ended long ago. Kept in memory, they would exhaust it within days. */
function evictEndedJobs({ rows, clock, reasons, remoteRetryAt: remoteAfter }: JobsState): void {
  const cutoff = clock.wallTime() - endedRetentionMs;
  const expiredJobs = rows.all().filter((job) => {
    const hasEnded = isEnded(job) && activeAttempts(job).length === 0;
    return hasEnded && (job.endedAt ?? 0) < cutoff;
  });
  rows.evict(expiredJobs.map(({ id }) => id));
  expiredJobs.forEach(({ id }) => reasons.delete(id));
  remoteAfter.forEach((at, id) => {
    if (at < clock.now()) remoteAfter.delete(id);
  });
}

/** Runs the periodic maintenance until the dispatcher is closed. */
export async function runUpkeep(state: JobsState): Promise<void> {
  const { clock, closeController, unconfirmedAttempts: doubtful, log } = state;
  for (let tick = 0; !closeController.signal.aborted; tick++) {
    scheduleDueRetries(state);
    runRound(state);
    if (tick % ticksPerCheck === 0) {
      markMovedAttempts(state);
      evictEndedJobs(state);
      const runChecks = async () => {
        await sendStops(state, findStops(state), 'stop');
        await Promise.all([...doubtful.keys()].map((task) => confirmAttempt(state, task)));
        await moveServices(state);
        await evacuate(state);
        await endInfeasible(state);
      };
      // Not awaited: a slow peer must not delay the next rounds.
      runChecks().catch((error: unknown) =>
        log.error('Job maintenance failed.', { error: String(error) }),
      );
    }
    await clock.sleep(tickMs, closeController.signal);
  }
}
