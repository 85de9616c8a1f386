/**
 * What a process may do while it is partitioned from the table service or from other regions.
 */

/** The connectivity of a process, as far as it knows. */
export interface Connectivity {
  /** The process is fresh as defined in section 4.4 of the design. */
  isFresh: boolean;
  /** The table service responds to this process. */
  isTableReachable: boolean;
  /** The process has been expelled from the membership. */
  isExpelled: boolean;
}

/** The operations that the process may perform, and why. */
export interface Permissions {
  canStartLookups: boolean;
  canStartJobs: boolean;
  canAcceptJobs: boolean;
  canChangeSettings: boolean;
  /** May renew the leases of running tasks. */
  canRenewLeases: boolean;
  /** May start replacements for tasks in an unresponsive region. */
  canReplaceRemoteTasks: boolean;
  reason: string;
}

/**
 * Returns the permissions for a connectivity. The side of a partition with the table service may do
 * everything, but starts replacements only after the leases on the other side have expired. The
 * other side starts nothing once it is no longer fresh, and its running tasks continue for as long
 * as their leases can be renewed.
 *
 * @example
 * getPermissions({ isFresh: true, isTableReachable: false, isExpelled: false }).canStartLookups;
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
    reason: 'expelled: must rejoin before any other operation',
  };
  if (isExpelled) return none;
  if (!isFresh) {
    return {
      ...none,
      canRenewLeases: true,
      reason: 'not fresh: running tasks continue, nothing starts',
    };
  }
  if (!isTableReachable) {
    return {
      ...none,
      canStartLookups: true,
      canRenewLeases: true,
      reason:
        'table service unreachable: lookups continue, jobs wait as attempts cannot be recorded',
    };
  }
  return {
    canStartLookups: true,
    canStartJobs: true,
    canAcceptJobs: true,
    canChangeSettings: true,
    canRenewLeases: true,
    canReplaceRemoteTasks: true,
    reason: 'fresh, and the table service responds',
  };
}
