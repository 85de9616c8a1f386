/**
 * What the parts of the job dispatcher share.
 */
import type { Clock, Random } from '../clock/mod.ts';
import type { Replica, Usage, WaitingWork } from '../decisions/mod.ts';
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

/** Collaborators of the jobs. */
export interface JobParts {
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
  limits: Pick<Limits, 'want'>;
  ownership: Pick<
    Ownership,
    'subscribe' | 'partitions' | 'ownerOfWorker' | 'ownerOfPartition' | 'workers' | 'recheck'
  >;
  waiting: WaitingWork;
  usage: Usage;
  invariants: InvariantChecker;
  log: Logger;
  metrics: Metrics;
}

/** What the jobs of a process remember besides the rows. */
export interface JobsState extends JobParts {
  rows: JobRows;
  holds: Holds;
  /** Jobs with a placement under way. */
  placing: Set<string>;
  /** Earliest time of the next try of a job. */
  notBefore: Map<string, number>;
  /** Earliest time of the next try at a peer, or of a gang; the job keeps its turn meanwhile. */
  remoteAfter: Map<string, number>;
  /** Job for which a worker is kept free. */
  kept: { id: string } | undefined;
  /** Earliest time at which a service whose replicas share a domain is looked at again. */
  respreadAfter: Map<string, number>;
  /** Settings version at which a job was last checked, and since when it can't run. */
  feasibility: Map<string, { version: number; reason?: string; since?: number }>;
  /** Refused placements in a row. */
  refusals: Map<string, number>;
  /** Attempts whose state must be asked of the worker's owner, by task. */
  doubtful: Map<string, { job: string; attempt: number; worker: string; since?: number }>;
  /** Owner of the worker when an attempt was last known to run. */
  seenOwner: Map<string, string>;
  retryBudgets: Map<string, RetryBudget>;
  reasons: Map<string, { at: number; text: string }[]>;
  requestRound: () => void;
  closeController: AbortController;
}

const maxReasonsPerJob = 20;

/** Keeps a short history of why a job waits or moved. */
export function note(state: JobsState, id: string, text: string): void {
  const history = state.reasons.get(id) ?? [];
  if (history.at(-1)?.text === text) return;
  state.reasons.set(
    id,
    [...history, { at: state.clock.wallTime(), text }].slice(-maxReasonsPerJob),
  );
}

/** Brings the waiting work in line with the job. */
export function schedule(state: JobsState, job: Job): void {
  const { waiting, clock, placing, notBefore } = state;
  if (placing.has(job.id)) return;
  const existing = waiting.get(job.id);
  const tasks = waitingTasks(job);
  // A gang runs as a whole: the end of one task is handled before all are placed again.
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

/** The functions of a member that owns workers or partitions; this process answers itself. */
export function memberOf(state: JobsState, id: string): Peer | undefined {
  const member = state.membership.view().members.find((one) => one.id === id);
  return member ? state.peers(member) : undefined;
}

/** Worker owner's side of a member: own holds are called directly. */
export function holderOf(
  state: JobsState,
  id: string,
): Pick<Peer, 'hold' | 'commit' | 'release' | 'stop' | 'attempt'> | undefined {
  if (id !== state.membership.id()) return memberOf(state, id);
  const { holds } = state;
  return { ...holds, hold: async (request) => holds.hold(request) };
}

/** The running tasks of a job as replicas, for the policy of services. */
export function replicasOf({ settings, doubtful }: JobsState, job: Job): Replica[] {
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
