/**
 * Workers for randomised runs: epochs, attempts, leases and not-after as the protocol demands, but no
 * check of local room, since the scheduler must not rely on it.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { VirtualClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type {
  RenewAnswer,
  RenewRequest,
  RunningTask,
  StartAnswer,
  StartRequest,
  StopRequest,
  Upstream,
  WorkerState,
} from '../schema/mod.ts';

/** A task on a simulated worker. */
export interface SimTask extends RunningTask {
  startedAt: number;
  leaseUntil: number;
  endsAt: number;
  idempotent: boolean;
}

/** What the oracle hears of. */
export interface WorkerObserver {
  started(worker: SimWorker, task: SimTask, epoch: number): void;
}

const liveStates: string[] = ['running', 'checkpointing'];
const clockOffsetMs = 500_000;
const newsPollMs = 250;

/** One simulated worker. */
export class SimWorker {
  readonly upstream: Upstream;

  readonly tasks = new Map<string, SimTask>();

  private readonly clock: VirtualClock;

  private readonly observer: WorkerObserver;

  private epoch = 0;

  private seen = new Map<string, number>();

  constructor(upstream: Upstream, options: { clock: VirtualClock; observer: WorkerObserver }) {
    this.upstream = upstream;
    this.clock = options.clock;
    this.observer = options.observer;
  }

  /** Tasks that run now. */
  running(): SimTask[] {
    const now = this.clock.now();
    this.tasks.forEach((task) => {
      if (!liveStates.includes(task.state)) return;
      const finished = task.endsAt <= now && task.endsAt <= task.leaseUntil;
      if (finished) Object.assign(task, { state: 'finished' });
      else if (task.leaseUntil <= now) Object.assign(task, { state: 'stopped' });
    });
    return [...this.tasks.values()].filter(({ state }) => liveStates.includes(state));
  }

  private check(epoch: number): Either<Failure, never> | undefined {
    this.running();
    if (this.upstream.fencing && epoch < this.epoch)
      return failWith(ErrorKind.EpochStale, `epoch ${epoch} < ${this.epoch}`);
    return undefined;
  }

  private describe({ startedAt, leaseUntil, endsAt, idempotent, ...task }: SimTask): RunningTask {
    return { ...task, startedAgoMs: this.clock.now() - startedAt };
  }

  state(): WorkerState {
    const { id, capacity } = this.upstream;
    return {
      ...{ worker: id, epoch: this.epoch, capacity, leaving: false },
      tasks: [...this.tasks.values()].map((task) => this.describe(task)),
      clockMs: this.clock.now() + clockOffsetMs,
    };
  }

  fence(epoch: number): Either<Failure, WorkerState> {
    const stale = this.check(epoch);
    if (stale) return stale;
    this.epoch = epoch;
    return Right(this.state());
  }

  list(epoch: number): Either<Failure, WorkerState> {
    return this.check(epoch) ?? Right(this.state());
  }

  start(request: StartRequest): Either<Failure, StartAnswer> {
    const stale = this.check(request.epoch);
    if (stale) return stale;
    const { task, attempt, team, job, kind, size, epoch, leaseMs, idempotent } = request;
    const now = this.clock.now();
    const { fencing } = this.upstream;
    const late = now + clockOffsetMs > request.notAfterMs;
    if (fencing && late) return failWith(ErrorKind.WorkerRefused, 'too late');
    if ((this.seen.get(task) ?? 0) >= attempt) return failWith(ErrorKind.WorkerRefused, 'seen');
    this.epoch = epoch;
    this.seen.set(task, attempt);
    const { runMs = 1_000 } = request.body as { runMs?: number };
    const entry: SimTask = {
      ...{ task, attempt, team, job, kind, size, idempotent, state: 'running', startedAgoMs: 0 },
      ...{ startedAt: now, leaseUntil: now + leaseMs, endsAt: now + runMs },
    };
    this.tasks.set(task, entry);
    this.observer.started(this, entry, epoch);
    return Right({ task, attempt, status: 'running' });
  }

  renew(request: RenewRequest): Either<Failure, RenewAnswer> {
    const stale = this.check(request.epoch);
    if (stale) return stale;
    const now = this.clock.now();
    if (now + clockOffsetMs > (request.notAfterMs ?? Infinity)) {
      return failWith(ErrorKind.WorkerRefused, 'too late');
    }
    const running = this.running();
    request.acknowledged?.forEach((task) => {
      if (!liveStates.includes(this.tasks.get(task)?.state ?? 'gone')) this.tasks.delete(task);
    });
    running.forEach((task) => Object.assign(task, { leaseUntil: now + request.leaseMs }));
    return this.news(request.epoch);
  }

  /** Holds the answer back while no task changes. */
  async renewAndWait(request: RenewRequest): Promise<Either<Failure, RenewAnswer>> {
    const until = this.clock.now() + (request.waitMs ?? 0);
    for (let answer = this.renew(request); ; answer = this.news(request.epoch)) {
      const quiet = answer.isRight() && answer.unsafeCoerce().changed.length === 0;
      if (!quiet || this.clock.now() >= until) return answer;
      await this.clock.sleep(newsPollMs);
    }
  }

  private news(epoch: number): Either<Failure, RenewAnswer> {
    const stale = this.check(epoch);
    if (stale) return stale;
    const changed = [...this.tasks.values()].filter(({ state }) => state !== 'running');
    return Right({
      changed: changed.map((task) => this.describe(task)),
      leaving: false,
      clockMs: this.clock.now() + clockOffsetMs,
    });
  }

  stop({ epoch, task, mode }: StopRequest): Either<Failure, RunningTask> {
    const stale = this.check(epoch);
    if (stale) return stale;
    const entry = this.tasks.get(task);
    if (!entry) return failWith(ErrorKind.NotFound, 'no such task');
    if (mode === 'stop' && liveStates.includes(entry.state)) entry.state = 'stopped';
    return Right(this.describe(entry));
  }
}
