/**
 * One entry process of a randomised run: the real membership, ownership, limits, writer lane,
 * settings and pool over the simulated table, workers and peers.
 */
import { Left, Right } from 'purify-ts';

import type { Clock, Random, VirtualClock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { makeInvariantChecker } from '../invariants/mod.ts';
import { limitsRules, makeLimits, setLimit } from '../limits/mod.ts';
import type { LimitsRules, LimitsTask, Units } from '../limits/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeMembership, membershipRules } from '../membership/mod.ts';
import type { MembershipRules, MembershipTask } from '../membership/mod.ts';
import { silentMetrics } from '../metrics/mod.ts';
import { makeOwnership, ownershipRules } from '../ownership/mod.ts';
import type { OwnershipRules, OwnershipTask } from '../ownership/mod.ts';
import type { Peer, Peers } from '../peers/mod.ts';
import { makePool } from '../pool/mod.ts';
import type { Pool } from '../pool/mod.ts';
import type { Member, Need, Transaction } from '../schema/mod.ts';
import { commitChange, makeSettings } from '../settings/mod.ts';
import type { SettingsHolder } from '../settings/mod.ts';
import { makeWriter } from '../table/mod.ts';
import type { Table, TableState } from '../table/mod.ts';
import type { Workers } from '../workers/mod.ts';
import { makeFirstFit } from './first_fit.ts';
import { gatedClock, makeGate } from './sim_network.ts';
import type { Gate, Network } from './sim_network.ts';
import type { SimWorker } from './sim_workers.ts';

/** Safety rules that a run can replace. */
export interface Rules {
  membership: MembershipRules;
  limits: LimitsRules;
  ownership: OwnershipRules;
  /** Wraps the workers as a process sees them. */
  workers: (workers: Workers) => Workers;
  freshUntil: (membership: Pick<MembershipTask, 'freshUntil'>, now: number) => number;
  park: (limits: LimitsTask) => Pick<LimitsTask, 'park'>;
  /** How often a start without an answer is sent. */
  sends: number;
}

/** The rules in force. */
export const rules: Rules = {
  membership: membershipRules,
  limits: limitsRules,
  ownership: ownershipRules,
  workers: (workers) => workers,
  freshUntil: (membership) => membership.freshUntil(),
  park: (limits) => limits,
  sends: 1,
};

/** What a process is part of. */
export interface Surroundings {
  clock: VirtualClock;
  random: Random;
  network: Network;
  state: TableState;
  workers: Map<string, SimWorker>;
  processes: Map<string, SimProcess>;
  rules: Rules;
  onViolation: (name: string, detail: string) => void;
  onFleet: (process: string, version: number) => void;
  onNotRun: (task: string) => void;
  hostGoneMs: (address: string) => number | undefined;
}

/** A process of the run. */
export interface SimProcess {
  name: string;
  gate: Gate;
  clock: Clock;
  step: { wallMs: number };
  membership: MembershipTask;
  ownership: OwnershipTask;
  limits: LimitsTask;
  pool: Pool;
  settings: SettingsHolder;
  ids: string[];
  start(task: string, options: { team: string; runMs: number }): Promise<void>;
  change(files: Record<string, string>): Promise<boolean>;
}

const size = { processors: 2, memoryMb: 1_000, accelerators: 0, slots: 1 };
const kinds = { refusedKind: ErrorKind.TableUnavailable, unknownKind: ErrorKind.TableUnavailable };

/** The exchange that a transaction belongs to, by the rows that it writes. */
function nameOf({ writes }: Transaction): string {
  const has = (prefix: string) => writes.some(({ key }) => key.startsWith(prefix));
  if (has('settings/')) return 'apply settings';
  if (has('departed/')) return has('members/') && has('head') ? 'expel' : 'free units';
  if (has('workers/')) return has('allotments/') ? 'adopt' : 'claim or hand over worker';
  if (has('partitions/')) return 'claim or hand over partition';
  if (has('allotments/')) return 'allot or return';
  if (!has('head')) return 'renew membership';
  return writes.some(({ key, value }) => key.startsWith('members/') && value === undefined)
    ? 'leave'
    : 'join or drain';
}

function simTable(name: string, gate: Gate, { network, state }: Surroundings): Table {
  const to = { from: name, to: 'table', gate, timeoutMs: 600 };
  return {
    read: (keys) => network.call({ ...to, ...kinds, run: () => Right(state.read(keys)) }),
    scan: (prefix, options) =>
      network.call({ ...to, ...kinds, run: () => Right(state.scan(prefix, options)) }),
    transact: (transaction) =>
      network.call({
        ...to,
        refusedKind: ErrorKind.TableUnavailable,
        unknownKind: ErrorKind.TableUnknown,
        name: nameOf(transaction),
        run() {
          const result = state.transact(transaction);
          if ('commit' in result) return Right(result.commit);
          const message = 'rows have other versions';
          return Left(makeFailure(ErrorKind.TableConflict, message, { got: result.conflicts }));
        },
      }),
  };
}

function simWorkers(name: string, gate: Gate, { network, workers }: Surroundings): Workers {
  const call = <T>(
    id: string,
    run: (worker: SimWorker) => ReturnType<SimWorker['list']> | T,
    { timeoutMs = 1_500, exchange = 'list' } = {},
  ) =>
    network.call({
      name: exchange,
      ...{ from: name, to: id, gate, timeoutMs },
      ...{ refusedKind: ErrorKind.WorkerUnreachable, unknownKind: ErrorKind.OutcomeUnknown },
      run: () => run(workers.get(id) as SimWorker) as never,
    }) as never;
  return {
    fence: ({ id }, { epoch }) => call(id, (worker) => worker.fence(epoch), { exchange: 'fence' }),
    start: ({ id }, request) => call(id, (worker) => worker.start(request), { exchange: 'start' }),
    // The worker holds the answer back while no task changes.
    renew: ({ id }, request) =>
      call(id, (worker) => worker.renewAndWait(request), {
        timeoutMs: 12_000,
        exchange: 'renew task',
      }),
    stop: ({ id }, request) => call(id, (worker) => worker.stop(request), { exchange: 'cancel' }),
    list: ({ id }, { epoch }) => call(id, (worker) => worker.list(epoch)),
  };
}

function simPeers(name: string, gate: Gate, { network, processes }: Surroundings): Peers {
  return ({ address }) => {
    const call = <T>(timeoutMs: number, run: (peer: SimProcess) => T): Outcome<T> =>
      network.call({
        ...{ from: name, to: address, gate, timeoutMs },
        ...{ refusedKind: ErrorKind.PeerUnavailable, unknownKind: ErrorKind.OutcomeUnknown },
        async run() {
          const peer = processes.get(address);
          if (!peer) return Left(makeFailure(ErrorKind.PeerUnavailable, 'no such process'));
          await peer.gate.pass();
          return Right(run(peer));
        },
      });
    return {
      fresh: (question) => call(500, (peer) => peer.membership.respondToFreshQuestion(question)),
      changes: ({ after }) => call(500, (peer) => peer.settings.after(after)),
    } as Peer;
  };
}

function makeStart(parts: {
  pool: Pool;
  limits: LimitsTask;
  onNotRun: (task: string) => void;
  sends: number;
  others: () => SimProcess[];
}): SimProcess['start'] {
  const { pool, limits, onNotRun, sends, others } = parts;
  return async (task, { team, runMs }) => {
    const need: Need = { team, queue: 'default', kind: 'batch', size, estimateMs: runMs };
    if (limits.free(team) < 1) await limits.requestUnits(team, 1);
    for (let sent = 1; sent <= sends; sent++) {
      const target = sent === 1 ? pool : (others()[0]?.pool ?? pool);
      const reservation = target.reserve(need).toMaybe().extract();
      if (!reservation) {
        if (sent === 1) onNotRun(task);
        return;
      }
      const launch = { task, attempt: sent, job: task, idempotent: false, body: { runMs } };
      const answer = await target.start(reservation, launch);
      if (answer.isRight()) return;
      if (hasNotRun(answer.extract() as Failure)) {
        if (sent === 1) onNotRun(task);
        return;
      }
    }
  };
}

/**
 * Makes a process and lets it run.
 *
 * @example
 * const process = makeProcess('p1', { place, surroundings });
 */
export function makeProcess(
  name: string,
  {
    place,
    surroundings,
  }: { place: Pick<Member, 'region' | 'dataCentre'>; surroundings: Surroundings },
): SimProcess {
  const { random, rules: replaced, onViolation } = surroundings;
  const gate = makeGate();
  const step = { wallMs: 0 };
  const clock = gatedClock(surroundings.clock, gate, step);
  const table = simTable(name, gate, surroundings);
  const workers = replaced.workers(simWorkers(name, gate, surroundings));
  const invariants = makeInvariantChecker({ onViolation });
  const settings = makeSettings({ table, invariants, log: silentLogger });
  settings.subscribe(({ version }) => surroundings.onFleet(name, version));
  const writer = makeWriter({ table, clock, random, memberKey: `members/${name}` });
  const ids: string[] = [];
  let pool: Pool | undefined;
  let ownershipTask: OwnershipTask | undefined;
  const membership = makeMembership({
    ...{ writer, table, settings, clock, random },
    peers: simPeers(name, gate, surroundings),
    rules: replaced.membership,
    identify() {
      ids.push(`${name}-${ids.length + 1}`);
      return { id: ids.at(-1) ?? name, address: name, port: 1, ...place };
    },
    handOver: async () => ownershipTask?.handOver(),
  });
  const limits = makeLimits({
    ...{ writer, table, settings, clock, invariants, rules: replaced.limits },
    member: () => ({ id: membership.id(), members: membership.view().members.length }),
  });
  const useOf = (worker: string) => {
    const tasks = (pool?.tasks() ?? []).filter((task) => task.worker === worker);
    const units: Units = {};
    tasks.forEach(({ team }) => {
      units[team] = (units[team] ?? 0) + 1;
    });
    return { units, starting: tasks.some(({ state }) => state === 'starting') };
  };
  const ownership = makeOwnership({
    ...{ writer, table, workers, membership, settings, clock, getUsage: useOf },
    limits: { ...limits, ...replaced.park(limits) },
    getHostAbsenceMs: surroundings.hostGoneMs,
    rules: replaced.ownership,
  });
  ownershipTask = ownership;
  pool = makePool({
    ...{ clock, random, workers, limits, invariants, settings, ownership },
    placement: makeFirstFit(),
    membership: { freshUntil: () => replaced.freshUntil(membership, clock.now()) },
    ...{ log: silentLogger, metrics: silentMetrics },
  });
  const made = pool;
  made.onEnded((ended) => made.acknowledge(ended.map(({ task }) => task)));
  const run = async () => {
    while ((await settings.load()).isLeft()) await clock.sleep(500);
    const { signal } = new AbortController();
    await Promise.all([membership.run(signal), limits.run(signal), ownership.run(signal)]);
  };
  run().catch((error: unknown) => onViolation('crash', (error as Error).stack ?? String(error)));
  return {
    ...{ name, gate, clock, step, membership, ownership, limits, pool, settings, ids },
    start: makeStart({
      pool,
      limits,
      sends: replaced.sends,
      onNotRun: surroundings.onNotRun,
      others: () =>
        [...surroundings.processes.values()].filter(
          (other) => other.name !== name && other.gate.isOpen() && other.pool.freeSlots() > 0,
        ),
    }),
    async change(files) {
      const parts = { settings, membership, table, writer, clock, reallot: setLimit };
      const base = settings.current().version;
      const outcome = await commitChange(parts, { base, by: name, note: '', files });
      return outcome.isRight();
    },
  };
}
