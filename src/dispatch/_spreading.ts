/**
 * Spreading the tasks of a job over racks or data centres: a place apart from its other tasks is
 * looked for at every member before a shared one is taken.
 */
import { ErrorKind } from '../errors/mod.ts';
import type { Job, Need, Upstream } from '../schema/mod.ts';
import { isOver } from './_job_machine.ts';
import { activeAttempts, waitingTasks } from './_job_model.ts';
import { holderOf, note, replicasOf } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launch, newHold, spareTask, spreadNeed } from './_placing.ts';
import type { HeldPlaces } from './_placing.ts';

// A member may have room apart but lack units of the team; it borrows them meanwhile.
const maxUndecided = 3;
// A service that found no place apart is not asked for again at every check.
const respreadMs = 10_000;

/** Open workers outside the domains that the need avoids. */
function upstreamsApart(state: JobsState, need: Need): Upstream[] {
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

/** The need of a place apart; undefined when there is nothing to avoid or no domain is left. */
export function apartNeed(state: JobsState, need: Need): Need | undefined {
  const { spread = 'none', avoidRacks = [], avoidDataCentres = [] } = need;
  if (spread === 'none' || avoidRacks.length + avoidDataCentres.length === 0) return undefined;
  const open = upstreamsApart(state, need);
  if (open.length === 0) return undefined;
  return spread === 'data-centre'
    ? { ...need, onlyDataCentres: [...new Set(open.map(({ dataCentre }) => dataCentre))] }
    : { ...need, onlyRacks: [...new Set(open.map(({ rack }) => rack))] };
}

async function holdOne(
  state: JobsState,
  { job, need, member }: { job: Job; need: Need; member: string },
): Promise<HeldPlaces | { failed: ErrorKind | undefined }> {
  const hold = newHold(state);
  const settings = state.settings.current().version;
  const asked = { hold, job: job.id, need, count: 1, settings };
  const answer = await holderOf(state, member)?.hold(asked);
  const places = answer?.toMaybe().extract()?.places ?? [];
  if (places.length > 0) return { member, hold, places };
  return { failed: answer?.swap().toMaybe().extract()?.kind };
}

/**
 * Holds one place apart from the job's other tasks, with this process first and then with the owners
 * of such workers. `decided` is false when a member may have such a place soon.
 */
export async function holdApart(
  state: JobsState,
  { job, need }: { job: Job; need: Need },
): Promise<{ held?: HeldPlaces; decided: boolean }> {
  const { ownership, membership } = state;
  const apart = apartNeed(state, need);
  if (!apart) return { decided: true };
  const own = membership.id();
  const owners = new Set(
    upstreamsApart(state, need).flatMap(({ id }) => ownership.ownerOfWorker(id) ?? []),
  );
  const members = [...owners].sort((left, right) => Number(right === own) - Number(left === own));
  let decided = true;
  for (const member of members) {
    const held = await holdOne(state, { job, need: apart, member });
    if ('places' in held) return { held, decided };
    if (held.failed !== ErrorKind.NoRoom) decided = false;
  }
  return { decided };
}

/** Holds one place, apart if a member has one; undefined when the job has to wait. */
export async function holdSpread(
  state: JobsState,
  { job, need }: { job: Job; need: Need },
): Promise<HeldPlaces | undefined> {
  const { refusals, membership, peerChoice } = state;
  const { held, decided } = await holdApart(state, { job, need });
  const undecided = refusals.get(job.id) ?? 0;
  if (!held && !decided && undecided < maxUndecided) {
    refusals.set(job.id, undecided + 1);
    return undefined;
  }
  refusals.delete(job.id);
  if (held) return held;
  const members = [membership.id(), peerChoice.choose(job.team)?.id];
  for (const member of members) {
    const shared = member === undefined ? undefined : await holdOne(state, { job, need, member });
    if (shared && 'places' in shared) return shared;
  }
  return undefined;
}

/** True for a service whose replicas run and all share one domain, while another one is open. */
function isCrowded(state: JobsState, job: Job): boolean {
  if (job.kind !== 'service' || job.spread === 'none' || job.tasks < 2 || isOver(job)) return false;
  if (state.placing.has(job.id) || waitingTasks(job).length > 0) return false;
  const replicas = replicasOf(state, job);
  const settled = replicas.every((replica) => replica.state === 'running' && !replica.leaving);
  if (!settled || activeAttempts(job).length !== job.tasks) return false;
  const field = job.spread === 'rack' ? 'rack' : 'dataCentre';
  if (new Set(replicas.map((replica) => replica[field])).size > 1) return false;
  return apartNeed(state, spreadNeed(state, job)) !== undefined;
}

/** One service to be spread again: the next one whose last try is long enough ago. */
export function nextCrowded(state: JobsState): Job | undefined {
  const { respreadAfter, clock, rows } = state;
  respreadAfter.forEach((at, id) => {
    if (at <= clock.now()) respreadAfter.delete(id);
  });
  const job = rows.all().find((one) => !respreadAfter.has(one.id) && isCrowded(state, one));
  if (job) respreadAfter.set(job.id, clock.now() + respreadMs);
  return job;
}

/** Starts one more replica in another domain; one of the crowded ones is stopped once it runs. */
export async function respread(state: JobsState, job: Job): Promise<void> {
  const { held } = await holdApart(state, { job, need: spreadNeed(state, job) });
  if (!held) return;
  note(state, job.id, `a replica moves: all share one ${job.spread}`);
  await launch(state, { job, held: [held], tasks: spareTask(job) });
}
