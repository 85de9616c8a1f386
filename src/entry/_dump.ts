/**
 * The state dump of a process, for operators.
 */
import type { Clock } from '../clock/mod.ts';
import type { PeerChoice } from '../dispatch/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Core } from './core.ts';

function dumpLimits({ settings, limits }: Core): Record<string, unknown> {
  return Object.fromEntries(
    Object.keys(settings.current().teams).map((team) => [
      team,
      { held: limits.held(team), used: limits.used(team), free: limits.free(team) },
    ]),
  );
}

/** Collects the state of all components. */
export function dumpCore(
  core: Core,
  {
    clock,
    invariants,
    peerChoice,
  }: { clock: Clock; invariants: InvariantChecker; peerChoice: PeerChoice },
): Record<string, unknown> {
  const { membership, settings, ownership, pool, lookups, requests, jobs } = core;
  return {
    member: { id: membership.id(), phase: membership.phase(), view: membership.view() },
    fresh: { now: clock.now(), until: membership.freshUntil() },
    settings: { version: settings.current().version },
    ownership: {
      workers: ownership.workers().map(({ upstream, epoch }) => ({ id: upstream.id, epoch })),
      partitions: ownership.partitions(),
    },
    limits: dumpLimits(core),
    pool: pool.dump(),
    lookups: lookups.dump(),
    requests: requests.dump(),
    jobs: jobs.dump(),
    peers: peerChoice.dump(),
    invariants: invariants.counts(),
  };
}
