/* Generated from src/schema/*.json by `npm run generate`. */

export type WorkKind = 'lookup' | 'batch' | 'gang' | 'service';
export type TaskState = 'running' | 'checkpointing' | 'finished' | 'failed' | 'stopped';
export type JobState = 'waiting' | 'running' | 'finished' | 'failed' | 'cancelled';

/**
 * Room on a worker, or what a task takes of it.
 */
export interface Size {
  processors: number;
  memoryMb: number;
  accelerators: number;
  slots: number;
}
/**
 * A worker host as configured.
 */
export interface Upstream {
  id: string;
  address: string;
  port: number;
  dataCentre: string;
  region: string;
  rack: string;
  capacity: Size;
  connections: number;
  leaving: boolean;
  fencing: boolean;
}
/**
 * A task as its worker reports it.
 */
export interface RunningTask {
  task: string;
  attempt: number;
  team: string;
  job: string;
  kind: WorkKind;
  size: Size;
  startedAgoMs: number;
  state: TaskState;
  usage?: Size;
  result?: unknown;
  message?: string;
}
/**
 * Everything a worker holds, answered to `fence` and `list`.
 */
export interface WorkerState {
  worker: string;
  epoch: number;
  capacity: Size;
  leaving: boolean;
  tasks: RunningTask[];
  /**
   * The worker's own monotonic clock.
   */
  clockMs: number;
}
export interface FenceRequest {
  owner: string;
  epoch: number;
}
/**
 * Starts one attempt of a task. The worker refuses it when its own monotonic clock is past `notAfterMs`.
 */
export interface StartRequest {
  task: string;
  attempt: number;
  epoch: number;
  notAfterMs: number;
  team: string;
  job: string;
  kind: WorkKind;
  size: Size;
  idempotent: boolean;
  leaseMs: number;
  body: unknown;
}
/**
 * For a lookup the whole answer; for other kinds the acknowledgement that the task runs.
 */
export interface StartAnswer {
  task: string;
  attempt: number;
  status: 'running' | 'finished' | 'failed';
  body?: unknown;
  runMs?: number;
  message?: string;
}
/**
 * Renews the leases of all tasks on a worker at once; acknowledged names ended tasks the owner has recorded.
 */
export interface RenewRequest {
  epoch: number;
  leaseMs: number;
  acknowledged?: string[];
  /**
   * The worker may hold the answer back for this long while no task changes.
   */
  waitMs?: number;
}
export interface RenewAnswer {
  changed: RunningTask[];
  leaving: boolean;
  /**
   * The worker's own monotonic clock.
   */
  clockMs: number;
}
export interface StopRequest {
  epoch: number;
  task: string;
  mode: 'stop' | 'checkpoint' | 'throttle';
}
/**
 * A row of the table service; version 0 means that the row does not exist.
 */
export interface Row {
  key: string;
  version: number;
  value?: unknown;
}
export interface Check {
  key: string;
  version: number;
}
/**
 * Sets a row, or deletes it where the value is absent.
 */
export interface Write {
  key: string;
  value?: unknown;
}
export interface Transaction {
  operation: string;
  checks: Check[];
  writes: Write[];
  reads: string[];
}
/**
 * New versions of the written rows, and the rows asked for in `reads` as they are after the writes.
 */
export interface Commit {
  versions: {
    [k: string]: number;
  };
  rows: Row[];
}
export interface LookupRequest {
  queue?: string;
  size?: RequestedSize;
  deadlineMs?: number;
  estimateMs?: number;
  idempotent?: boolean;
  body?: unknown;
}
export interface RequestedSize {
  processors?: number;
  memoryMb?: number;
  accelerators?: number;
}
export interface JobRequest {
  kind: 'batch' | 'gang' | 'service';
  queue?: string;
  tasks?: number;
  size?: RequestedSize;
  estimateMs?: number;
  deadlineMs?: number;
  idempotent?: boolean;
  checkpoint?: boolean;
  spread?: 'none' | 'rack' | 'data-centre';
  across?: 'rack' | 'data-centre' | 'fleet';
  maxAttempts?: number;
  body?: unknown;
}
/**
 * A process that cannot reach the table service asks a peer to vouch for its settings.
 */
export interface FreshQuestion {
  member: string;
  settings: number;
  membership: number;
}
/**
 * A relay (the peer has a fresh read of its own), a promise, or a refusal.
 */
export interface FreshAnswer {
  verdict: 'relay' | 'promise' | 'refusal' | 'expelled';
  settings: number;
  /**
   * For a relay: how much longer the peer's own read counts as fresh.
   */
  remainingMs?: number;
}
/**
 * A lookup handed over to a peer; it is not handed on.
 */
export interface HandedLookup {
  id: string;
  team: string;
  queue: string;
  size: Size;
  remainingMs: number;
  estimateMs: number;
  idempotent: boolean;
  body: unknown;
  settings: number;
}
export interface LookupAnswer {
  id: string;
  worker: string;
  waitMs: number;
  runMs: number;
  body?: unknown;
}
/**
 * Claims a caller's request id for one execution; `claimant` is the lookup id.
 */
export interface WitnessQuestion {
  team: string;
  request: string;
  claimant: string;
  membership: number;
}
export interface WitnessAnswer {
  verdict: 'first' | 'repeat' | 'other-view';
  claimant?: string;
}
/**
 * What one task asks of a worker.
 */
export interface Need {
  team: string;
  queue: string;
  kind: WorkKind;
  size: Size;
  estimateMs: number;
  /**
   * Time left until the deadline.
   */
  deadlineMs?: number;
  waitedMs?: number;
  spread?: 'none' | 'rack' | 'data-centre';
  across?: 'rack' | 'data-centre' | 'fleet';
  avoidWorkers?: string[];
  avoidRacks?: string[];
  avoidDataCentres?: string[];
  onlyDataCentres?: string[];
  onlyRacks?: string[];
}
/**
 * Asks a worker owner to hold room, and units of the team's limit, for up to `count` tasks of a job.
 */
export interface HoldQuestion {
  hold: string;
  job: string;
  need: Need;
  count: number;
  settings: number;
}
export interface HoldAnswer {
  hold: string;
  places: Place[];
}
/**
 * Room held on one worker.
 */
export interface Place {
  worker: string;
  epoch: number;
  rack: string;
  dataCentre: string;
}
/**
 * Starts the tasks of a hold; each takes one of its places, in order.
 */
export interface CommitQuestion {
  hold: string;
  tasks: CommitTask[];
  idempotent: boolean;
  body: unknown;
}
export interface CommitTask {
  task: string;
  attempt: number;
  worker: string;
}
/**
 * What became of each task's start.
 */
export interface CommitAnswer {
  tasks: {
    task: string;
    outcome: 'running' | 'not-run' | 'unknown';
    message?: string;
  }[];
}
export interface ReleaseQuestion {
  hold: string;
}
/**
 * Asks a worker owner to stop tasks.
 */
export interface StopQuestion {
  tasks: {
    task: string;
    worker: string;
  }[];
  mode: 'stop' | 'checkpoint' | 'throttle';
}
/**
 * A task that has certainly ended, or whose lease has lapsed (`lost`).
 */
export interface Ended {
  task: string;
  attempt: number;
  job: string;
  team: string;
  worker: string;
  state: 'finished' | 'failed' | 'stopped' | 'lost';
  result?: unknown;
  message?: string;
  usage?: Size;
  runMs?: number;
}
/**
 * A worker owner reports ended tasks to the owner of the job's partition; the answer names those recorded.
 */
export interface EndedQuestion {
  ended: Ended[];
}
export interface EndedAnswer {
  recorded: string[];
}
/**
 * Asks the owner of a worker what it knows of an attempt.
 */
export interface AttemptQuestion {
  task: string;
  attempt: number;
  worker: string;
}
/**
 * `absent` means that the attempt certainly does not run and never will.
 */
export interface AttemptAnswer {
  state: 'running' | 'ended' | 'absent' | 'unknown';
}
export interface ChangesQuestion {
  after: number;
}
/**
 * Row `head`: newest versions, and the share digest (running tasks per team).
 */
export interface Head {
  settings: number;
  membership: number;
  usage?: {
    [k: string]: number;
  };
}
/**
 * Row `members/{id}`: one entry process.
 */
export interface Member {
  id: string;
  address: string;
  port: number;
  dataCentre: string;
  region: string;
  joined: number;
  seen: number;
  sequence: number;
  operation: string;
  draining: boolean;
}
/**
 * Row `departed/{id}`: a member that was expelled and whose workers or allotments are not all settled.
 */
export interface Departed {
  id: string;
  by: string;
  full: boolean;
  address?: string;
}
/**
 * Rows `workers/{id}` and `partitions/{n}`: who owns it, and from whom it is being taken over.
 */
export interface Claim {
  epoch: number;
  owner: string;
  from?: string[];
}
export interface Attempt {
  task: string;
  attempt: number;
  worker: string;
  epoch: number;
  state: 'starting' | 'running' | 'finished' | 'failed' | 'stopped' | 'lost';
  message?: string;
}
/**
 * Row `jobs/{partition}/{id}`: a batch job, gang or service.
 */
export interface Job {
  id: string;
  request?: string;
  team: string;
  queue: string;
  kind: 'batch' | 'gang' | 'service';
  tasks: number;
  size: Size;
  estimateMs: number;
  deadlineAt?: number;
  idempotent: boolean;
  checkpoint: boolean;
  spread: 'none' | 'rack' | 'data-centre';
  across: 'rack' | 'data-centre' | 'fleet';
  maxAttempts: number;
  body?: unknown;
  state: JobState;
  reason: string;
  submittedAt: number;
  endedAt?: number;
  attempts: Attempt[];
  cancel: boolean;
}
/**
 * Row `allotments/{team}`: units of the team's upper limit held by each member; the sum is at most the limit.
 */
export interface Allotment {
  limit: number;
  held: {
    [k: string]: number;
  };
}
/**
 * Row `settings/{version}`: one accepted change of the settings tree.
 */
export interface Change {
  version: number;
  by: string;
  at: number;
  note: string;
  /**
   * New text of each changed file; null where the file was removed.
   */
  files: {
    [k: string]: string | null;
  };
  allotments: {
    [k: string]: Allotment;
  };
}
