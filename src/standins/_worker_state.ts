/**
 * The rules of a worker, without sockets: room, epochs, attempts, leases and running tasks.
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

/** One start, as tests read it to assert that a task ran at most once, and never twice at a time. */
export interface StartRecord {
  worker: string;
  task: string;
  attempt: number;
  epoch: number;
  team: string;
  kind: string;
  /** The `answer` of the body, which shows two starts of one request under different task ids. */
  answer?: unknown;
  /** Wall-clock times, comparable between workers of one machine. */
  startedAt: number;
  endedAt?: number;
  state: TaskState;
}

/** Faults of a worker. */
export interface WorkerFaults {
  /** Every task fails as it starts. */
  failStarts: boolean;
  leaving: boolean;
  /** Run time of every task instead of its own. */
  runMs: number | undefined;
}

/** Work of a task: a timer that ends with an answer. */
interface TaskBody {
  runMs?: number;
  answer?: unknown;
  fail?: boolean;
}

interface Held {
  request: StartRequest;
  startedAt: number;
  leaseUntil: number;
  state: TaskState;
  record: StartRecord;
  ended: AbortController;
  endedAt?: number;
  result?: unknown;
  message?: string;
}

const defaultRunMs = 20;
const checkpointMs = 20;
// Shows a scheduler that confuses its own clock with the worker's.
const clockOffsetMs = 1_000_000;
const dimensions = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

/** A refusal, as a worker answers it. */
export interface Refusal {
  refusal: Failure;
}

function refuseWith(kind: ErrorKind, message: string): Refusal {
  return { refusal: makeFailure(kind, message) };
}

/** A worker that runs timers. */
export class WorkerModel {
  readonly faults: WorkerFaults = { failStarts: false, leaving: false, runMs: undefined };

  readonly starts: StartRecord[] = [];

  private readonly options: { clock: Clock; id: string; capacity: Size };

  private epoch = 0;

  private attempts = new Map<string, number>();

  private tasks = new Map<string, Held>();

  private toldLeaving = false;

  private watchers = new Set<() => void>();

  constructor(options: { clock: Clock; id: string; capacity: Size }) {
    this.options = options;
  }

  fence(epoch: number): WorkerState | Refusal {
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
      tasks: [...this.tasks.values()].map((held) => this.describe(held)),
      clockMs: this.clockMs(),
    };
  }

  /** Starts a task; a lookup is answered when it has ended. */
  start(request: StartRequest): Promise<StartAnswer> | Refusal {
    const refusal = this.raiseEpoch(request.epoch) ?? this.checkStart(request);
    if (refusal) return refusal;
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
    const ended = new AbortController();
    const leaseUntil = startedAt + leaseMs;
    const held: Held = { request, startedAt, leaseUntil, state: 'running', record, ended };
    this.tasks.set(task, held);
    const done = this.run(held);
    this.guardLease(held).catch(() => undefined);
    if (kind === 'lookup') return done.then(() => this.answer(held));
    return Promise.resolve(this.answer(held));
  }

  async renew(request: RenewRequest): Promise<RenewAnswer | Refusal> {
    const { epoch, leaseMs, acknowledged = [], waitMs = 0, notAfterMs = Infinity } = request;
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    if (this.clockMs() > notAfterMs) {
      return refuseWith(ErrorKind.WorkerRefused, 'the renewal came too late');
    }
    acknowledged.forEach((task) => {
      if (this.tasks.get(task)?.ended.signal.aborted) this.tasks.delete(task);
    });
    const arrivedAt = this.options.clock.now();
    const leaseUntil = arrivedAt + leaseMs;
    this.tasks.forEach((held) => Object.assign(held, { leaseUntil }));
    if (waitMs > 0 && !this.hasNews()) await this.waitForNews(waitMs);
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    this.toldLeaving = this.faults.leaving;
    // The owner has the answer of a lookup that ended later, and acknowledges it with its next renewal.
    const changed = [...this.tasks.values()].filter(
      ({ state, request: { kind }, endedAt = 0 }) =>
        state !== 'running' && (kind !== 'lookup' || endedAt < arrivedAt),
    );
    return {
      changed: changed.map((held) => this.describe(held)),
      leaving: this.faults.leaving,
      clockMs: this.clockMs(),
    };
  }

  stop({ epoch, task, mode }: StopRequest): RunningTask | Refusal {
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    const held = this.tasks.get(task);
    if (!held) return refuseWith(ErrorKind.NotFound, `task ${task} is not known here`);
    if (mode === 'stop') this.end(held, 'stopped');
    if (mode === 'checkpoint' && held.state === 'running') {
      held.state = 'checkpointing';
      this.notify();
      this.options.clock.sleep(checkpointMs, held.ended.signal).then(
        () => this.end(held, 'stopped'),
        () => undefined,
      );
    }
    return this.describe(held);
  }

  /** Ends all tasks without a trace, as a power failure does; epoch and attempts are kept. */
  crash(): void {
    this.tasks.forEach((held) => this.end(held, 'stopped'));
    this.tasks.clear();
    this.notify();
  }

  /** Wakes the renewal that waits; called after a change of the faults. */
  notify(): void {
    this.watchers.forEach((watcher) => watcher());
  }

  private clockMs(): number {
    return this.options.clock.now() + clockOffsetMs;
  }

  private raiseEpoch(epoch: number): Refusal | undefined {
    if (epoch < this.epoch) return this.staleEpoch(epoch);
    if (epoch > this.epoch) {
      this.epoch = epoch;
      this.notify();
    }
    return undefined;
  }

  private staleEpoch(epoch: number): Refusal {
    return refuseWith(ErrorKind.EpochStale, `epoch ${epoch} is below ${this.epoch}`);
  }

  private checkStart({ task, attempt, notAfterMs, size }: StartRequest): Refusal | undefined {
    const now = this.clockMs();
    const { capacity } = this.options;
    const refused = (message: string) => refuseWith(ErrorKind.WorkerRefused, message);
    if (now > notAfterMs) return refused(`start came ${Math.ceil(now - notAfterMs)} ms too late`);
    if (attempt <= (this.attempts.get(task) ?? 0)) return refused(`attempt ${attempt} was seen`);
    if (this.faults.leaving) return refused('worker is leaving');
    const short = dimensions.find((name) => this.used(name) + size[name] > capacity[name]);
    return short ? refused(`not enough ${short}`) : undefined;
  }

  private used(name: keyof Size): number {
    let sum = 0;
    this.tasks.forEach(({ request, ended }) => {
      if (!ended.signal.aborted) sum += request.size[name];
    });
    return sum;
  }

  private async run(held: Held): Promise<void> {
    const { clock, id } = this.options;
    const { request, ended } = held;
    const body = (request.body ?? {}) as TaskBody;
    const usualMs = request.kind === 'service' ? Infinity : defaultRunMs;
    const runMs = this.faults.runMs ?? body.runMs ?? usualMs;
    if (this.faults.failStarts) this.end(held, 'failed');
    if (ended.signal.aborted || !Number.isFinite(runMs)) return;
    await clock.sleep(runMs, ended.signal);
    if (ended.signal.aborted) return;
    Object.assign(held, { result: { ...body, worker: id, task: request.task } });
    this.end(held, body.fail === true ? 'failed' : 'finished');
  }

  private async guardLease(held: Held): Promise<void> {
    const { clock } = this.options;
    while (!held.ended.signal.aborted) {
      const left = held.leaseUntil - clock.now();
      if (left <= 0) this.end(held, 'stopped', 'lease expired');
      else await clock.sleep(left, held.ended.signal);
    }
  }

  private end(held: Held, state: TaskState, message?: string): void {
    if (held.ended.signal.aborted) return;
    const { clock } = this.options;
    const reason = message ?? (state === 'failed' ? 'failed' : undefined);
    Object.assign(held, { state, message: reason, endedAt: clock.now() });
    Object.assign(held.record, { state, endedAt: clock.wallTime() });
    held.ended.abort();
    // The end of a lookup is in its own answer and wakes nobody.
    if (held.request.kind !== 'lookup') this.notify();
  }

  private answer({ request, state, result, startedAt, message }: Held): StartAnswer {
    const { task, attempt } = request;
    if (state === 'running') return { task, attempt, status: 'running' };
    const runMs = this.options.clock.now() - startedAt;
    const status = state === 'finished' ? 'finished' : 'failed';
    return { task, attempt, status, body: result, runMs, ...(message ? { message } : {}) };
  }

  private describe({ request, state, startedAt, result, message }: Held): RunningTask {
    const { task, attempt, team, job, kind, size } = request;
    const startedAgoMs = this.options.clock.now() - startedAt;
    const extra = kind === 'lookup' || result === undefined ? {} : { result };
    const usage = state === 'running' ? { usage: size } : {};
    return {
      ...{ task, attempt, team, job, kind, size, startedAgoMs, state },
      ...{ ...extra, ...usage, ...(message ? { message } : {}) },
    };
  }

  private hasNews(): boolean {
    if (this.faults.leaving !== this.toldLeaving) return true;
    return [...this.tasks.values()].some(
      ({ state, request }) => state !== 'running' && request.kind !== 'lookup',
    );
  }

  private async waitForNews(waitMs: number): Promise<void> {
    const woken = new AbortController();
    const watcher = () => woken.abort();
    this.watchers.add(watcher);
    await this.options.clock.sleep(waitMs, woken.signal);
    this.watchers.delete(watcher);
  }
}
