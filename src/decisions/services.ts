/**
 * Services: keeps the wanted number of replicas, spread over racks and data centres, replaces lost
 * replicas, and moves replicas by starting the replacement before the stop.
 */

/** A replica of a service. */
export interface Replica {
  task: string;
  worker: string;
  rack: string;
  dataCentre: string;
  /** `starting` until the replica is known to run. */
  state: 'starting' | 'running' | 'lost';
  /** The host is leaving, or its data centre is going out of service. */
  leaving: boolean;
}

/** One step for a service. */
export interface ServiceStep {
  action: 'start' | 'stop';
  /** The replica to stop; only for a stop. */
  task?: string;
  /** Domains to avoid because replicas run there; only for a start. */
  avoidRacks?: string[];
  avoidDataCentres?: string[];
  reason: string;
}

/** The wanted state of a service. */
export interface ServiceRequest {
  replicas: number;
  spread: 'none' | 'rack' | 'data-centre';
  /** Number of extra replicas that may exist during a move. */
  surge?: number;
}

// Lists the domains that the next replica should avoid: those with more replicas than another.
function listCrowdedDomains(values: string[]): string[] {
  const counts = new Map<string, number>();
  values.forEach((value) => counts.set(value, (counts.get(value) ?? 0) + 1));
  const totals = [...counts.values()];
  const highest = Math.max(0, ...totals);
  const lowest = Math.min(...totals);
  // With equal counts all are avoided, so that a domain without a replica is preferred.
  return [...counts]
    .filter(([, count]) => count === highest || count > lowest)
    .map(([name]) => name);
}

/**
 * Plans the next steps of a service. A running replica is stopped only when the wanted number of
 * other replicas runs, so a move never reduces the number below the wanted one.
 *
 * @example
 * planService({ replicas: 3, spread: 'rack' }, replicas);
 */
export function planService(request: ServiceRequest, replicas: Replica[]): ServiceStep[] {
  const { replicas: wanted, spread, surge = Math.max(1, Math.floor(wanted / 4)) } = request;
  const alive = replicas.filter(({ state }) => state !== 'lost');
  const staying = alive.filter(({ leaving }) => !leaving);
  const steps: ServiceStep[] = [];

  const missing = wanted - alive.length;
  const surgeStarts = Math.min(alive.length - staying.length, surge - (alive.length - wanted));
  const startCount = Math.min(
    Math.max(0, missing) + Math.max(0, missing > 0 ? 0 : surgeStarts),
    Math.max(0, wanted - staying.length),
  );
  const racks = staying.map(({ rack }) => rack);
  const dataCentres = staying.map(({ dataCentre }) => dataCentre);
  const hasLost = replicas.some(({ state }) => state === 'lost');
  const describeStart = () => {
    if (missing <= 0) return 'replaces a replica on a leaving host before that one is stopped';
    return hasLost ? 'replaces a lost replica' : `${alive.length} of ${wanted} replicas exist`;
  };
  for (let i = 0; i < startCount; i++) {
    steps.push({
      action: 'start',
      avoidRacks: spread === 'none' ? [] : listCrowdedDomains(racks),
      avoidDataCentres: spread === 'data-centre' ? listCrowdedDomains(dataCentres) : [],
      reason: describeStart(),
    });
  }

  const running = alive.filter(({ state }) => state === 'running');
  let surplus = running.length - wanted;
  const leaving = running.filter((replica) => replica.leaving);
  const makeRunningCounter = (field: 'rack' | 'dataCentre') => (replica: Replica) =>
    running.filter((other) => other[field] === replica[field]).length;
  const countInRack = spread === 'rack' ? makeRunningCounter('rack') : () => 0;
  const countInDataCentre = makeRunningCounter('dataCentre');
  const stayingRunning = running
    .filter((replica) => !replica.leaving)
    .sort(
      (left, right) =>
        countInRack(right) - countInRack(left) ||
        countInDataCentre(right) - countInDataCentre(left) ||
        (left.task < right.task ? 1 : -1),
    );
  [...leaving, ...stayingRunning].forEach(({ task, leaving: isLeaving }) => {
    if (surplus <= 0) return;
    surplus -= 1;
    const reason = isLeaving ? 'its replacement runs' : `more than ${wanted} replicas run`;
    steps.push({ action: 'stop', task, reason });
  });
  return steps;
}
