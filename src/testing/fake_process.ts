/**
 * Several processes of the scheduler in one test: real pools and lookups over fake workers, with
 * peers that are called directly.
 */
import { Right } from 'purify-ts';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import type { Random, VirtualClock } from '../clock/mod.ts';
import type { PlacementIndex } from '../decisions/mod.ts';
import { makeLookups, makePeerChoice } from '../dispatch/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import type { Limits } from '../limits/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { Phase } from '../membership/mod.ts';
import { silentMetrics } from '../metrics/mod.ts';
import type { Peer, Peers } from '../peers/mod.ts';
import { makePool } from '../pool/mod.ts';
import type { Requests } from '../requests/mod.ts';
import { decode, validators } from '../schema/mod.ts';
import type { Member, Upstream } from '../schema/mod.ts';
import { makeFakeLimits, makeFakeOwnership } from './fake_fleet.ts';
import type { FakeSettings } from './fake_fleet.ts';
import type { FakeWorkers } from './fake_workers.ts';
import { makeFirstFit } from './first_fit.ts';

/**
 * A member row.
 *
 * @example
 * fakeMember('m1');
 */
export function fakeMember(id: string): Member {
  return {
    ...{ id, address: '127.0.0.1', port: 1, dataCentre: 'dc1', region: 'north' },
    ...{ joined: 1, seen: 1, sequence: 1, operation: 'o', draining: false },
  };
}

/** Request claims that are always first. */
export const firstRequests: Requests = {
  claim: async () => Right({ verdict: 'first' }),
  withdraw: () => undefined,
  storeResponse: () => undefined,
  respondAsWitness: () => Right({ verdict: 'first' }),
  formerViews: () => ({ complete: true, views: [] }),
  dump: () => ({}),
};

/** The state that the processes of a test share. */
export interface SharedFakes {
  clock: VirtualClock;
  workers: FakeWorkers;
  settings: FakeSettings;
  members: Member[];
  /** Handlers by member id; a missing one can't be reached. */
  handlers: Map<string, Partial<Peer>>;
  random?: Random;
}

const questions: Partial<Record<keyof Peer, unknown>> = {
  lookup: validators.validateHandedLookup,
  submit: validators.validateSubmitQuestion,
  hold: validators.validateHoldQuestion,
  commit: validators.validateCommitQuestion,
  stop: validators.validateStopQuestion,
  ended: validators.validateEndedQuestion,
  attempt: validators.validateAttemptQuestion,
};

/** Peers that call the handlers of the other processes, with questions as the wire carries them. */
function connectPeers({ handlers, clock }: SharedFakes): Peers {
  return ({ id }) =>
    new Proxy({} as Peer, {
      get: (_target, method: keyof Peer) => async (question: never, options: never) => {
        await clock.sleep(1);
        const handle = handlers.get(id)?.[method] as
          ((question: never, options: never) => Promise<unknown>) | undefined;
        if (!handle) return failWith(ErrorKind.PeerUnavailable, `peer ${id} is away`);
        const validator = questions[method];
        const sent = JSON.parse(JSON.stringify(question)) as never;
        if (validator) decode(validator, sent).ifLeft(({ message }) => assert.unreachable(message));
        return handle(sent, options);
      },
    });
}

/**
 * Makes one process that owns the upstreams.
 *
 * @example
 * const process = await makeFakeProcess(shared, { id: 'm1', upstreams, units: { a: 8 } });
 */
export async function makeFakeProcess(
  shared: SharedFakes,
  options: {
    id: string;
    upstreams: Upstream[];
    units: Record<string, number>;
    requests?: Requests;
    placement?: PlacementIndex;
    /** Replaces the limits that hold `units` and never change. */
    limits?: Limits;
  },
) {
  const { clock, workers, settings, members, handlers, random = makeRandom(3) } = shared;
  const { id, upstreams, units, requests = firstRequests } = options;
  const { placement = makeFirstFit() } = options;
  const { limits = makeFakeLimits(units) } = options;
  const ownership = makeFakeOwnership();
  const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
  const membership = {
    id: () => id,
    phase: () => Phase.Full,
    isFresh: () => true,
    freshUntil: () => clock.now() + 2_500,
    view: () => ({ version: 1, members }),
    recentViews: () => [{ view: { version: 1, members }, replacedAgoMs: 0 }],
  };
  const common = {
    clock,
    random,
    limits,
    invariants,
    membership,
    settings,
    metrics: silentMetrics,
  };
  const log = silentLogger;
  const pool = makePool({ ...common, log, workers, placement, ownership });
  const peers = connectPeers(shared);
  const peerChoice = makePeerChoice({ clock, random, membership, holders: limits.holders });
  const lookups = makeLookups({ ...common, log, pool, peers, peerChoice, requests });
  handlers.set(id, { lookup: lookups.runForwarded });
  for (const upstream of upstreams) {
    const state = await workers.fence(upstream, { owner: id, epoch: 1 });
    state.ifRight((fenced) =>
      ownership.observers.forEach((observer) => observer.acquired({ upstream, epoch: 1 }, fenced)),
    );
  }
  return { ...common, id, pool, lookups, ownership, peers, peerChoice, log };
}

/** One process of a test. */
export type FakeProcess = Awaited<ReturnType<typeof makeFakeProcess>>;
