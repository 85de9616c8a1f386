/**
 * Placement rounds over the waiting work. While the oldest work does not fit, one worker is kept
 * free for it, also from lookups; otherwise small work could starve large work.
 */
import { Trial, planReservation } from '../decisions/mod.ts';
import type { WaitingItem } from '../decisions/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Job, Need } from '../schema/mod.ts';
import { note } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launch, makeHoldId, placeAtPeer, placeGang, placed, spreadNeed } from './_placing.ts';
import { restrictToOtherDomains, holdSpread } from './_spreading.ts';

const defaultEstimateMs = 60_000;
const spreadRetryMs = 250;

/** Starts the asynchronous part of a placement; the job keeps its turn until it has ended. */
function startPlacement(state: JobsState, id: string, work: () => Promise<void>): void {
  placed(state, { id, work }).catch((error: unknown) =>
    state.log.error('A placement failed.', { job: id, error: String(error) }),
  );
}

/** Reserves the worker that is expected to have capacity for the item first. */
function reserveWorker(state: JobsState, { id, need, gang, enqueuedAt }: WaitingItem): void {
  const { pool, clock, settings } = state;
  const { starvationBoundMs } = settings.current().policy;
  // A worker is withheld from lookups only for work that has waited half of the starvation
  // bound and may miss it.
  if (gang || clock.now() - enqueuedAt < starvationBoundMs / 2) return;
  const workers = pool.workers().map(({ tasks, ...worker }) => ({
    ...worker,
    tasks: tasks.map(({ task, size, startedAt, kind, estimateMs = defaultEstimateMs }) => ({
      ...{ task, size, startedAt, expectedEndAt: startedAt + estimateMs },
      ...{ checkpoint: false, service: kind === 'service' },
    })),
  }));
  const { upstreams } = settings.current();
  const allowedWorkers = workers.filter(
    (worker) => need.onlyDataCentres?.includes(upstreams[worker.id]?.dataCentre ?? '') ?? true,
  );
  const plan = planReservation({ size: need.size, workers: allowedWorkers, now: clock.now() });
  if (!plan) return;
  pool.keepFree(plan.worker);
  Object.assign(state, { kept: { id } });
  note(state, id, `worker ${plan.worker} is kept free: ${plan.reason}`);
}

function releaseWorker(state: JobsState): void {
  state.pool.keepFree(undefined);
  Object.assign(state, { kept: undefined });
}

async function placeSpread(state: JobsState, { job, need }: { job: Job; need: Need }) {
  const held = await holdSpread(state, { job, need });
  if (held) return launch(state, { job, held: [held] });
  note(state, job.id, 'waits: no member has room');
  state.remoteAfter.set(job.id, state.clock.now() + spreadRetryMs * (0.5 + state.random()));
  return undefined;
}

function tryLocally(state: JobsState, { item, job }: { item: WaitingItem; job: Job }): Trial {
  const need = spreadNeed(state, job);
  const hold = makeHoldId(state);
  const settings = state.settings.current().version;
  const isSpread = job.spread !== 'none';
  // With spread, places in other domains come first at any member, one at a time, because each
  // depends on those before it.
  const response = state.holds.hold({
    ...{ hold, job: job.id, settings, count: isSpread ? 1 : item.count },
    need: restrictToOtherDomains(state, need) ?? need,
  });
  const places = response.toMaybe().extract()?.places;
  if (places) {
    const member = state.membership.id();
    startPlacement(state, item.id, () => launch(state, { job, held: [{ member, hold, places }] }));
    return Trial.Placed;
  }
  const failed = response.swap().unsafeCoerce();
  const isTeamLimited = failed.kind === ErrorKind.TeamLimit;
  if (isTeamLimited) state.limits.want(job.team, item.count).catch(() => undefined);
  const mayTryPeers = (state.remoteAfter.get(item.id) ?? 0) <= state.clock.now();
  if (mayTryPeers && isSpread) {
    startPlacement(state, item.id, () => placeSpread(state, { job, need }));
    return Trial.NoRoom;
  }
  if (mayTryPeers && state.peerChoice.choose(job.team)) {
    startPlacement(state, item.id, () => placeAtPeer(state, { job, need }));
    return Trial.NoRoom;
  }
  note(state, job.id, `waits: ${failed.message}`);
  return isTeamLimited ? Trial.TeamHeld : Trial.NoRoom;
}

/** Tries to place a waiting job. */
function tryPlacing(state: JobsState, item: WaitingItem): Trial {
  const job = state.rows.get(item.id);
  if (!job) return Trial.Placed;
  if (state.placing.has(item.id)) return Trial.NoRoom;
  if (!item.gang) return tryLocally(state, { item, job });
  if ((state.remoteAfter.get(item.id) ?? 0) <= state.clock.now()) {
    startPlacement(state, item.id, () => placeGang(state, job));
  }
  return Trial.NoRoom;
}

/** Runs one placement round over the waiting work. */
export function round(state: JobsState): void {
  const { waiting, clock, usage, membership } = state;
  if (!membership.isFresh()) return;
  if (state.kept && !waiting.get(state.kept.id)) releaseWorker(state);
  let firstTried: { item: WaitingItem; trial: Trial } | undefined;
  waiting.round({
    now: clock.now(),
    usage,
    place(item, { backfill }) {
      const reserved = firstTried;
      // Everything after the first item of a round is backfill; the reservation is for the first.
      if (backfill && reserved?.trial === Trial.NoRoom && !state.kept)
        reserveWorker(state, reserved.item);
      if (state.kept?.id === item.id) releaseWorker(state);
      const trial = tryPlacing(state, item);
      if (!firstTried && !backfill) firstTried = { item, trial };
      return trial;
    },
  });
  // The worker is reserved against lookups even when there is nothing to backfill.
  if (firstTried?.trial === Trial.NoRoom && !state.kept) reserveWorker(state, firstTried.item);
}
