/**
 * Hands the scheduler's role over, in a planned way, to a host with considerably more processors. The
 * first process to claim may run on a small host, and a small host takes the role when all larger
 * ones are down.
 */
import type { Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { PeerClient } from './peer_client.ts';

/** Dependencies of the hand-overs. */
export interface HandOverOptions {
  clock: Clock;
  log: Logger;
  peers: Pick<PeerClient, 'ping'>;
  /** Whether this process is the scheduler and has served for a while. */
  isTermCalm(): boolean;
  /** The member that should be the scheduler instead of this process; undefined if there is none. */
  betterMember(): Member | undefined;
  resign(): Promise<void>;
}

const checkIntervalMs = 1_000;
const pingTimeoutMs = 350;

async function handOver(options: HandOverOptions): Promise<void> {
  const { log, peers, isTermCalm, betterMember, resign } = options;
  const better = isTermCalm() ? betterMember() : undefined;
  if (!better) return;
  const { instance } = await peers.ping(better.address, pingTimeoutMs);
  if (instance !== better.instance || !isTermCalm()) return;
  log.info('the scheduler hands over to a larger host', {
    event: 'scheduler-handed-over',
    to: better.name,
  });
  await resign();
}

/**
 * Makes a loop that hands the role over whenever a larger host responds.
 *
 * @example
 * await makeHandOvers({ clock, log, peers, isTermCalm, betterMember, resign })(signal);
 */
export function makeHandOvers(options: HandOverOptions): (signal: AbortSignal) => Promise<void> {
  return async (signal) => {
    while (!signal.aborted) {
      await options.clock.sleep(checkIntervalMs, signal);
      await handOver(options);
    }
  };
}
