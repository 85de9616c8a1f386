/**
 * Verifies presented keys against the current settings.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Fleet, KeyHash } from '../settings/mod.ts';
import { hashKey, parseKey } from './issue.ts';
import type { KeyIdentity } from './issue.ts';

/** The identity of a verified key, and the hash that it matched. */
export type KeyHolder = KeyIdentity & { hash: string };

/** Verifies keys; a process has one verifier. */
export interface KeyVerifier {
  /** Fails with `key-rejected`, or `too-many-connections` while too many unverified keys wait. */
  verify(key: string): Outcome<KeyHolder>;
  /** True while the current settings still contain the verified key. */
  isInForce(holder: KeyHolder): boolean;
  /** The scrypt runs so far, those running or waiting now, and the number of cached keys. */
  state(): { runs: number; running: number; waiting: number; cached: number };
}

// Two runs leave threads of the libuv pool (4 by default) for name resolution and file access.
const maxConcurrentHashes = 2;
// Concurrent requests with the same key share one run, as after a restart of the process. More
// distinct texts than this under one key id are guesses.
const maxPendingPerKey = 8;
// A fleet of 180 teams has a few hundred keys.
const maxAcceptedDigests = 4_096;
const maxRejectedDigests = 4_096;

/** Creates an LRU cache of digests. */
function makeDigestCache(capacity: number) {
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

/** Creates a FIFO queue that runs at most `maxConcurrentHashes` functions at once. */
function makeHashQueue() {
  const waiters: (() => void)[] = [];
  let running = 0;
  return {
    async run<T>(task: () => Promise<T>): Promise<T> {
      if (running >= maxConcurrentHashes) {
        await new Promise<void>((resolve) => {
          waiters.push(resolve);
        });
      } else running += 1;
      try {
        return await task();
      } finally {
        const next = waiters.shift();
        // The next waiter takes over the slot, so `running` does not change.
        if (next) next();
        else running -= 1;
      }
    },
    state: () => ({ running, waiting: waiters.length }),
  };
}

function findHash(fleet: Fleet, identity: KeyIdentity): KeyHash | undefined {
  if (identity.owner === 'operator') return fleet.operators.find(({ id }) => id === identity.id);
  const team = Object.hasOwn(fleet.teams, identity.team) ? fleet.teams[identity.team] : undefined;
  return team?.keys.find(({ id }) => id === identity.id);
}

function computeDigest(key: string, { salt, hash }: KeyHash): string {
  return createHash('sha256').update(`${salt}:${hash}:${key}`).digest('base64url');
}

/** Compares two texts in constant time. */
function isEqual(a: string, b: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(a), digest(b));
}

function rejectKey(): Either<Failure, never> {
  // The same message for every cause, so that it reveals nothing to someone who guesses keys.
  return failWith(
    ErrorKind.KeyRejected,
    'the key is not valid: it is unknown, withdrawn or mistyped',
  );
}

/**
 * Creates the verifier of a process. `hash` is the slow hash function; only tests replace it.
 *
 * @example
 * const verifier = makeKeyVerifier({ fleet: settings.current });
 * const holder = await verifier.verify(key);
 */
export function makeKeyVerifier(options: {
  fleet: () => Fleet;
  hash?: (key: string, salt: string) => Promise<string>;
}): KeyVerifier {
  const { fleet, hash = hashKey } = options;
  const accepted = makeDigestCache(maxAcceptedDigests);
  // Separate from the accepted digests, so that guesses cannot evict keys in use.
  const rejected = makeDigestCache(maxRejectedDigests);
  const pendingByDigest = new Map<string, Promise<boolean>>();
  const pendingPerKey = new Map<string, number>();
  const hashQueue = makeHashQueue();
  let runs = 0;

  const hashAndCompare = async (key: string, storedKey: KeyHash): Promise<boolean> => {
    const digest = computeDigest(key, storedKey);
    const count = pendingPerKey.get(storedKey.hash) ?? 0;
    pendingPerKey.set(storedKey.hash, count + 1);
    try {
      const computed = await hashQueue.run(() => {
        runs += 1;
        return hash(key, storedKey.salt);
      });
      const isMatch = isEqual(computed, storedKey.hash);
      (isMatch ? accepted : rejected).add(digest);
      return isMatch;
    } finally {
      const remaining = (pendingPerKey.get(storedKey.hash) ?? 1) - 1;
      if (remaining > 0) pendingPerKey.set(storedKey.hash, remaining);
      else pendingPerKey.delete(storedKey.hash);
      pendingByDigest.delete(digest);
    }
  };

  const isInForce = (holder: KeyHolder) => findHash(fleet(), holder)?.hash === holder.hash;

  return {
    isInForce,
    async verify(key) {
      const identity = parseKey(key);
      const storedKey = identity && findHash(fleet(), identity);
      if (!storedKey) return rejectKey();
      const holder: KeyHolder = { ...identity, hash: storedKey.hash };
      const digest = computeDigest(key, storedKey);
      if (accepted.has(digest)) return Right(holder);
      if (rejected.has(digest)) return rejectKey();
      let result = pendingByDigest.get(digest);
      if (!result) {
        if ((pendingPerKey.get(storedKey.hash) ?? 0) >= maxPendingPerKey) {
          return failWith(
            ErrorKind.TooManyConnections,
            'too many unverified keys wait under this key id',
          );
        }
        result = hashAndCompare(key, storedKey);
        pendingByDigest.set(digest, result);
      }
      const isMatch = await result;
      // The key may have been revoked while its hash was computed.
      return isMatch && isInForce(holder) ? Right(holder) : rejectKey();
    },
    state: () => ({ runs, ...hashQueue.state(), cached: accepted.size() }),
  };
}
