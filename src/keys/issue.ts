/**
 * Issues keys and computes their salted hashes.
 */
import { randomBytes, scrypt } from 'node:crypto';

/** Whose key a text claims to be; nothing is verified yet. */
export type KeyIdentity =
  { owner: 'team'; team: string; id: string } | { owner: 'operator'; id: string };

/** A key as it is shown once, and what the settings keep of it. */
export interface IssuedKey {
  key: string;
  salt: string;
  hash: string;
}

const secretBytes = 32;
const saltBytes = 16;
const hashBytes = 32;
// 50 to 66 ms and 16 MB a run on the development machine. A higher cost would buy nothing: secrets are
// 256 random bits.
const scryptCost = { N: 16_384, r: 8, p: 1 };

const teamKeyPattern = /^dwt_([a-z0-9-]{1,63})_([a-z0-9-]{1,63})_[A-Za-z0-9_-]{43}$/;
const operatorKeyPattern = /^dwo_([a-z0-9-]{1,63})_[A-Za-z0-9_-]{43}$/;

/**
 * Reads whose key a text claims to be; undefined when it has not the form of a key.
 *
 * @example
 * parseKey('dwt_millers_k1_...'); // { owner: 'team', team: 'millers', id: 'k1' }
 */
export function parseKey(text: string): KeyIdentity | undefined {
  const [, team, id] = teamKeyPattern.exec(text) ?? [];
  if (team && id) return { owner: 'team', team, id };
  const [, operator] = operatorKeyPattern.exec(text) ?? [];
  return operator ? { owner: 'operator', id: operator } : undefined;
}

/**
 * Computes the hash that the settings keep of a key.
 *
 * @example
 * await hashKey(key, salt);
 */
export function hashKey(key: string, salt: string): Promise<string> {
  return new Promise((resolve, reject) => {
    scrypt(key, Buffer.from(salt, 'base64url'), hashBytes, scryptCost, (error, hash) => {
      if (error) reject(error);
      else resolve(hash.toString('base64url'));
    });
  });
}

/**
 * Issues a key. `random` gives random bytes; only tests pass their own.
 *
 * @example
 * const { key, salt, hash } = await issueKey({ owner: 'team', team: 'millers', id: 'k1' });
 */
export async function issueKey(
  identity: KeyIdentity,
  { random = randomBytes }: { random?: (size: number) => Buffer } = {},
): Promise<IssuedKey> {
  const prefix =
    identity.owner === 'team' ? `dwt_${identity.team}_${identity.id}` : `dwo_${identity.id}`;
  const key = `${prefix}_${random(secretBytes).toString('base64url')}`;
  const salt = random(saltBytes).toString('base64url');
  return { key, salt, hash: await hashKey(key, salt) };
}
