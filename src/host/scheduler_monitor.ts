/**
 * Pings the scheduler of the cell, so that one that is gone, silent or without the store is replaced
 * sooner than its heartbeat alone would tell.
 */
import type { Claim, Leadership, Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { PeerClient, Pong } from './peers.ts';

/** The watch. */
export interface SchedulerWatch {
  run(signal: AbortSignal): Promise<void>;
  /** The claim of the scheduler if that is another process. */
  otherScheduler(): Claim | undefined;
  /** Whether it answered the last ping. */
  isAnswering(): boolean;
}

/** What the watch uses and whom it tells. */
export interface SchedulerWatchOptions {
  clock: Clock;
  peers: PeerClient;
  leadership: Leadership;
  /** Whether the store serves this process now. */
  isStoreServing(): Promise<boolean>;
  self: Pick<Member, 'instance'>;
}

/** Pings begin this long after each other; one that takes longer is followed by the next at once. */
const pingEveryMs = 250;
const pingTimeoutMs = 350;
/** The ping that follows the first one without an answer only confirms the silence. */
const confirmTimeoutMs = 250;
/** A scheduler without an answer, or without the store, for so long is reported as silent. */
const troubleMs = 650;
/** One whose writes the store has rejected for so long is reported when the store serves others ... */
const rejectedMs = 200;
/** ... and still rejects it after this time, since after an outage some are served before others. */
const confirmMs = 120;

/**
 * Makes the watch.
 *
 * @example
 * const watch = makeSchedulerWatch({ clock, peers, leadership, self });
 * await watch.run(signal);
 */
export function makeSchedulerWatch(options: SchedulerWatchOptions): SchedulerWatch {
  const { clock, peers, leadership, isStoreServing, self } = options;
  let soundAt = { instance: '', atMs: 0 };
  let silentInstance: string | undefined;
  let missesInRow = 0;

  function otherScheduler(): Claim | undefined {
    const claim = leadership.claim();
    const isOther = claim && claim.instance !== '' && claim.instance !== self.instance;
    return isOther ? claim : undefined;
  }

  /** Asks the scheduler, a second time where only the store of this process may have come back. */
  async function ask({ address, instance }: Claim): Promise<Pong> {
    const isConfirming = silentInstance === instance && missesInRow === 1;
    const pong = await peers.ping(address, isConfirming ? confirmTimeoutMs : pingTimeoutMs);
    missesInRow = pong.instance === undefined ? missesInRow + 1 : 0;
    if (pong.storeRejectedMs < rejectedMs || !(await isStoreServing())) return pong;
    await clock.sleep(confirmMs);
    const confirmed = await peers.ping(address, pingTimeoutMs);
    if (confirmed.instance === instance && confirmed.storeRejectedMs >= rejectedMs) {
      leadership.reportRejectedByStore(instance);
    }
    return confirmed;
  }

  async function ping(claim: Claim): Promise<void> {
    const { instance, isRefused, storeFailingMs } = await ask(claim);
    silentInstance = instance === claim.instance ? undefined : claim.instance;
    const isGone = isRefused || (instance !== undefined && instance !== claim.instance);
    if (isGone) leadership.reportConnectionRefused(claim.instance);
    if (soundAt.instance !== claim.instance) {
      soundAt = { instance: claim.instance, atMs: clock.now() };
    }
    // A scheduler that answers was sound until the store began to fail it.
    if (instance !== undefined) soundAt.atMs = clock.now() - storeFailingMs;
    if (clock.now() - soundAt.atMs > troubleMs) leadership.reportUnresponsive(claim.instance);
  }

  return {
    otherScheduler,
    isAnswering: () => otherScheduler()?.instance !== silentInstance,
    async run(signal) {
      let startedAtMs = clock.now();
      while (!signal.aborted) {
        const pauseMs = startedAtMs + pingEveryMs - clock.now();
        if (pauseMs > 0) await clock.sleep(pauseMs, signal);
        startedAtMs = clock.now();
        const claim = otherScheduler();
        if (claim) await ping(claim);
      }
    },
  };
}
