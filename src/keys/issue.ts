/**
 * Issues API keys and computes their salted hashes.
 */
import { randomBytes, scrypt } from 'node:crypto';

/** The identity that the text of a key states; not verified. */
export type KeyIdentity =
  { owner: 'team'; team: string; id: string } | { owner: 'operator'; id: string };

/** A new key, which is shown only once, and the salt and hash that the settings store. */
export interface IssuedKey {
  key: string;
  salt: string;
  hash: string;
}

const secretBytes = 32;
const saltBytes = 16;
const hashBytes = 32;
// One run takes 50 to 66 ms and 16 MB on the development machine. A higher cost would not add
// security, because secrets are 256 random bits.
const scryptCost = { N: 16_384, r: 8, p: 1 };

const teamKeyPattern = /^dwt_([a-z0-9-]{1,63})_([a-z0-9-]{1,63})_[A-Za-z0-9_-]{43}$/;
const operatorKeyPattern = /^dwo_([a-z0-9-]{1,63})_[A-Za-z0-9_-]{43}$/;

/**
 * Parses the identity that a key states; undefined when the text does not have the form of a key.
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
 * Computes the hash of a key that the settings store.
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
 * Issues a key. `random` returns random bytes; only tests replace it.
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
