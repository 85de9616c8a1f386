/**
 * Spreads the tasks of a job over racks or data centres: every member is asked for a place in a
 * domain without other tasks of the job before a shared domain is used.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Job, Need, Upstream } from '../schema/mod.ts';
import { isEnded } from './_job_machine.ts';
import { activeAttempts, waitingTasks } from './_job_model.ts';
import { findWorkerOwner, recordReason, listReplicas } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launchTasks, makeHoldId, findSpareTask, makeNextNeed } from './_placing.ts';
import type { HeldPlaces } from './_placing.ts';

// A member may have capacity in another domain but lack units of the team's limit; it borrows units
// between these tries.
const maxInconclusiveTries = 3;
// Limits how often the members are asked again for a service that found no other domain.
const respreadIntervalMs = 10_000;

/** Lists the workers that accept work outside the domains that the need avoids. */
function listUpstreamsInOtherDomains(state: JobsState, need: Need): Upstream[] {
  const { upstreams, dataCentres } = state.settings.current();
  const { spread, avoidRacks = [], avoidDataCentres = [], onlyDataCentres } = need;
  return Object.values(upstreams).filter(({ rack, dataCentre, leaving }) => {
    if (leaving || !dataCentres[dataCentre]?.inService) return false;
    if (onlyDataCentres && !onlyDataCentres.includes(dataCentre)) return false;
    return spread === 'data-centre'
      ? !avoidDataCentres.includes(dataCentre)
      : !avoidRacks.includes(rack);
  });
}

/** Restricts a need to the other domains; undefined with none to avoid or none left. */
export function restrictToOtherDomains(state: JobsState, need: Need): Need | undefined {
  const { spread = 'none', avoidRacks = [], avoidDataCentres = [] } = need;
  if (spread === 'none' || avoidRacks.length + avoidDataCentres.length === 0) return undefined;
  const candidates = listUpstreamsInOtherDomains(state, need);
  if (candidates.length === 0) return undefined;
  return spread === 'data-centre'
    ? { ...need, onlyDataCentres: [...new Set(candidates.map(({ dataCentre }) => dataCentre))] }
    : { ...need, onlyRacks: [...new Set(candidates.map(({ rack }) => rack))] };
}

async function holdPlace(
  state: JobsState,
  { job, need, member }: { job: Job; need: Need; member: string },
): Promise<HeldPlaces | { failed: ErrorKind | undefined }> {
  const hold = makeHoldId(state);
  const settings = state.settings.current().version;
  const request = { hold, job: job.id, need, count: 1, settings };
  const response = await findWorkerOwner(state, member)?.hold(request);
  const places = response?.toMaybe().extract()?.places ?? [];
  if (places.length > 0) return { member, hold, places };
  return { failed: response?.swap().toMaybe().extract()?.kind };
}

/**
 * Holds one place in another domain than the job's other tasks, asking the owners of such workers,
 * this process first. `isConclusive` is false when a member may have such a place soon.
 */
export async function holdInOtherDomain(
  state: JobsState,
  { job, need }: { job: Job; need: Need },
): Promise<{ held?: HeldPlaces; isConclusive: boolean }> {
  const { ownership, membership } = state;
  const restricted = restrictToOtherDomains(state, need);
  if (!restricted) return { isConclusive: true };
  const ownId = membership.id();
  const owners = new Set(
    listUpstreamsInOtherDomains(state, need).flatMap(({ id }) => ownership.ownerOfWorker(id) ?? []),
  );
  const members = [...owners].sort(
    (left, right) => Number(right === ownId) - Number(left === ownId),
  );
  let isConclusive = true;
  for (const member of members) {
    const held = await holdPlace(state, { job, need: restricted, member });
    if ('places' in held) return { held, isConclusive };
    if (held.failed !== ErrorKind.NoRoom) isConclusive = false;
  }
  return { isConclusive };
}

/** Holds one place, in another domain if possible; undefined when the job has to wait. */
export async function holdSpreadPlace(
  state: JobsState,
  { job, need }: { job: Job; need: Need },
): Promise<HeldPlaces | undefined> {
  const { refusals, membership, peerChoice } = state;
  const { held, isConclusive } = await holdInOtherDomain(state, { job, need });
  const inconclusiveTries = refusals.get(job.id) ?? 0;
  if (!held && !isConclusive && inconclusiveTries < maxInconclusiveTries) {
    refusals.set(job.id, inconclusiveTries + 1);
    return undefined;
  }
  refusals.delete(job.id);
  if (held) return held;
  const members = [membership.id(), peerChoice.choose(job.team)?.id];
  for (const member of members) {
    const shared = member === undefined ? undefined : await holdPlace(state, { job, need, member });
    if (shared && 'places' in shared) return shared;
  }
  return undefined;
}

/** True for a service whose replicas all run in one domain while another domain is available. */
function isInOneDomain(state: JobsState, job: Job): boolean {
  if (job.kind !== 'service' || job.spread === 'none' || job.tasks < 2 || isEnded(job))
    return false;
  if (state.placing.has(job.id) || waitingTasks(job).length > 0) return false;
  const replicas = listReplicas(state, job);
  const isSettled = replicas.every((replica) => replica.state === 'running' && !replica.leaving);
  if (!isSettled || activeAttempts(job).length !== job.tasks) return false;
  const field = job.spread === 'rack' ? 'rack' : 'dataCentre';
  if (new Set(replicas.map((replica) => replica[field])).size > 1) return false;
  return restrictToOtherDomains(state, makeNextNeed(state, job)) !== undefined;
}

/** Returns the next service to spread again whose last try is at least `respreadIntervalMs` ago. */
export function nextServiceToSpread(state: JobsState): Job | undefined {
  const { respreadAfter, clock, rows } = state;
  respreadAfter.forEach((at, id) => {
    if (at <= clock.now()) respreadAfter.delete(id);
  });
  const job = rows.all().find((each) => !respreadAfter.has(each.id) && isInOneDomain(state, each));
  if (job) respreadAfter.set(job.id, clock.now() + respreadIntervalMs);
  return job;
}

/** Starts an extra replica in another domain; once it runs, one in the shared domain is stopped. */
export async function startSpreadReplica(state: JobsState, job: Job): Promise<void> {
  const { held } = await holdInOtherDomain(state, { job, need: makeNextNeed(state, job) });
  if (!held) return;
  recordReason(state, job.id, `a replica moves: all share one ${job.spread}`);
  await launchTasks(state, { job, held: [held], tasks: findSpareTask(job) });
}
