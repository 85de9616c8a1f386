/**
 * Places the tasks of jobs in three steps: holds places, records the attempts in the job row, and
 * commits the holds.
 */
import type { Either } from 'purify-ts';

import { computeGangRetryDelayMs, planService } from '../decisions/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Attempt, CommitAnswer, HoldAnswer, Job, Need, Place } from '../schema/mod.ts';
import { isActive } from './_attempt_machine.ts';
import {
  activeAttempts,
  allowedDataCentres,
  findAttempt,
  needOf,
  planAttempts,
  recordAttempts,
  recordEnd,
  taskId,
  waitingTasks,
} from './_job_model.ts';
import { findWorkerOwner, recordReason, listReplicas, updateWaitingWork } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';

/** Places that are held at one member. */
export interface HeldPlaces {
  member: string;
  hold: string;
  places: Place[];
}

const peerRetryMs = 250;
const placementRetryMs = 500;

/** Makes a random hold id that ends in the id of this member. */
export function makeHoldId({ random, membership }: JobsState): string {
  return `${Math.floor(random() * 2 ** 52).toString(36)}@${membership.id()}`;
}

async function releaseHolds(state: JobsState, held: HeldPlaces[]): Promise<void> {
  await Promise.all(
    held.map(({ member, hold }) => findWorkerOwner(state, member)?.release({ hold })),
  );
}

/** Records the result of each start. */
async function recordStartResults(
  state: JobsState,
  { job, attempts, results }: { job: Job; attempts: Attempt[]; results: CommitAnswer['tasks'] },
): Promise<void> {
  const {
    rows,
    unconfirmedAttempts: doubtful,
    lastConfirmedOwner: seenOwner,
    ownership,
    clock,
  } = state;
  const resultsByTask = new Map(results.map((result) => [result.task, result]));
  const notRun = attempts.filter(({ task }) => resultsByTask.get(task)?.outcome === 'not-run');
  attempts.forEach(({ task, attempt, worker }) => {
    const outcome = resultsByTask.get(task)?.outcome;
    if (outcome === 'running') seenOwner.set(task, ownership.ownerOfWorker(worker) ?? '');
    else if (outcome !== 'not-run') doubtful.set(task, { job: job.id, attempt, worker });
  });
  if (notRun.length === 0) return;
  recordReason(
    state,
    job.id,
    `not started: ${resultsByTask.get(notRun[0]?.task ?? '')?.message ?? 'refused'}`,
  );
  state.placementRetryAt.set(job.id, clock.now() + placementRetryMs * (0.5 + state.random()));
  await rows.update(job.id, (current) =>
    notRun.reduce<Job>(
      (next, { task, attempt, worker }) =>
        recordEnd(
          next,
          { task, attempt, worker, state: 'stopped', neverRan: true },
          clock.wallTime(),
        ) ?? next,
      current,
    ),
  );
}

/** Records the attempts and starts them on the held places. */
export async function launchTasks(
  state: JobsState,
  { job, held, tasks = waitingTasks(job) }: { job: Job; held: HeldPlaces[]; tasks?: string[] },
): Promise<void> {
  const { rows } = state;
  const places = held.flatMap((one) => one.places);
  const attempts = planAttempts(job, { tasks, places });
  const recorded = await rows.update(job.id, (current) => recordAttempts(current, attempts));
  const current = recorded.toMaybe().extract();
  const valid = attempts.filter(({ task, attempt }) => {
    const found = current && findAttempt(current, task);
    return found?.attempt === attempt && isActive(found);
  });
  if (!current || valid.length < attempts.length) {
    const failed = recorded.swap().toMaybe().extract();
    recordReason(
      state,
      job.id,
      failed ? `attempts not recorded: ${failed.message}` : 'job changed',
    );
    state.placementRetryAt.set(
      job.id,
      state.clock.now() + placementRetryMs * (0.5 + state.random()),
    );
    await releaseHolds(state, held);
    return;
  }
  let offset = 0;
  await Promise.all(
    held.map(async ({ member, hold, places: memberPlaces }) => {
      const memberAttempts = attempts.slice(offset, offset + memberPlaces.length);
      offset += memberPlaces.length;
      const starts = memberAttempts.map(({ task, attempt, worker }) => ({ task, attempt, worker }));
      // JSON drops an undefined body, and the message requires one.
      const { idempotent, body = null } = job;
      const response = await findWorkerOwner(state, member)?.commit({
        hold,
        tasks: starts,
        idempotent,
        body,
      });
      const wasNotSent =
        response?.swap().toMaybe().extract()?.kind === ErrorKind.PeerUnavailable || !response;
      const results =
        response?.toMaybe().extract()?.tasks ??
        starts.map(({ task }) => ({ task, outcome: wasNotSent ? 'not-run' : 'unknown' }) as const);
      await recordStartResults(state, { job, attempts: memberAttempts, results });
    }),
  );
  recordReason(state, job.id, `${attempts.length} tasks started`);
}

/** Runs a placement, then queues the job again if it has tasks left to place. */
export async function runPlacement(
  state: JobsState,
  { id, work }: { id: string; work: () => Promise<void> },
): Promise<void> {
  state.placing.add(id);
  try {
    await work();
  } finally {
    state.placing.delete(id);
    const job = state.rows.get(id);
    if (job) updateWaitingWork(state, job);
  }
}

/** Counts the places to hold at once: one with spread, as each place depends on those before it. */
function countPlacesToHold(job: Job): number {
  return job.spread === 'none' ? waitingTasks(job).length : 1;
}

/** Returns one unused task id, for a replica beyond the wanted number. */
export function findSpareTask(job: Job): string[] {
  const used = new Set(activeAttempts(job).map(({ task }) => task));
  const ids = Array.from({ length: job.tasks + used.size + 1 }, (_, i) => taskId(job.id, i));
  return ids.filter((task) => !used.has(task)).slice(0, 1);
}

/** Places tasks on the workers of one peer. */
export async function placeAtPeer(state: JobsState, { job, need }: { job: Job; need: Need }) {
  const { peerChoice, settings, clock, random } = state;
  const member = peerChoice.choose(job.team);
  const hold = makeHoldId(state);
  const response: Either<Failure, HoldAnswer> | undefined =
    member &&
    (await findWorkerOwner(state, member.id)?.hold({
      ...{ hold, job: job.id, need, count: countPlacesToHold(job) },
      settings: settings.current().version,
    }));
  const places = response?.toMaybe().extract()?.places ?? [];
  if (!member || places.length === 0) {
    if (member) peerChoice.recordRefusal(member.id, job.team);
    const reason = response?.swap().toMaybe().extract()?.message ?? 'no peer has room';
    recordReason(state, job.id, `waits: ${reason}`);
    state.remoteRetryAt.set(job.id, clock.now() + peerRetryMs * (0.5 + random()));
    return;
  }
  await launchTasks(state, { job, held: [{ member: member.id, hold, places }] });
}

/** Holds places for the whole gang or none, asking the members in order of their ids. */
async function holdGang(
  state: JobsState,
  { job, domain }: { job: Job; domain: Partial<Need> },
): Promise<HeldPlaces[] | undefined> {
  const { membership, settings, clock } = state;
  const need = { ...needOf(job, { wall: clock.wallTime(), fleet: settings.current() }), ...domain };
  const members = membership
    .view()
    .members.map(({ id }) => id)
    .sort();
  const held: HeldPlaces[] = [];
  let missing = job.tasks;
  for (const member of members) {
    if (missing === 0) break;
    const hold = makeHoldId(state);
    const request = {
      hold,
      job: job.id,
      need,
      count: missing,
      settings: settings.current().version,
    };
    const response: Awaited<Outcome<HoldAnswer>> | undefined = await findWorkerOwner(
      state,
      member,
    )?.hold(request);
    const failed = response?.swap().toMaybe().extract();
    const shortage = failed?.kind === ErrorKind.NoRoom || failed?.kind === ErrorKind.TeamLimit;
    const places = response?.toMaybe().extract()?.places ?? [];
    if (places.length > 0) held.push({ member, hold, places });
    missing -= places.length;
    if (failed && !shortage) break;
  }
  if (missing === 0) return held;
  await releaseHolds(state, held);
  return undefined;
}

/** Lists the domains, in random rotation, any one of which may hold the whole gang. */
function listGangDomains(state: JobsState, job: Job): Partial<Need>[] {
  const { across } = job;
  const fleet = state.settings.current();
  const allowed = allowedDataCentres(job, fleet);
  const upstreams = Object.values(fleet.upstreams).filter(
    ({ dataCentre }) => allowed?.includes(dataCentre) ?? true,
  );
  if (across === 'fleet') return [{}];
  const field = across === 'rack' ? 'rack' : 'dataCentre';
  const names = [...new Set(upstreams.map((upstream) => upstream[field]))];
  const startIndex = Math.floor(state.random() * names.length);
  return names.map((_, i) => {
    const domains = [names[(startIndex + i) % names.length] ?? ''];
    return across === 'rack' ? { onlyRacks: domains } : { onlyDataCentres: domains };
  });
}

/** Places a gang in the first domain in which all its tasks fit. */
export async function placeGang(state: JobsState, job: Job): Promise<void> {
  for (const domain of listGangDomains(state, job)) {
    const held = await holdGang(state, { job, domain });
    if (held) {
      state.refusals.delete(job.id);
      await launchTasks(state, { job, held });
      return;
    }
  }
  const refusals = (state.refusals.get(job.id) ?? 0) + 1;
  state.refusals.set(job.id, refusals);
  state.remoteRetryAt.set(
    job.id,
    state.clock.now() + computeGangRetryDelayMs(refusals, state.random),
  );
  recordReason(state, job.id, `waits: no room for all ${job.tasks} tasks at once`);
}

/** Makes the need of a job's next task; with spread, it avoids the domains of the running tasks. */
export function makeNextNeed(state: JobsState, job: Job): Need {
  const need = needOf(job, { wall: state.clock.wallTime(), fleet: state.settings.current() });
  if (job.spread === 'none') return need;
  const replicas = listReplicas(state, job);
  // Asks for one replica more than there are, so that the plan has a step even if none is missing.
  const replicaCount = Math.max(job.tasks, replicas.length + 1);
  const [step] = planService({ replicas: replicaCount, spread: job.spread }, replicas);
  const { avoidRacks = [], avoidDataCentres = [] } = step ?? {};
  return { ...need, avoidRacks, avoidDataCentres };
}
