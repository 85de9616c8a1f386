/**
 * What a process may go on doing while it is cut off from the table service or from other regions.
 */

/** What a process knows of its own connections. */
export interface Connectivity {
  /** Fresh in the sense of design 4.4. */
  isFresh: boolean;
  /** The table service answers this process. */
  isTableReachable: boolean;
  /** This process has been expelled. */
  isExpelled: boolean;
}

/** What is allowed, each with a reason. */
export interface Permissions {
  canStartLookups: boolean;
  canStartJobs: boolean;
  canAcceptJobs: boolean;
  canChangeSettings: boolean;
  /** Renew the leases of running tasks. */
  canRenewLeases: boolean;
  /** Start replacements of tasks in a region that does not answer. */
  canReplaceRemoteTasks: boolean;
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
export function getPermissions({
  isFresh,
  isTableReachable,
  isExpelled,
}: Connectivity): Permissions {
  const none: Permissions = {
    canStartLookups: false,
    canStartJobs: false,
    canAcceptJobs: false,
    canChangeSettings: false,
    canRenewLeases: false,
    canReplaceRemoteTasks: false,
    reason: 'expelled: it joins again before it does anything',
  };
  if (isExpelled) return none;
  if (!isFresh) {
    return {
      ...none,
      canRenewLeases: true,
      reason: 'not fresh: running tasks go on, nothing starts',
    };
  }
  if (!isTableReachable) {
    return {
      ...none,
      canStartLookups: true,
      canRenewLeases: true,
      reason:
        'the table service is away: lookups go on, jobs wait because attempts are not recorded',
    };
  }
  return {
    canStartLookups: true,
    canStartJobs: true,
    canAcceptJobs: true,
    canChangeSettings: true,
    canRenewLeases: true,
    canReplaceRemoteTasks: true,
    reason: 'in contact',
  };
}
