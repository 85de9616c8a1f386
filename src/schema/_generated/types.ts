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
  /**
   * The worker refuses the renewal when its own monotonic clock is past this, so that a delayed one extends no lease.
   */
  notAfterMs?: number;
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
  /**
   * Rows of which the answer carries the version without the value.
   */
  versions?: string[];
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
  /**
   * Asks the claimant's own process for the answer that it still keeps; claims nothing.
   */
  recall?: boolean;
  /**
   * Withdraws the claimant's claim, because its lookup certainly did not run.
   */
  withdraw?: boolean;
  membership: number;
}
export interface WitnessAnswer {
  verdict: 'first' | 'repeat' | 'other-view';
  answer?: LookupAnswer;
  claimant?: string;
}
/**
 * Asks a peer for the member views before `before` that it knows of the last 60 s.
 */
export interface ViewsQuestion {
  before: number;
}
/**
 * Former views; `complete` says whether the peer knows those of the whole 60 s.
 */
export interface ViewsAnswer {
  complete: boolean;
  views: FormerView[];
}
/**
 * Ids of the members at a membership version, and the time since it was replaced.
 */
export interface FormerView {
  version: number;
  members: string[];
  replacedAgoMs: number;
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
 * A job that a process without job partitions hands over to a peer, once the caller's key was checked.
 */
export interface SubmitQuestion {
  team: string;
  queue: string;
  /**
   * Request id of the caller.
   */
  request?: string;
  job: JobRequest;
  settings: number;
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
 * Asks a worker owner to stop tasks, or the owner of their partitions to cancel jobs.
 */
export interface StopQuestion {
  tasks: {
    task: string;
    worker: string;
  }[];
  /**
   * Jobs to cancel, by the owner of their partitions.
   */
  jobs?: string[];
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
 * A change of settings as an operator submits it, made from version `base`; null removes a file.
 */
export interface SettingsProposal {
  base: number;
  note?: string;
  files: {
    [k: string]: string | null;
  };
}
/**
 * The settings in force, as operators read them.
 */
export interface SettingsTree {
  version: number;
  files: {
    [k: string]: string;
  };
}
/**
 * Changes of settings, newest first, without the texts of files.
 */
export interface SettingsHistory {
  version: number;
  changes: SettingsChange[];
}
export interface SettingsChange {
  version: number;
  by: string;
  at: number;
  note: string;
  files: string[];
}
/**
 * Row `head`: newest versions of settings and membership.
 */
export interface Head {
  settings: number;
  membership: number;
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
  /**
   * Attempts of this task that failed or were lost; stops by the scheduler do not count.
   */
  failures?: number;
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
/**
 * Row `usage`: what each team uses of the fleet, two characters a team.
 */
export interface ShareRecord {
  membership: number;
  settings: number;
  parts: number;
  units: string;
}
/**
 * An operator, who may read and change all settings. At least one must exist.
 */
export interface OperatorSection {
  /**
   * Salt of the key's hash.
   */
  salt: string;
  /**
   * scrypt hash of the key; the key itself is kept nowhere.
   */
  hash: string;
}
/**
 * Bounds of the scheduling policy.
 */
export interface PolicySection {
  /**
   * Deadline of a lookup that states none.
   */
  urgent_deadline_ms: number;
  /**
   * Work that has waited for this long gets room reserved, so that lighter work cannot hold it up for longer.
   */
  starvation_bound_ms: number;
  /**
   * A worker stops a task whose lease has not been renewed for this long.
   */
  lease_ms: number;
  /**
   * Retries that a process makes for one team in a minute.
   */
  retry_budget_per_team_per_minute: number;
  /**
   * Rate at which tasks are moved off leaving upstreams and data centres out of service.
   */
  evacuation_tasks_per_second: number;
}
/**
 * The worker program on the upstreams.
 */
export interface WorkerSection {
  /**
   * Dialect of the protocol that workers speak.
   */
  dialect: 'http-json';
  /**
   * Whether workers refuse requests with an old epoch. With `no`, a worker is taken over only after its former owner released it, or was dropped from the host list and 30 s have passed.
   */
  fencing: boolean;
}
/**
 * A data centre.
 */
export interface DataCentreSection {
  /**
   * Region that the data centre lies in.
   */
  region: string;
  /**
   * With `no`, no task starts there (within 4 s of the change), and the work there is moved away.
   */
  in_service: boolean;
}
/**
 * The rack that the upstreams of this file stand in.
 */
export interface RackSection {
  /**
   * Data centre of the rack; it must have a file in `data-centres/`.
   */
  data_centre: string;
}
/**
 * One upstream: a worker host. The name is its id, unique over all racks.
 */
export interface UpstreamSection {
  /**
   * Address of the worker.
   */
  address: string;
  /**
   * Port of the worker.
   */
  port: number;
  /**
   * Processors that tasks may use.
   */
  processors: number;
  /**
   * Memory that tasks may use.
   */
  memory_mb: number;
  /**
   * Accelerators that tasks may use.
   */
  accelerators: number;
  /**
   * Tasks that may run at once.
   */
  slots: number;
  /**
   * Connections that one process keeps to the worker at most.
   */
  connections: number;
  /**
   * With `yes`, the upstream gets no new work (within 4 s of the change), and its work is moved away.
   */
  leaving: boolean;
}
/**
 * A team.
 */
export interface TeamSection {
  /**
   * Weight of the team where teams compete for room.
   */
  share: number;
  /**
   * Upper limit of the team's running tasks over the whole fleet.
   */
  limit: number;
}
/**
 * A key of the team. The name is the key's id. A key stops working when its section is removed.
 */
export interface KeySection {
  /**
   * Salt of the key's hash.
   */
  salt: string;
  /**
   * scrypt hash of the key; the key itself is kept nowhere.
   */
  hash: string;
}
/**
 * A queue of the team. Each team has a queue `default`, with these defaults where it has no file.
 */
export interface QueueSection {
  /**
   * Kinds of work that the queue takes, separated by commas.
   *
   * @minItems 1
   */
  kinds: [WorkKind, ...WorkKind[]];
  /**
   * With `yes`, callers without a key of the team may use the queue.
   */
  open: boolean;
  /**
   * Requests of the queue that may wait in one process; more are refused.
   */
  max_waiting: number;
  /**
   * Data centres that the work may run in, separated by commas; empty for any.
   */
  data_centres: string[];
}
/**
 * The process itself.
 */
export interface ProcessSection {
  /**
   * Name of the process in logs and metrics.
   */
  name: string;
  /**
   * Data centre that the process runs in.
   */
  data_centre: string;
  /**
   * Region that the process runs in.
   */
  region: string;
  /**
   * Least severe level that is logged.
   */
  log_level: 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';
}
/**
 * The callers' interface, behind the load balancer.
 */
export interface CallersSection {
  /**
   * Address to listen on.
   */
  address: string;
  /**
   * Port to listen on; 0 for any free one.
   */
  port: number;
  /**
   * Largest body of a request.
   */
  max_body_bytes: number;
  /**
   * Largest header of a request.
   */
  max_header_bytes: number;
  /**
   * Open connections; requests on further ones are refused with `too-many-connections`.
   */
  max_connections: number;
  /**
   * Requests in work at once; more are refused with `too-many-connections`.
   */
  max_waiting_requests: number;
}
/**
 * The interface for other entry processes.
 */
export interface PeersSection {
  /**
   * Address to listen on; other processes reach this one by it.
   */
  address: string;
  /**
   * Port to listen on; 0 for any free one.
   */
  port: number;
}
/**
 * The operators' interface, with health and readiness for the load balancer.
 */
export interface OperatorsSection {
  /**
   * Address to listen on.
   */
  address: string;
  /**
   * Port to listen on; 0 for any free one.
   */
  port: number;
}
/**
 * The platform's table service.
 */
export interface TableSection {
  /**
   * Dialect of the protocol that the service speaks.
   */
  dialect: 'http-json';
  /**
   * Address of the service.
   */
  address: string;
  /**
   * Port of the service.
   */
  port: number;
}
/**
 * The platform's object store.
 */
export interface ObjectsSection {
  /**
   * Dialect of the protocol that the service speaks.
   */
  dialect: 'http-json';
  /**
   * Address of the service.
   */
  address: string;
  /**
   * Port of the service.
   */
  port: number;
}
/**
 * The platform's list of live and leaving hosts.
 */
export interface HostsSection {
  /**
   * Dialect of the protocol that the service speaks.
   */
  dialect: 'http-json';
  /**
   * Address of the service. Empty where the platform has none.
   */
  address: string;
  /**
   * Port of the service. 0 where the platform has none.
   */
  port: number;
}
/**
 * StatsD server that metrics are sent to.
 */
export interface MetricsSection {
  /**
   * Address of the server; empty sends none.
   */
  address: string;
  /**
   * Port of the server.
   */
  port: number;
}
