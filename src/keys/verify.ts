/**
 * Verifies presented keys against the settings in force.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Fleet, KeyHash } from '../settings/mod.ts';
import { hashKey, parseKey } from './issue.ts';
import type { KeyName } from './issue.ts';

/** Whose key was verified, and the hash that it matched. */
export type KeyHolder = KeyName & { hash: string };

/** Verifies keys; one per process. */
export interface Verifier {
  /** Fails with `key-rejected`, or `too-many-connections` while too many unknown keys wait. */
  verify(key: string): Outcome<KeyHolder>;
  /** True while the settings in force still have the verified key. */
  isInForce(holder: KeyHolder): boolean;
  /** Runs of scrypt so far, and those at work or waiting now. */
  state(): { runs: number; running: number; waiting: number; cached: number };
}

// Two runs leave threads of the pool (4 by default) to name resolution and files.
const maxRunning = 2;
// A key in use is presented by many requests at once after a start; those share one run. More
// distinct texts than this for one key id are guesses.
const maxWaitingPerKey = 8;
// A fleet of 180 teams has some hundred keys.
const maxAccepted = 4_096;
const maxRejected = 4_096;

/** Remembers a bounded number of digests, dropping the one used longest ago. */
function makeRecent(capacity: number) {
  const digests = new Set<string>();
  return {
    has(digest: string): boolean {
      if (!digests.delete(digest)) return false;
      digests.add(digest);
      return true;
    },
    add(digest: string): void {
      digests.add(digest);
      const [oldest] = digests;
      if (digests.size > capacity && oldest !== undefined) digests.delete(oldest);
    },
    size: () => digests.size,
  };
}

/** Runs at most `maxRunning` functions at once, in order. */
function makeLane() {
  const waiters: (() => void)[] = [];
  let running = 0;
  return {
    async run<T>(work: () => Promise<T>): Promise<T> {
      if (running >= maxRunning) {
        await new Promise<void>((resolve) => {
          waiters.push(resolve);
        });
      } else running += 1;
      try {
        return await work();
      } finally {
        const next = waiters.shift();
        // The place passes straight to the next in line.
        if (next) next();
        else running -= 1;
      }
    },
    state: () => ({ running, waiting: waiters.length }),
  };
}

function findHash(fleet: Fleet, name: KeyName): KeyHash | undefined {
  if (name.owner === 'operator') return fleet.operators.find(({ id }) => id === name.id);
  const team = Object.hasOwn(fleet.teams, name.team) ? fleet.teams[name.team] : undefined;
  return team?.keys.find(({ id }) => id === name.id);
}

function digestOf(key: string, { salt, hash }: KeyHash): string {
  return createHash('sha256').update(`${salt}:${hash}:${key}`).digest('base64url');
}

function isSame(a: string, b: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(a), digest(b));
}

function reject(): Either<Failure, never> {
  // One message for every cause, so that a guess learns nothing.
  return failWith(
    ErrorKind.KeyRejected,
    'the key is not valid: it is unknown, withdrawn or mistyped',
  );
}

/**
 * Makes the verifier of a process. `hash` is the slow hash; only tests pass their own.
 *
 * @example
 * const verifier = makeVerifier({ fleet: settings.current });
 * const holder = await verifier.verify(key);
 */
export function makeVerifier(options: {
  fleet: () => Fleet;
  hash?: (key: string, salt: string) => Promise<string>;
}): Verifier {
  const { fleet, hash = hashKey } = options;
  const accepted = makeRecent(maxAccepted);
  // Apart from the accepted, so that guesses cannot push out keys in use.
  const rejected = makeRecent(maxRejected);
  const pending = new Map<string, Promise<boolean>>();
  const waitingPerKey = new Map<string, number>();
  const lane = makeLane();
  let runs = 0;

  const compare = async (key: string, known: KeyHash): Promise<boolean> => {
    const digest = digestOf(key, known);
    const count = waitingPerKey.get(known.hash) ?? 0;
    waitingPerKey.set(known.hash, count + 1);
    try {
      const computed = await lane.run(() => {
        runs += 1;
        return hash(key, known.salt);
      });
      const same = isSame(computed, known.hash);
      (same ? accepted : rejected).add(digest);
      return same;
    } finally {
      const left = (waitingPerKey.get(known.hash) ?? 1) - 1;
      if (left > 0) waitingPerKey.set(known.hash, left);
      else waitingPerKey.delete(known.hash);
      pending.delete(digest);
    }
  };

  const isInForce = (holder: KeyHolder) => findHash(fleet(), holder)?.hash === holder.hash;

  return {
    isInForce,
    async verify(key) {
      const name = parseKey(key);
      const known = name && findHash(fleet(), name);
      if (!known) return reject();
      const holder: KeyHolder = { ...name, hash: known.hash };
      const digest = digestOf(key, known);
      if (accepted.has(digest)) return Right(holder);
      if (rejected.has(digest)) return reject();
      let result = pending.get(digest);
      if (!result) {
        if ((waitingPerKey.get(known.hash) ?? 0) >= maxWaitingPerKey) {
          return failWith(
            ErrorKind.TooManyConnections,
            'too many unverified keys wait under this key id',
          );
        }
        result = compare(key, known);
        pending.set(digest, result);
      }
      const same = await result;
      // The key may have been withdrawn while its hash was computed.
      return same && isInForce(holder) ? Right(holder) : reject();
    },
    state: () => ({ runs, ...lane.state(), cached: accepted.size() }),
  };
}
