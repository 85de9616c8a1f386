/**
 * State and helper functions that the modules of the job dispatcher share.
 */
import type { Clock, Random } from '../clock/mod.ts';
import type { Replica, TeamUsage, PendingJobs } from '../decisions/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Limits } from '../limits/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Objects } from '../objects/mod.ts';
import type { Ownership } from '../ownership/mod.ts';
import type { Peer, Peers } from '../peers/mod.ts';
import type { Pool } from '../pool/mod.ts';
import type { Job } from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Table, Writer, RetryBudget } from '../table/mod.ts';
import type { Holds } from './_holds.ts';
import { activeAttempts, needOf, waitingTasks } from './_job_model.ts';
import type { JobRows } from './_job_rows.ts';
import type { PeerChoice } from './peer_choice.ts';

/** Dependencies of the job dispatcher. */
export interface JobOptions {
  clock: Clock;
  random: Random;
  pool: Pool;
  peers: Peers;
  peerChoice: PeerChoice;
  table: Pick<Table, 'read' | 'scan'>;
  writer: Pick<Writer, 'commit' | 'isBusy'>;
  objects: Objects;
  membership: Pick<Membership, 'id' | 'phase' | 'isFresh' | 'view'>;
  settings: Pick<Settings, 'current'>;
  limits: Pick<Limits, 'requestUnits'>;
  ownership: Pick<
    Ownership,
    'subscribe' | 'partitions' | 'ownerOfWorker' | 'ownerOfPartition' | 'workers' | 'recheck'
  >;
  waiting: PendingJobs;
  usage: TeamUsage;
  invariants: InvariantChecker;
  log: Logger;
  metrics: Metrics;
}

/** State of the job dispatcher of a process. Everything but the job rows is only in memory. */
export interface JobsState extends JobOptions {
  rows: JobRows;
  holds: Holds;
  /** Ids of jobs with a placement in flight. */
  placing: Set<string>;
  /** Earliest time of the next placement of a job, by job id. */
  placementRetryAt: Map<string, number>;
  /** Earliest time of the next try at a peer, or of a gang; the job keeps its position. */
  remoteRetryAt: Map<string, number>;
  /** Job for which a worker is reserved. */
  kept: { id: string } | undefined;
  /** Earliest time of the next check of a service whose replicas share a domain, by job id. */
  respreadAfter: Map<string, number>;
  /** Settings version of a job's last feasibility check, and since when it is infeasible. */
  feasibility: Map<string, { version: number; reason?: string; since?: number }>;
  /** Number of consecutive refused placements, by job id. */
  refusals: Map<string, number>;
  /** Attempts whose state has to be confirmed with the owner of the worker, by task. */
  unconfirmedAttempts: Map<
    string,
    { job: string; attempt: number; worker: string; since?: number }
  >;
  /** Owner of the worker when an attempt was last confirmed as running, by task. */
  lastConfirmedOwner: Map<string, string>;
  retryBudgets: Map<string, RetryBudget>;
  reasons: Map<string, { at: number; text: string }[]>;
  requestRound: () => void;
  closeController: AbortController;
}

const maxReasonsPerJob = 20;

/** Adds to the bounded history of why a job is waiting or was moved; skips repeated reasons. */
export function recordReason(state: JobsState, id: string, text: string): void {
  const history = state.reasons.get(id) ?? [];
  if (history.at(-1)?.text === text) return;
  state.reasons.set(
    id,
    [...history, { at: state.clock.wallTime(), text }].slice(-maxReasonsPerJob),
  );
}

/** Adds, updates or removes the job's entry in the waiting work to match its waiting tasks. */
export function updateWaitingWork(state: JobsState, job: Job): void {
  const { waiting, clock, placing, placementRetryAt: notBefore } = state;
  if (placing.has(job.id)) return;
  const existing = waiting.get(job.id);
  const tasks = waitingTasks(job);
  // A gang runs as a whole: all of its active attempts must end before it is placed again.
  const isBlocked = job.kind === 'gang' && activeAttempts(job).length > 0;
  const isDue = (notBefore.get(job.id) ?? 0) <= clock.now();
  const count = isBlocked || !isDue ? 0 : tasks.length;
  if (existing?.count === count) return;
  if (existing) waiting.remove(job.id);
  if (count === 0) return;
  const times = { now: clock.now(), wall: clock.wallTime() };
  const { deadlineAt } = job;
  waiting.add({
    id: job.id,
    team: job.team,
    need: needOf(job, { wall: times.wall, fleet: state.settings.current() }),
    count,
    gang: job.kind === 'gang',
    enqueuedAt: times.now - Math.max(0, times.wall - job.submittedAt),
    ...(deadlineAt === undefined ? {} : { deadlineAt: times.now + deadlineAt - times.wall }),
  });
  state.requestRound();
}

/** Returns the message interface of a member, or undefined when it is not in the view. */
export function findPeer(state: JobsState, id: string): Peer | undefined {
  const member = state.membership.view().members.find((one) => one.id === id);
  return member ? state.peers(member) : undefined;
}

/** Returns the worker owner's interface of a member; for this process, its own holds directly. */
export function findWorkerOwner(
  state: JobsState,
  id: string,
): Pick<Peer, 'hold' | 'commit' | 'release' | 'stop' | 'attempt'> | undefined {
  if (id !== state.membership.id()) return findPeer(state, id);
  const { holds } = state;
  return { ...holds, hold: async (request) => holds.hold(request) };
}

/** Returns the active attempts of a job as replicas, as the service policy expects them. */
export function listReplicas(
  { settings, unconfirmedAttempts: doubtful }: JobsState,
  job: Job,
): Replica[] {
  const fleet = settings.current();
  return activeAttempts(job).map(({ task, worker }) => {
    const upstream = fleet.upstreams[worker];
    const { rack = '', dataCentre = '' } = upstream ?? {};
    return {
      ...{ task, worker, rack, dataCentre, state: doubtful.has(task) ? 'starting' : 'running' },
      leaving: !upstream || upstream.leaving || !fleet.dataCentres[dataCentre]?.inService,
    };
  });
}
