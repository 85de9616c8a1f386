/**
 * What a process may go on doing while it is cut off from the table service or from other regions.
 */

/** What a process knows of its own connections. */
export interface Contact {
  /** Fresh in the sense of design 4.4. */
  fresh: boolean;
  /** The table service answers this process. */
  table: boolean;
  /** This process has been expelled. */
  expelled: boolean;
}

/** What is allowed, each with a reason. */
export interface Permissions {
  startLookups: boolean;
  startJobs: boolean;
  acceptJobs: boolean;
  changeSettings: boolean;
  /** Renew the leases of running tasks. */
  renew: boolean;
  /** Start replacements of tasks in a region that does not answer. */
  replaceRemote: boolean;
  reason: string;
}

/**
 * Decides from the process's contacts. The side with the table service goes on with everything, but
 * starts replacements only after leases on the other side have lapsed; the other side stops starts
 * when it is no longer fresh and lets running tasks go on for as long as their leases can be renewed.
 *
 * @example
 * permissions({ fresh: true, table: false, expelled: false }).startLookups;
 */
export function permissions({ fresh, table, expelled }: Contact): Permissions {
  const none: Permissions = {
    startLookups: false,
    startJobs: false,
    acceptJobs: false,
    changeSettings: false,
    renew: false,
    replaceRemote: false,
    reason: 'expelled: it joins again before it does anything',
  };
  if (expelled) return none;
  if (!fresh) {
    return { ...none, renew: true, reason: 'not fresh: running tasks go on, nothing starts' };
  }
  if (!table) {
    return {
      ...none,
      startLookups: true,
      renew: true,
      reason:
        'the table service is away: lookups go on, jobs wait because attempts are not recorded',
    };
  }
  return {
    startLookups: true,
    startJobs: true,
    acceptJobs: true,
    changeSettings: true,
    renew: true,
    replaceRemote: true,
    reason: 'in contact',
  };
}
