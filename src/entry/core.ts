/**
 * Connects the components of an entry process, without its HTTP servers and external clients. The
 * entry process passes in real clients; a test harness can pass in fakes.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock, Random } from '../clock/mod.ts';
import {
  makeLookupHeadroom,
  makePlacementIndex,
  makePendingJobs,
  makeWorkerHealth,
} from '../decisions/mod.ts';
import { makeDispatch, makeJobs, makeLookups, makePeerChoice } from '../dispatch/mod.ts';
import type { Dispatch, Jobs, Lookups, PeerChoice } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Hosts } from '../hosts/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import { makeLimits } from '../limits/mod.ts';
import type { LimitsTask } from '../limits/mod.ts';
import { Component } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { Phase, makeMembership } from '../membership/mod.ts';
import type { Identity, MembershipTask } from '../membership/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Objects } from '../objects/mod.ts';
import { makeOwnership } from '../ownership/mod.ts';
import type { OwnershipTask } from '../ownership/mod.ts';
import type { Peer, Peers } from '../peers/mod.ts';
import { makeRequests } from '../requests/mod.ts';
import type { Requests } from '../requests/mod.ts';
import { makePool } from '../pool/mod.ts';
import type { Pool } from '../pool/mod.ts';
import { makeSettings } from '../settings/mod.ts';
import type { SettingsHolder } from '../settings/mod.ts';
import { makeWriter } from '../table/mod.ts';
import type { Table, MembershipWriter } from '../table/mod.ts';
import type { Workers } from '../workers/mod.ts';
import { dumpCore } from './_dump.ts';
import { makeHandlers } from './_handlers.ts';
import { makeHostWatcher } from './_host_watch.ts';
import { makeShares } from './_shares.ts';

/** The clients and services that the core of a process uses. */
export interface CoreOptions {
  table: Table;
  workers: Workers;
  objects: Objects;
  hosts?: Hosts;
  /** Makes the clients of peers; they report the free slots in each response to `onFreeSlots`. */
  connectPeers: (onFreeSlots: (member: string, freeSlots: number) => void) => Peers;
  clock: Clock;
  random: Random;
  /** Describes this process, with a new unique id on each call. */
  identify: () => Identity;
  /** Completes the requests of callers; called on drain, before workers are handed over. */
  endRequests?: () => Promise<void>;
  invariants: InvariantChecker;
  metrics: Metrics;
  logs: (part: Component) => Logger;
}

/** The components of a running process. */
export interface Core {
  table: Table;
  settings: SettingsHolder;
  membership: MembershipTask;
  ownership: OwnershipTask;
  limits: LimitsTask;
  writer: MembershipWriter;
  pool: Pool;
  peers: Peers;
  lookups: Lookups;
  requests: Requests;
  jobs: Jobs;
  dispatch: Dispatch;
  /** Handlers of the requests from peers. */
  handlers: Peer;
  /** Fails while this process is draining or not fresh. */
  checkReady: () => Either<Failure, void>;
  run(signal: AbortSignal): Promise<void>;
  dump(): Record<string, unknown>;
}

const drainPollMs = 50;

function makeReadyCheck(membership: MembershipTask) {
  return (): Either<Failure, void> => {
    if (membership.phase() === Phase.Draining || membership.phase() === Phase.Left) {
      return failWith(ErrorKind.Draining, 'this process is shutting down');
    }
    if (!membership.isFresh()) {
      return failWith(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
    }
    return Right(undefined);
  };
}

function makePolicyParts(options: CoreOptions, lookups: () => Lookups) {
  const { clock, random } = options;
  const headroom = makeLookupHeadroom();
  const health = makeWorkerHealth();
  const placement = makePlacementIndex({
    random,
    lookupHeadroom: () => headroom.computeHeadroom(clock.now(), lookups().countInFlight()),
  });
  return { headroom, health, placement };
}

/**
 * Makes and connects the components.
 *
 * @example
 * const core = makeCore({ table, workers, objects, connectPeers, clock, random, identify, ...rest });
 * await core.settings.load();
 * await core.run(signal);
 */
export function makeCore(options: CoreOptions): Core {
  const { table, workers, objects, hosts, connectPeers, clock, random } = options;
  const { invariants, metrics, logs, identify, endRequests = async () => undefined } = options;
  const common = { clock, random, invariants, metrics };
  const settings = makeSettings({ table, invariants, log: logs(Component.Settings) });
  const writer = makeWriter({
    ...{ table, clock, random, log: logs(Component.Table) },
    memberKey: `members/${identify().id}`,
  });

  // Components with circular references look each other up here when called, after construction.
  const lateParts: {
    pool?: Pool;
    lookups?: Lookups;
    peerChoice?: PeerChoice;
    handOver?: () => Promise<void>;
  } = {};
  const peers = connectPeers((member, freeSlots) =>
    lateParts.peerChoice?.recordFreeCapacity(member, freeSlots),
  );
  const membership = makeMembership({
    ...{ writer, table, peers, settings, clock, random, identify },
    log: logs(Component.Membership),
    handOver: async () => lateParts.handOver?.(),
  });
  const limits = makeLimits({
    ...{ writer, table, settings, clock, invariants },
    member: () => ({ id: membership.id(), members: membership.view().members.length }),
    log: logs(Component.Limits),
  });
  const hostWatcher = makeHostWatcher({ hosts, clock });
  const ownership = makeOwnership({
    ...{ writer, table, workers, limits, membership, settings, clock },
    getUsage: (worker) => (lateParts.pool as Pool).countUnits(worker),
    getHostAbsenceMs: hostWatcher.getAbsenceMs,
    log: logs(Component.Ownership),
  });
  const { headroom, health, placement } = makePolicyParts(
    options,
    () => lateParts.lookups as Lookups,
  );
  const pool = makePool({
    ...common,
    ...{ workers, placement, limits, membership, settings, ownership },
    log: logs(Component.Dispatch),
    onAttempt({ worker, job, ok, runMs, kind }) {
      if (kind === 'lookup') headroom.recordRunTime(runMs);
      health.record({ worker, job, failed: !ok, now: clock.now() });
    },
    penalty: (worker) => health.penalty(worker, clock.now()),
  });
  const peerChoice = makePeerChoice({ clock, random, membership, holders: limits.holders });
  const requests = makeRequests({ clock, peers, membership });
  const lookups = makeLookups({
    ...common,
    ...{ pool, peers, peerChoice, requests, membership, settings, limits },
    log: logs(Component.Dispatch),
  });
  Object.assign(lateParts, { pool, lookups, peerChoice });
  lateParts.handOver = async () => {
    await endRequests();
    while (lookups.countInFlight() > 0) await clock.sleep(drainPollMs);
    await ownership.handOver();
  };
  const shares = makeShares({ pool, settings, membership, table, writer, clock, random });
  const jobs = makeJobs({
    ...common,
    ...{ peers, peerChoice, table, writer, objects, membership, settings, limits },
    ...{ ownership, usage: shares.usage, log: logs(Component.Dispatch) },
    pool: {
      ...pool,
      reserve: (need) => pool.reserve(need).ifRight(() => shares.countReservation(need)),
    },
    waiting: makePendingJobs({
      starvationBoundMs: settings.current().policy.starvationBoundMs,
    }),
  });
  const dispatch = makeDispatch({ lookups, jobs });
  const core: Core = {
    ...{
      table,
      settings,
      membership,
      ownership,
      limits,
      writer,
      pool,
      peers,
      lookups,
      requests,
      jobs,
    },
    dispatch,
    handlers: makeHandlers(() => core),
    checkReady: makeReadyCheck(membership),
    async run(signal) {
      await Promise.all([
        membership.run(signal),
        ownership.run(signal),
        limits.run(signal),
        hostWatcher.run(signal),
        shares.run(signal),
      ]);
    },
    dump: () => dumpCore(core, { clock, invariants, peerChoice }),
  };
  return core;
}
