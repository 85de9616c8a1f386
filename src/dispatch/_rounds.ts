/**
 * Rounds over the waiting work. While the oldest work finds no room, one worker is kept free for it,
 * also from lookups, so that heavy work does not wait behind light work for ever.
 */
import { Trial, planReservation } from '../decisions/mod.ts';
import type { WaitingItem } from '../decisions/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Job, Need } from '../schema/mod.ts';
import { note } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { launch, newHold, placeAtPeer, placeGang, placed, spreadNeed } from './_placing.ts';
import { apartNeed, holdSpread } from './_spreading.ts';

const defaultEstimateMs = 60_000;
const spreadRetryMs = 250;

/** Starts the asynchronous part of a placement; the job keeps its turn until that has ended. */
function begin(state: JobsState, id: string, work: () => Promise<void>): void {
  placed(state, { id, work }).catch((error: unknown) =>
    state.log.error('A placement failed.', { job: id, error: String(error) }),
  );
}

/** Keeps the worker free that is expected to have room for the item first. */
function keepFree(state: JobsState, { id, need, gang, enqueuedAt }: WaitingItem): void {
  const { pool, clock, settings } = state;
  const { starvationBoundMs } = settings.current().policy;
  // A worker is only taken from lookups for work that is about to miss the bound.
  if (gang || clock.now() - enqueuedAt < starvationBoundMs / 2) return;
  const workers = pool.workers().map(({ tasks, ...worker }) => ({
    ...worker,
    tasks: tasks.map(({ task, size, startedAt, kind, estimateMs = defaultEstimateMs }) => ({
      ...{ task, size, startedAt, expectedEndAt: startedAt + estimateMs },
      ...{ checkpoint: false, service: kind === 'service' },
    })),
  }));
  const { upstreams } = settings.current();
  const allowed = workers.filter(
    (worker) => need.onlyDataCentres?.includes(upstreams[worker.id]?.dataCentre ?? '') ?? true,
  );
  const plan = planReservation({ size: need.size, workers: allowed, now: clock.now() });
  if (!plan) return;
  pool.keepFree(plan.worker);
  Object.assign(state, { kept: { id } });
  note(state, id, `worker ${plan.worker} is kept free: ${plan.reason}`);
}

function release(state: JobsState): void {
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

function tryHere(state: JobsState, { item, job }: { item: WaitingItem; job: Job }): Trial {
  const need = spreadNeed(state, job);
  const hold = newHold(state);
  const settings = state.settings.current().version;
  const spread = job.spread !== 'none';
  // With spread, a place apart is taken first, wherever it is, and each depends on those before it.
  const own = state.holds.hold({
    ...{ hold, job: job.id, settings, count: spread ? 1 : item.count },
    need: apartNeed(state, need) ?? need,
  });
  const places = own.toMaybe().extract()?.places;
  if (places) {
    const member = state.membership.id();
    begin(state, item.id, () => launch(state, { job, held: [{ member, hold, places }] }));
    return Trial.Placed;
  }
  const failed = own.swap().unsafeCoerce();
  const teamHeld = failed.kind === ErrorKind.TeamLimit;
  if (teamHeld) state.limits.want(job.team, item.count).catch(() => undefined);
  const due = (state.remoteAfter.get(item.id) ?? 0) <= state.clock.now();
  if (due && spread) {
    begin(state, item.id, () => placeSpread(state, { job, need }));
    return Trial.NoRoom;
  }
  if (due && state.peerChoice.choose(job.team)) {
    begin(state, item.id, () => placeAtPeer(state, { job, need }));
    return Trial.NoRoom;
  }
  note(state, job.id, `waits: ${failed.message}`);
  return teamHeld ? Trial.TeamHeld : Trial.NoRoom;
}

/** One try of a waiting job. */
function tryItem(state: JobsState, item: WaitingItem): Trial {
  const job = state.rows.get(item.id);
  if (!job) return Trial.Placed;
  if (state.placing.has(item.id)) return Trial.NoRoom;
  if (!item.gang) return tryHere(state, { item, job });
  if ((state.remoteAfter.get(item.id) ?? 0) <= state.clock.now()) {
    begin(state, item.id, () => placeGang(state, job));
  }
  return Trial.NoRoom;
}

/** One round over the waiting work. */
export function round(state: JobsState): void {
  const { waiting, clock, usage, membership } = state;
  if (!membership.isFresh()) return;
  if (state.kept && !waiting.get(state.kept.id)) release(state);
  let first: { item: WaitingItem; trial: Trial } | undefined;
  waiting.round({
    now: clock.now(),
    usage,
    place(item, { backfill }) {
      const reserved = first;
      // The rest of a round is backfill beside the first item, which is the reserved one.
      if (backfill && reserved?.trial === Trial.NoRoom && !state.kept)
        keepFree(state, reserved.item);
      if (state.kept?.id === item.id) release(state);
      const trial = tryItem(state, item);
      if (!first && !backfill) first = { item, trial };
      return trial;
    },
  });
  // With nothing to backfill, lookups are still kept off.
  if (first?.trial === Trial.NoRoom && !state.kept) keepFree(state, first.item);
}
