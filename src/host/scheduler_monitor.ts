/**
 * Pings the scheduler of the cell, so that one that has exited, is unresponsive or has lost the store is
 * replaced sooner than by the timeout of its heartbeat.
 *
 * Pings overlap, and a late response counts like any other: a scheduler that responds late is slow, and
 * only one that has not responded at all for a while is unresponsive.
 */
import type { Claim, Leadership, Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { logFailure } from '../logs/mod.ts';
import type { PeerClient, PingResult } from './peer_client.ts';

/** Monitors the scheduler. */
export interface SchedulerMonitor {
  run(signal: AbortSignal): Promise<void>;
  /** The claim of the scheduler; undefined if this process is the scheduler or there is none. */
  remoteClaim(): Claim | undefined;
  /**
   * Whether the scheduler has responded to a ping of its term, and to a recent one if any was needed.
   * Until then requests would only wait in its queue of connections.
   */
  isResponsive(): boolean;
}

/** Dependencies of the monitor. */
export interface SchedulerMonitorOptions {
  clock: Clock;
  log: Logger;
  peers: Pick<PeerClient, 'ping'>;
  leadership: Pick<
    Leadership,
    | 'claim'
    | 'heartbeat'
    | 'reportConnectionRefused'
    | 'reportUnresponsive'
    | 'reportRejectedByStore'
  >;
  /** Whether the store serves this process at present. */
  isStoreServing(): Promise<boolean>;
  /** Whether this process watches the scheduler closely, as one that would replace it. */
  isCandidate(): boolean;
  /** Age of the oldest request in flight to the scheduler; 0 if there is none. */
  oldestRequestMs(): number;
  self: Pick<Member, 'instance'>;
}

/** What the pings to one scheduler have shown. */
interface Observation {
  /** The claim of the scheduler; a process may claim again under the same instance. */
  instance: string;
  epoch: number;
  /** Whether it has responded at all; a new scheduler first has to load and to accept connections. */
  hasResponded: boolean;
  /** Time since its last response, as far as this process was running itself. */
  silentMs: number;
  /** Time since the store began to fail it; 0 while the store serves it. */
  storeFailingMs: number;
  pingsInFlight: number;
  isConfirmingRejection: boolean;
  sincePingMs: number;
}

const checkIntervalMs = 125;
const candidatePingIntervalMs = 250;
const otherPingIntervalMs = 500;
const pingTimeoutMs = 1_000;
const maxPingsInFlight = 4;
/** Other processes add few connections to those that a busy scheduler has to accept. */
const maxOtherPingsInFlight = 1;
/** Bounds the time that a check adds: a process that has been paused did not wait for responses. */
const maxCheckedMs = 2 * checkIntervalMs;
/** A scheduler that has not responded for this long gets no requests. */
const silentAfterMs = 600;
/** A scheduler that has not responded for this long, which is two missed pings, is unresponsive. */
const unresponsiveAfterMs = 750;
/** A scheduler that has not reached the store for this long counts as unresponsive. */
const storeFailingAfterMs = 650;
/** A process that is not a candidate pings when a request has waited for this long ... */
const slowRequestMs = 300;
/** ... or when no heartbeat has been seen for this long. */
const lateHeartbeatMs = 1_000;
/** A scheduler is reported if the store, while it serves others, has rejected it for this long ... */
const rejectedAfterMs = 200;
/** ... and still does after this delay, since a store that recovers serves some processes first. */
const rejectionConfirmDelayMs = 120;

function makeObservation({ instance, epoch }: Pick<Claim, 'instance' | 'epoch'>): Observation {
  return {
    instance,
    epoch,
    hasResponded: false,
    silentMs: 0,
    storeFailingMs: 0,
    pingsInFlight: 0,
    isConfirmingRejection: false,
    sincePingMs: Infinity,
  };
}

/**
 * Makes a monitor of the scheduler.
 *
 * @example
 * const monitor = makeSchedulerMonitor({ clock, log, peers, leadership, isStoreServing, self, ... });
 * await monitor.run(signal);
 */
export function makeSchedulerMonitor(options: SchedulerMonitorOptions): SchedulerMonitor {
  const { clock, log, peers, leadership, isStoreServing, isCandidate, oldestRequestMs, self } =
    options;
  let observation = makeObservation({ instance: '', epoch: 0 });

  function remoteClaim(): Claim | undefined {
    const claim = leadership.claim();
    const isOther = claim && claim.instance !== '' && claim.instance !== self.instance;
    return isOther ? claim : undefined;
  }

  function isObserved(claim: Claim | undefined): boolean {
    return observation.instance === claim?.instance && observation.epoch === claim.epoch;
  }

  function needsPings(): boolean {
    const heartbeat = leadership.heartbeat();
    const isLate = !heartbeat || clock.now() - heartbeat.seenAtMs > lateHeartbeatMs;
    const isWaiting = isLate || oldestRequestMs() > slowRequestMs;
    return isCandidate() || isWaiting || !observation.hasResponded;
  }

  /** Pings again before it reports, since the store may just have recovered for this process first. */
  async function confirmRejection({ address, instance }: Claim): Promise<void> {
    if (!(await isStoreServing())) return;
    await clock.sleep(rejectionConfirmDelayMs);
    const confirmed = await peers.ping(address, pingTimeoutMs);
    if (confirmed.instance === instance && confirmed.storeRejectedMs >= rejectedAfterMs) {
      leadership.reportRejectedByStore(instance);
    }
  }

  async function recordResponse(claim: Claim, observed: Observation, result: PingResult) {
    const { storeFailingMs } = result;
    Object.assign(observed, { hasResponded: true, silentMs: 0, storeFailingMs });
    if (result.storeRejectedMs < rejectedAfterMs || observed.isConfirmingRejection) return;
    Object.assign(observed, { isConfirmingRejection: true });
    await confirmRejection(claim);
    Object.assign(observed, { isConfirmingRejection: false });
  }

  async function ping(claim: Claim, observed: Observation): Promise<void> {
    Object.assign(observed, { sincePingMs: 0, pingsInFlight: observed.pingsInFlight + 1 });
    const result = await peers.ping(claim.address, pingTimeoutMs);
    Object.assign(observed, { pingsInFlight: observed.pingsInFlight - 1 });
    const isOther = result.instance !== undefined && result.instance !== claim.instance;
    if (result.isConnectionRefused || isOther) leadership.reportConnectionRefused(claim.instance);
    // A process whose term has ended does not schedule, whatever it responds.
    const isScheduling = result.instance === claim.instance && !(result.epoch < claim.epoch);
    if (isScheduling) await recordResponse(claim, observed, result);
  }

  function addElapsedTime(elapsedMs: number): void {
    const { silentMs, storeFailingMs, sincePingMs } = observation;
    Object.assign(observation, {
      silentMs: silentMs + elapsedMs,
      storeFailingMs: storeFailingMs > 0 ? storeFailingMs + elapsedMs : 0,
      sincePingMs: sincePingMs + elapsedMs,
    });
  }

  function check(claim: Claim, elapsedMs: number): void {
    if (!isObserved(claim)) observation = makeObservation(claim);
    if (!needsPings()) {
      observation = { ...makeObservation(claim), hasResponded: true };
      return;
    }
    addElapsedTime(elapsedMs);
    const { silentMs, storeFailingMs, sincePingMs, pingsInFlight } = observation;
    if (silentMs > unresponsiveAfterMs || storeFailingMs > storeFailingAfterMs) {
      leadership.reportUnresponsive(claim.instance);
    }
    const [pingIntervalMs, maxInFlight] = isCandidate()
      ? [candidatePingIntervalMs, maxPingsInFlight]
      : [otherPingIntervalMs, maxOtherPingsInFlight];
    if (sincePingMs < pingIntervalMs || pingsInFlight >= maxInFlight) return;
    ping(claim, observation).catch(logFailure(log, 'a ping of the scheduler'));
  }

  return {
    remoteClaim,
    isResponsive: () =>
      isObserved(remoteClaim()) && observation.hasResponded && observation.silentMs < silentAfterMs,
    async run(signal) {
      let checkedAtMs = clock.now();
      while (!signal.aborted) {
        await clock.sleep(checkIntervalMs, signal);
        const nowMs = clock.now();
        const claim = remoteClaim();
        if (claim) check(claim, Math.min(nowMs - checkedAtMs, maxCheckedMs));
        checkedAtMs = nowMs;
      }
    },
  };
}
