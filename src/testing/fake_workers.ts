/**
 * Workers in memory, on the clock of a test, with faults that a test can switch on.
 */
import { Right } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { RunningTask, StartRequest, Upstream } from '../schema/mod.ts';
import type { Workers } from '../workers/mod.ts';

/** What happens to the messages of a worker. */
export interface Faults {
  unreachable?: boolean;
  loseStart?: 'request' | 'answer';
  refuseStarts?: boolean;
}

interface Program {
  epoch: number;
  capacity: Upstream['capacity'];
  tasks: Map<string, RunningTask & { startedAt: number; leaseUntil: number }>;
  seen: Map<string, number>;
  changed: Set<string>;
  wake: AbortController;
  leaving: boolean;
}

/** The fake, with what a test may do to it. */
export interface FakeWorkers extends Workers {
  faults: Record<string, Faults>;
  starts: { worker: string; request: StartRequest; at: number }[];
  /** Bodies of the tasks that ran, with how often. */
  ran: Map<unknown, number>;
  running(worker: string): RunningTask[];
  /** Ends a task; lookups end by themselves after `lookupMs`. */
  end(worker: string, task: string, state?: 'finished' | 'failed'): void;
  setLeaving(worker: string, leaving: boolean): void;
}

const refused = failWith(ErrorKind.WorkerRefused, 'refused by the fake');
const unreachable = failWith(ErrorKind.WorkerUnreachable, 'cut off by the test');

/**
 * Makes the fake.
 *
 * @example
 * const workers = makeFakeWorkers({ clock, lookupMs: 20 });
 */
export function makeFakeWorkers(options: { clock: Clock; lookupMs?: number }): FakeWorkers {
  const { clock, lookupMs = 20 } = options;
  const programs = new Map<string, Program>();
  const faults: Record<string, Faults> = {};
  const starts: FakeWorkers['starts'] = [];
  const ran: FakeWorkers['ran'] = new Map();

  const open = ({ id, capacity }: Upstream): Program => {
    const program = programs.get(id) ?? {
      epoch: 0,
      capacity,
      tasks: new Map(),
      seen: new Map(),
      changed: new Set(),
      wake: new AbortController(),
      leaving: false,
    };
    programs.set(id, program);
    return program;
  };
  const change = (program: Program, task: string, state: RunningTask['state']) => {
    const found = program.tasks.get(task);
    if (!found || !['running', 'checkpointing'].includes(found.state)) return;
    Object.assign(found, { state });
    program.changed.add(task);
    program.wake.abort();
  };
  const lapse = (program: Program) =>
    program.tasks.forEach(({ task, leaseUntil }) => {
      if (leaseUntil < clock.now()) change(program, task, 'stopped');
    });
  const view = (program: Program) => {
    lapse(program);
    return [...program.tasks.values()].map(({ startedAt, leaseUntil, ...task }) => ({
      ...task,
      startedAgoMs: clock.now() - startedAt,
    }));
  };
  const state = (id: string, program: Program) => ({
    worker: id,
    epoch: program.epoch,
    capacity: program.capacity,
    leaving: program.leaving,
    tasks: view(program),
    clockMs: clock.now(),
  });
  const admit = (program: Program, request: StartRequest) => {
    if (request.epoch < program.epoch) return failWith(ErrorKind.EpochStale, 'epoch is stale');
    if (request.notAfterMs < clock.now()) return refused;
    if ((program.seen.get(request.task) ?? 0) >= request.attempt) return refused;
    const { task, attempt, team, job, kind, size } = request;
    program.seen.set(task, attempt);
    program.changed.delete(task);
    ran.set(request.body, (ran.get(request.body) ?? 0) + 1);
    program.tasks.set(task, {
      ...{ task, attempt, team, job, kind, size, state: 'running' as const, startedAgoMs: 0 },
      startedAt: clock.now(),
      leaseUntil: clock.now() + request.leaseMs,
    });
    return undefined;
  };

  return {
    faults,
    starts,
    ran,
    running: (worker) => {
      const program = programs.get(worker);
      return program ? view(program).filter((task) => task.state === 'running') : [];
    },
    end: (worker, task, ended = 'finished') => {
      const program = programs.get(worker);
      if (program) change(program, task, ended);
    },
    setLeaving: (worker, leaving) => {
      const program = programs.get(worker);
      if (program) Object.assign(program, { leaving });
    },
    async fence(upstream, { epoch }) {
      if (faults[upstream.id]?.unreachable) return unreachable;
      const program = open(upstream);
      if (epoch < program.epoch) return failWith(ErrorKind.EpochStale, 'epoch is stale');
      Object.assign(program, { epoch });
      return Right(state(upstream.id, program));
    },
    async start(upstream, request) {
      const fault = faults[upstream.id] ?? {};
      starts.push({ worker: upstream.id, request, at: clock.now() });
      if (fault.unreachable) return unreachable;
      if (fault.refuseStarts) return refused;
      const unknown = failWith(ErrorKind.OutcomeUnknown, 'lost by the test');
      if (fault.loseStart === 'request') return unknown;
      const program = open(upstream);
      const refusal = admit(program, request);
      if (refusal) return refusal;
      if (fault.loseStart === 'answer') {
        const lost = async () => {
          await clock.sleep(lookupMs);
          program.tasks.delete(request.task);
        };
        if (request.kind === 'lookup') lost().catch(() => undefined);
        return unknown;
      }
      const { task, attempt, body } = request;
      if (request.kind !== 'lookup') return Right({ task, attempt, status: 'running' as const });
      await clock.sleep(lookupMs);
      program.tasks.delete(task);
      return Right({ task, attempt, status: 'finished' as const, body, runMs: lookupMs });
    },
    async renew(upstream, request) {
      if (faults[upstream.id]?.unreachable) return unreachable;
      const program = open(upstream);
      if (request.epoch < program.epoch) return failWith(ErrorKind.EpochStale, 'epoch is stale');
      lapse(program);
      (request.acknowledged ?? []).forEach((task) => {
        if (!program.changed.delete(task)) return;
        program.tasks.delete(task);
      });
      program.tasks.forEach((task) =>
        Object.assign(task, { leaseUntil: clock.now() + request.leaseMs }),
      );
      if (program.changed.size === 0) {
        program.wake = new AbortController();
        await clock.sleep(request.waitMs ?? 0, program.wake.signal);
      }
      if (faults[upstream.id]?.unreachable) return failWith(ErrorKind.OutcomeUnknown, 'cut off');
      const changed = view(program).filter(({ task }) => program.changed.has(task));
      return Right({ changed, leaving: program.leaving, clockMs: clock.now() });
    },
    async stop(upstream, { epoch, task, mode }) {
      if (faults[upstream.id]?.unreachable) return unreachable;
      const program = open(upstream);
      if (epoch < program.epoch) return failWith(ErrorKind.EpochStale, 'epoch is stale');
      if (mode !== 'throttle') change(program, task, 'stopped');
      const found = view(program).find((running) => running.task === task);
      return found ? Right(found) : failWith(ErrorKind.NotFound, 'no such task');
    },
    async list(upstream, { epoch }) {
      if (faults[upstream.id]?.unreachable) return unreachable;
      const program = open(upstream);
      if (epoch < program.epoch) return failWith(ErrorKind.EpochStale, 'epoch is stale');
      return Right(state(upstream.id, program));
    },
  };
}
