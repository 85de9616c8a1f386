/**
 * Placement rounds over the waiting work. While the oldest work does not fit, one worker is kept
 * free for it, also from lookups; otherwise small work could starve large work.
 */
import { PlacementOutcome, planReservation } from '../decisions/mod.ts';
import type { PendingJob } from '../decisions/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Job, Need } from '../schema/mod.ts';
import { recordReason } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import {
  launchTasks,
  makeHoldId,
  placeAtPeer,
  placeGang,
  runPlacement,
  makeNextNeed,
} from './_placing.ts';
import { restrictToOtherDomains, holdSpreadPlace } from './_spreading.ts';

const defaultEstimateMs = 60_000;
const spreadRetryMs = 250;

/** Starts the asynchronous part of a placement; the job keeps its turn until it has ended. */
function startPlacement(state: JobsState, id: string, work: () => Promise<void>): void {
  runPlacement(state, { id, work }).catch((error: unknown) =>
    state.log.error('A placement failed.', { job: id, error: String(error) }),
  );
}

/** Reserves the worker that is expected to have capacity for the item first. */
function reserveWorker(state: JobsState, { id, need, gang, enqueuedAt }: PendingJob): void {
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
  pool.cordonWorker(plan.worker);
  Object.assign(state, { kept: { id } });
  recordReason(state, id, `worker ${plan.worker} is kept free: ${plan.reason}`);
}

function releaseWorker(state: JobsState): void {
  state.pool.cordonWorker(undefined);
  Object.assign(state, { kept: undefined });
}

async function placeSpread(state: JobsState, { job, need }: { job: Job; need: Need }) {
  const held = await holdSpreadPlace(state, { job, need });
  if (held) return launchTasks(state, { job, held: [held] });
  recordReason(state, job.id, 'waits: no member has room');
  state.remoteRetryAt.set(job.id, state.clock.now() + spreadRetryMs * (0.5 + state.random()));
  return undefined;
}

function tryLocally(
  state: JobsState,
  { item, job }: { item: PendingJob; job: Job },
): PlacementOutcome {
  const need = makeNextNeed(state, job);
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
    startPlacement(state, item.id, () =>
      launchTasks(state, { job, held: [{ member, hold, places }] }),
    );
    return PlacementOutcome.Placed;
  }
  const failed = response.swap().unsafeCoerce();
  const isTeamLimited = failed.kind === ErrorKind.TeamLimit;
  if (isTeamLimited) state.limits.requestUnits(job.team, item.count).catch(() => undefined);
  const mayTryPeers = (state.remoteRetryAt.get(item.id) ?? 0) <= state.clock.now();
  if (mayTryPeers && isSpread) {
    startPlacement(state, item.id, () => placeSpread(state, { job, need }));
    return PlacementOutcome.NoRoom;
  }
  if (mayTryPeers && state.peerChoice.choose(job.team)) {
    startPlacement(state, item.id, () => placeAtPeer(state, { job, need }));
    return PlacementOutcome.NoRoom;
  }
  recordReason(state, job.id, `waits: ${failed.message}`);
  return isTeamLimited ? PlacementOutcome.TeamAtLimit : PlacementOutcome.NoRoom;
}

/** Tries to place a waiting job. */
function tryPlacing(state: JobsState, item: PendingJob): PlacementOutcome {
  const job = state.rows.get(item.id);
  if (!job) return PlacementOutcome.Placed;
  if (state.placing.has(item.id)) return PlacementOutcome.NoRoom;
  if (!item.gang) return tryLocally(state, { item, job });
  if ((state.remoteRetryAt.get(item.id) ?? 0) <= state.clock.now()) {
    startPlacement(state, item.id, () => placeGang(state, job));
  }
  return PlacementOutcome.NoRoom;
}

/** Runs one placement round over the waiting work. */
export function runRound(state: JobsState): void {
  const { waiting, clock, usage, membership } = state;
  if (!membership.isFresh()) return;
  if (state.kept && !waiting.get(state.kept.id)) releaseWorker(state);
  let firstTried: { item: PendingJob; trial: PlacementOutcome } | undefined;
  waiting.runRound({
    now: clock.now(),
    usage,
    place(item, { backfill }) {
      const reserved = firstTried;
      // Everything after the first item of a round is backfill; the reservation is for the first.
      if (backfill && reserved?.trial === PlacementOutcome.NoRoom && !state.kept)
        reserveWorker(state, reserved.item);
      if (state.kept?.id === item.id) releaseWorker(state);
      const trial = tryPlacing(state, item);
      if (!firstTried && !backfill) firstTried = { item, trial };
      return trial;
    },
  });
  // The worker is reserved against lookups even when there is nothing to backfill.
  if (firstTried?.trial === PlacementOutcome.NoRoom && !state.kept)
    reserveWorker(state, firstTried.item);
}
