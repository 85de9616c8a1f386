/**
 * Worker logic without sockets: free capacity, epochs, attempts, leases and running tasks.
 */
import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type {
  RenewAnswer,
  RenewRequest,
  RunningTask,
  Size,
  StartAnswer,
  StartRequest,
  StopRequest,
  TaskState,
  WorkerState,
} from '../schema/mod.ts';

/** One start; tests check with it that a task ran at most once, and never twice at a time. */
export interface StartRecord {
  worker: string;
  task: string;
  attempt: number;
  epoch: number;
  team: string;
  kind: string;
  /** The `answer` of the body; identifies two starts of one request under different task ids. */
  answer?: unknown;
  /** Wall-clock times, comparable between workers on one machine. */
  startedAt: number;
  endedAt?: number;
  state: TaskState;
}

/** Injected faults of a worker. */
export interface WorkerFaults {
  /** Every task fails when it starts. */
  failStarts: boolean;
  leaving: boolean;
  /** Overrides the run time of every task. */
  runMs: number | undefined;
}

/** Body of a task, which runs a timer and returns a result. */
interface TaskBody {
  runMs?: number;
  answer?: unknown;
  fail?: boolean;
}

interface TaskEntry {
  request: StartRequest;
  startedAt: number;
  leaseUntil: number;
  state: TaskState;
  record: StartRecord;
  /** Aborted when the task ends. */
  ending: AbortController;
  endedAt?: number;
  result?: unknown;
  message?: string;
}

const defaultRunMs = 20;
const checkpointMs = 20;
// Exposes a scheduler that confuses its own clock with the worker's.
const clockOffsetMs = 1_000_000;
const dimensions = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** A request rejected by the worker. */
export interface Rejection {
  rejection: Failure;
}

function rejectWith(kind: ErrorKind, message: string): Rejection {
  return { rejection: makeFailure(kind, message) };
}

/** State of a worker whose tasks are timers. */
export class WorkerModel {
  readonly faults: WorkerFaults = { failStarts: false, leaving: false, runMs: undefined };

  readonly starts: StartRecord[] = [];

  private readonly options: { clock: Clock; id: string; capacity: Size };

  private epoch = 0;

  private attempts = new Map<string, number>();

  private tasks = new Map<string, TaskEntry>();

  private reportedLeaving = false;

  private watchers = new Set<() => void>();

  constructor(options: { clock: Clock; id: string; capacity: Size }) {
    this.options = options;
  }

  fence(epoch: number): WorkerState | Rejection {
    const stale = this.raiseEpoch(epoch);
    return stale ?? this.list();
  }

  list(): WorkerState {
    const { id, capacity } = this.options;
    return {
      worker: id,
      epoch: this.epoch,
      capacity,
      leaving: this.faults.leaving,
      tasks: [...this.tasks.values()].map((entry) => this.describeTask(entry)),
      clockMs: this.clockMs(),
    };
  }

  /** Starts a task; for a lookup, the response is sent when it has ended. */
  start(request: StartRequest): Promise<StartAnswer> | Rejection {
    const rejection = this.raiseEpoch(request.epoch) ?? this.checkStart(request);
    if (rejection) return rejection;
    const { clock, id } = this.options;
    const { task, attempt, epoch, team, kind, leaseMs } = request;
    this.attempts.set(task, attempt);
    const startedAt = clock.now();
    const { answer } = (request.body ?? {}) as TaskBody;
    const record: StartRecord = {
      ...{ worker: id, task, attempt, epoch, team, kind, answer },
      ...{ startedAt: clock.wallTime(), state: 'running' },
    };
    this.starts.push(record);
    const ending = new AbortController();
    const leaseUntil = startedAt + leaseMs;
    const entry: TaskEntry = { request, startedAt, leaseUntil, state: 'running', record, ending };
    this.tasks.set(task, entry);
    const done = this.runTask(entry);
    this.enforceLease(entry).catch(() => undefined);
    if (kind === 'lookup') return done.then(() => this.makeStartAnswer(entry));
    return Promise.resolve(this.makeStartAnswer(entry));
  }

  async renew(request: RenewRequest): Promise<RenewAnswer | Rejection> {
    const { epoch, leaseMs, acknowledged = [], waitMs = 0, notAfterMs = Infinity } = request;
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    if (this.clockMs() > notAfterMs) {
      return rejectWith(ErrorKind.WorkerRefused, 'the renewal came too late');
    }
    acknowledged.forEach((task) => {
      if (this.tasks.get(task)?.ending.signal.aborted) this.tasks.delete(task);
    });
    const arrivedAt = this.options.clock.now();
    const leaseUntil = arrivedAt + leaseMs;
    this.tasks.forEach((entry) => Object.assign(entry, { leaseUntil }));
    if (waitMs > 0 && !this.hasChanges()) await this.waitForChange(waitMs);
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    this.reportedLeaving = this.faults.leaving;
    // The owner has the response to a lookup that ended later; its next renewal acknowledges it.
    const changed = [...this.tasks.values()].filter(
      ({ state, request: { kind }, endedAt = 0 }) =>
        state !== 'running' && (kind !== 'lookup' || endedAt < arrivedAt),
    );
    return {
      changed: changed.map((entry) => this.describeTask(entry)),
      leaving: this.faults.leaving,
      clockMs: this.clockMs(),
    };
  }

  stop({ epoch, task, mode }: StopRequest): RunningTask | Rejection {
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    const entry = this.tasks.get(task);
    if (!entry) return rejectWith(ErrorKind.NotFound, `task ${task} is not known here`);
    if (mode === 'stop') this.endTask(entry, 'stopped');
    if (mode === 'checkpoint' && entry.state === 'running') {
      entry.state = 'checkpointing';
      this.notify();
      this.options.clock.sleep(checkpointMs, entry.ending.signal).then(
        () => this.endTask(entry, 'stopped'),
        () => undefined,
      );
    }
    return this.describeTask(entry);
  }

  /** Drops all tasks, as a power failure does; epoch and attempts are kept. */
  crash(): void {
    this.tasks.forEach((entry) => this.endTask(entry, 'stopped'));
    this.tasks.clear();
    this.notify();
  }

  /** Ends the wait of pending renewals; also called when the faults change. */
  notify(): void {
    this.watchers.forEach((watcher) => watcher());
  }

  private clockMs(): number {
    return this.options.clock.now() + clockOffsetMs;
  }

  private raiseEpoch(epoch: number): Rejection | undefined {
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    if (epoch > this.epoch) {
      this.epoch = epoch;
      this.notify();
    }
    return undefined;
  }

  private staleEpoch(epoch: number): Rejection {
    return rejectWith(ErrorKind.EpochStale, `epoch ${epoch} is below ${this.epoch}`);
  }

  private checkStart({ task, attempt, notAfterMs, size }: StartRequest): Rejection | undefined {
    const now = this.clockMs();
    const { capacity } = this.options;
    const reject = (message: string) => rejectWith(ErrorKind.WorkerRefused, message);
    if (now > notAfterMs) return reject(`start came ${Math.ceil(now - notAfterMs)} ms too late`);
    if (attempt <= (this.attempts.get(task) ?? 0)) return reject(`attempt ${attempt} was seen`);
    if (this.faults.leaving) return reject('worker is leaving');
    const exceeded = dimensions.find((name) => this.allocated(name) + size[name] > capacity[name]);
    return exceeded ? reject(`not enough ${exceeded}`) : undefined;
  }

  private allocated(name: keyof Size): number {
    let sum = 0;
    this.tasks.forEach(({ request, ending }) => {
      if (!ending.signal.aborted) sum += request.size[name];
    });
    return sum;
  }

  private async runTask(entry: TaskEntry): Promise<void> {
    const { clock, id } = this.options;
    const { request, ending } = entry;
    const body = (request.body ?? {}) as TaskBody;
    const defaultMs = request.kind === 'service' ? Infinity : defaultRunMs;
    const runMs = this.faults.runMs ?? body.runMs ?? defaultMs;
    if (this.faults.failStarts) this.endTask(entry, 'failed');
    if (ending.signal.aborted || !Number.isFinite(runMs)) return;
    await clock.sleep(runMs, ending.signal);
    if (ending.signal.aborted) return;
    Object.assign(entry, { result: { ...body, worker: id, task: request.task } });
    this.endTask(entry, body.fail === true ? 'failed' : 'finished');
  }

  private async enforceLease(entry: TaskEntry): Promise<void> {
    const { clock } = this.options;
    while (!entry.ending.signal.aborted) {
      const remainingMs = entry.leaseUntil - clock.now();
      if (remainingMs <= 0) this.endTask(entry, 'stopped', 'lease expired');
      else await clock.sleep(remainingMs, entry.ending.signal);
    }
  }

  private endTask(entry: TaskEntry, state: TaskState, message?: string): void {
    if (entry.ending.signal.aborted) return;
    const { clock } = this.options;
    const reason = message ?? (state === 'failed' ? 'failed' : undefined);
    Object.assign(entry, { state, message: reason, endedAt: clock.now() });
    Object.assign(entry.record, { state, endedAt: clock.wallTime() });
    entry.ending.abort();
    // The end of a lookup is reported in its own response, so pending renewals keep waiting.
    if (entry.request.kind !== 'lookup') this.notify();
  }

  private makeStartAnswer({ request, state, result, startedAt, message }: TaskEntry): StartAnswer {
    const { task, attempt } = request;
    if (state === 'running') return { task, attempt, status: 'running' };
    const runMs = this.options.clock.now() - startedAt;
    const status = state === 'finished' ? 'finished' : 'failed';
    return { task, attempt, status, body: result, runMs, ...(message ? { message } : {}) };
  }

  private describeTask({ request, state, startedAt, result, message }: TaskEntry): RunningTask {
    const { task, attempt, team, job, kind, size } = request;
    const startedAgoMs = this.options.clock.now() - startedAt;
    const extra = kind === 'lookup' || result === undefined ? {} : { result };
    const usage = state === 'running' ? { usage: size } : {};
    return {
      ...{ task, attempt, team, job, kind, size, startedAgoMs, state },
      ...{ ...extra, ...usage, ...(message ? { message } : {}) },
    };
  }

  private hasChanges(): boolean {
    if (this.faults.leaving !== this.reportedLeaving) return true;
    return [...this.tasks.values()].some(
      ({ state, request }) => state !== 'running' && request.kind !== 'lookup',
    );
  }

  private async waitForChange(waitMs: number): Promise<void> {
    const woken = new AbortController();
    const watcher = () => woken.abort();
    this.watchers.add(watcher);
    await this.options.clock.sleep(waitMs, woken.signal);
    this.watchers.delete(watcher);
  }
}
