/**
 * Pings the scheduler of the cell, so that one that has exited, is unresponsive or has lost the store is
 * replaced sooner than by the timeout of its heartbeat.
 */
import type { Claim, Leadership, Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { PeerClient, PingResult } from './peers.ts';

/** Monitors the scheduler. */
export interface SchedulerMonitor {
  run(signal: AbortSignal): Promise<void>;
  /** The claim of the scheduler; undefined if this process is the scheduler or there is none. */
  remoteClaim(): Claim | undefined;
  /** Whether the scheduler responded to the last ping. */
  isResponsive(): boolean;
}

/** Dependencies of the monitor. */
export interface SchedulerMonitorOptions {
  clock: Clock;
  peers: PeerClient;
  leadership: Leadership;
  /** Whether the store serves this process at present. */
  isStoreServing(): Promise<boolean>;
  self: Pick<Member, 'instance'>;
}

/** Interval between the starts of pings; a ping that takes longer is followed by the next at once. */
const pingIntervalMs = 250;
const pingTimeoutMs = 350;
/** Timeout of the ping after the first missed one, which only confirms the miss. */
const confirmPingTimeoutMs = 250;
/** A scheduler that has not responded, or not reached the store, for this long is unresponsive. */
const unresponsiveAfterMs = 650;
/** A scheduler is reported if the store, while it serves others, has rejected it for this long ... */
const rejectedAfterMs = 200;
/** ... and still does after this delay, since a store that recovers serves some processes first. */
const rejectionConfirmDelayMs = 120;

/**
 * Makes a monitor of the scheduler.
 *
 * @example
 * const monitor = makeSchedulerMonitor({ clock, peers, leadership, isStoreServing, self });
 * await monitor.run(signal);
 */
export function makeSchedulerMonitor(options: SchedulerMonitorOptions): SchedulerMonitor {
  const { clock, peers, leadership, isStoreServing, self } = options;
  let lastHealthy = { instance: '', atMs: 0 };
  let unresponsiveInstance: string | undefined;
  let consecutiveMisses = 0;

  function remoteClaim(): Claim | undefined {
    const claim = leadership.claim();
    const isOther = claim && claim.instance !== '' && claim.instance !== self.instance;
    return isOther ? claim : undefined;
  }

  /** Pings the scheduler; a second time if the store may just have recovered for this process first. */
  async function pingAndConfirm({ address, instance }: Claim): Promise<PingResult> {
    const isConfirming = unresponsiveInstance === instance && consecutiveMisses === 1;
    const result = await peers.ping(address, isConfirming ? confirmPingTimeoutMs : pingTimeoutMs);
    consecutiveMisses = result.instance === undefined ? consecutiveMisses + 1 : 0;
    if (result.storeRejectedMs < rejectedAfterMs || !(await isStoreServing())) return result;
    await clock.sleep(rejectionConfirmDelayMs);
    const confirmed = await peers.ping(address, pingTimeoutMs);
    if (confirmed.instance === instance && confirmed.storeRejectedMs >= rejectedAfterMs) {
      leadership.reportRejectedByStore(instance);
    }
    return confirmed;
  }

  async function checkScheduler(claim: Claim): Promise<void> {
    const { instance, isConnectionRefused, storeFailingMs } = await pingAndConfirm(claim);
    unresponsiveInstance = instance === claim.instance ? undefined : claim.instance;
    const hasExited =
      isConnectionRefused || (instance !== undefined && instance !== claim.instance);
    if (hasExited) leadership.reportConnectionRefused(claim.instance);
    if (lastHealthy.instance !== claim.instance) {
      lastHealthy = { instance: claim.instance, atMs: clock.now() };
    }
    // A scheduler that responds was healthy until its calls to the store began to fail.
    if (instance !== undefined) lastHealthy.atMs = clock.now() - storeFailingMs;
    if (clock.now() - lastHealthy.atMs > unresponsiveAfterMs)
      leadership.reportUnresponsive(claim.instance);
  }

  return {
    remoteClaim,
    isResponsive: () => remoteClaim()?.instance !== unresponsiveInstance,
    async run(signal) {
      let startedAtMs = clock.now();
      while (!signal.aborted) {
        const pauseMs = startedAtMs + pingIntervalMs - clock.now();
        if (pauseMs > 0) await clock.sleep(pauseMs, signal);
        startedAtMs = clock.now();
        const claim = remoteClaim();
        if (claim) await checkScheduler(claim);
      }
    },
  };
}
