/**
 * Shares of organisations: each may hand in as many jobs a second as its weight says; what it sends
 * beyond that waits behind the work of all others.
 *
 * Load answered: one organisation sends many times its usual while the others send theirs.
 */

/** What an organisation may still hand in within its share. */
export interface ShareAccount {
  jobs: number;
  atMs: number;
}

/** Time over which an organisation may save up its share. */
const savingS = 1;
const msPerS = 1_000;

/**
 * Takes one job from an organisation's share; false when the job is beyond it.
 *
 * @example
 * takeShare(accounts, { organisation: 'ledger', weight: 19 }, clock.now());
 */
export function takeShare(
  accounts: Map<string, ShareAccount>,
  { organisation, weight }: { organisation: string; weight: number },
  nowMs: number,
): boolean {
  const most = Math.max(1, weight * savingS);
  const account = accounts.get(organisation) ?? { jobs: most, atMs: nowMs };
  const saved = account.jobs + (Math.max(0, nowMs - account.atMs) / msPerS) * weight;
  const jobs = Math.min(most, saved);
  const isWithin = jobs >= 1;
  accounts.set(organisation, {
    jobs: isWithin ? jobs - 1 : jobs,
    atMs: Math.max(nowMs, account.atMs),
  });
  return isWithin;
}

/** Whether the next job of an organisation would be beyond its share. */
export function isBeyondShare(
  accounts: Map<string, ShareAccount>,
  { organisation, weight }: { organisation: string; weight: number },
  nowMs: number,
): boolean {
  const account = accounts.get(organisation);
  if (!account) return false;
  return account.jobs + (Math.max(0, nowMs - account.atMs) / msPerS) * weight < 1;
}
