/**
 * Quarantine of faulty workers: they are found by comparison with the other workers, penalised in
 * steps, and probed before they get work again.
 *
 * A worker on which tasks fail quickly looks idle and would attract all work. A job that fails
 * everywhere must not quarantine good workers: its failures count against a worker only while the
 * job has failed on no second one, and again once it has succeeded elsewhere.
 */

/** The outcome of one task. */
export interface TaskOutcome {
  worker: string;
  job: string;
  failed: boolean;
  now: number;
}

/** The health of all workers of a process. */
export interface WorkerHealth {
  record(outcome: TaskOutcome): void;
  /** Penalty of a worker, from 0 for none to 1 for no new work. */
  penalty(worker: string, now: number): number;
  /** Returns whether a worker with penalty 1 may get a task as a probe, and records its start. */
  tryStartProbe(worker: string, now: number): boolean;
  explain(worker: string, now: number): string | undefined;
}

interface HealthRecord {
  runs: number;
  failures: number;
  updatedAt: number;
  quarantinedUntil: number;
  quarantines: number;
  /** Start time of the current probe; -Infinity for none. */
  probeStartedAt: number;
}

const halfLifeMs = 300_000;
const firstQuarantineMs = 30_000;
const maxQuarantineMs = 600_000;
// Limits quarantine to this fraction, so that a fault of the whole fleet does not stop all work.
const maxQuarantinedFraction = 0.2;
const maxTrackedJobs = 4_096;
// A probe whose outcome is never reported blocks other probes for this time.
const probeTimeoutMs = 120_000;

function makeRecord(now: number): HealthRecord {
  return {
    runs: 0,
    failures: 0,
    updatedAt: now,
    quarantinedUntil: -Infinity,
    quarantines: 0,
    probeStartedAt: -Infinity,
  };
}

function decay(record: HealthRecord, now: number): HealthRecord {
  const factor = 0.5 ** (Math.max(0, now - record.updatedAt) / halfLifeMs);
  return Object.assign(record, {
    runs: record.runs * factor,
    failures: record.failures * factor,
    updatedAt: Math.max(now, record.updatedAt),
  });
}

/**
 * Makes the health of the workers of one process.
 *
 * @example
 * health.record({ worker: 'w1', job: 'j1', failed: true, now });
 * health.penalty('w1', now);
 */
export function makeWorkerHealth(): WorkerHealth {
  const workers = new Map<string, HealthRecord>();
  const recentlyQuarantined = new Set<string>();
  const totals = makeRecord(0);
  // The weight is 1 where a failure of the job counts against the worker, otherwise 0.
  const jobs = new Map<string, { failureWeights: Map<string, number>; hasSucceeded: boolean }>();

  const getRecord = (worker: string, now: number) => {
    const record = workers.get(worker) ?? makeRecord(now);
    workers.set(worker, record);
    return decay(record, now);
  };

  const addFailures = (record: HealthRecord, count: number) => {
    const before = record.failures;
    Object.assign(record, { failures: Math.max(0, before + count) });
    totals.failures += record.failures - before;
  };

  const getJobRecord = (job: string) => {
    const known = jobs.get(job) ?? {
      failureWeights: new Map<string, number>(),
      hasSucceeded: false,
    };
    jobs.delete(job);
    jobs.set(job, known);
    if (jobs.size > maxTrackedJobs) {
      const oldest = jobs.keys().next();
      if (!oldest.done) jobs.delete(oldest.value);
    }
    return known;
  };

  const attributeOutcome = ({ worker, job, failed, now }: TaskOutcome) => {
    const known = getJobRecord(job);
    const record = getRecord(worker, now);
    if (!failed) {
      // The success shows that the earlier failures were faults of the other workers.
      known.failureWeights.forEach((weight, other) => {
        if (other !== worker) addFailures(getRecord(other, now), 1 - weight);
        known.failureWeights.set(other, 1);
      });
      known.hasSucceeded = true;
      return;
    }
    const otherWorkers = [...known.failureWeights.keys()].filter((other) => other !== worker);
    if (known.hasSucceeded || otherWorkers.length === 0) {
      addFailures(record, 1);
      known.failureWeights.set(worker, 1);
      return;
    }
    otherWorkers.forEach((other) => {
      addFailures(getRecord(other, now), -(known.failureWeights.get(other) ?? 0));
      known.failureWeights.set(other, 0);
    });
    known.failureWeights.set(worker, 0);
  };

  const isProbing = ({ probeStartedAt }: HealthRecord, now: number) =>
    now - probeStartedAt < probeTimeoutMs;
  const isQuarantined = (record: HealthRecord, now: number) =>
    now < record.quarantinedUntil || isProbing(record, now);

  // Standard deviations by which the worker fails more often than the others. Workers that have
  // been quarantined are left out. The totals decay like the single records, since decay is linear.
  const computeExcess = (worker: string, now: number) => {
    const own = getRecord(worker, now);
    let runs = decay(totals, now).runs - own.runs;
    let failures = totals.failures - own.failures;
    recentlyQuarantined.forEach((other) => {
      if (other === worker) return;
      const record = getRecord(other, now);
      runs -= record.runs;
      failures -= record.failures;
    });
    const rate = Math.min(0.9, (Math.max(0, failures) + 0.5) / (Math.max(0, runs) + 10));
    const deviation = Math.sqrt(own.runs * rate * (1 - rate) + 1);
    return (own.failures - own.runs * rate) / deviation;
  };

  const quarantine = (worker: string, now: number) => {
    const record = getRecord(worker, now);
    recentlyQuarantined.add(worker);
    const durationMs = Math.min(maxQuarantineMs, firstQuarantineMs * 2 ** record.quarantines);
    Object.assign(record, {
      quarantinedUntil: now + durationMs,
      quarantines: record.quarantines + 1,
      probeStartedAt: -Infinity,
    });
  };

  const canQuarantine = (now: number) => {
    const quarantinedCount = [...workers.values()].filter((record) =>
      isQuarantined(record, now),
    ).length;
    return quarantinedCount + 1 <= Math.max(1, workers.size * maxQuarantinedFraction);
  };

  return {
    record(outcome) {
      const { worker, failed, now } = outcome;
      const record = getRecord(worker, now);
      record.runs += 1;
      decay(totals, now).runs += 1;
      attributeOutcome(outcome);
      if (isProbing(record, now)) {
        if (failed) {
          quarantine(worker, now);
        } else {
          // A passed probe clears the failures, so that only new ones count.
          Object.assign(record, {
            probeStartedAt: -Infinity,
            quarantinedUntil: now,
            runs: 1,
            failures: 0,
          });
        }
        return;
      }
      if (!failed) {
        if (record.quarantines > 0 && record.runs > 20) record.quarantines -= 1;
        if (record.quarantines === 0) recentlyQuarantined.delete(worker);
        return;
      }
      if (now >= record.quarantinedUntil && computeExcess(worker, now) > 3 && canQuarantine(now)) {
        quarantine(worker, now);
      }
    },
    penalty(worker, now) {
      const record = workers.get(worker);
      if (!record) return 0;
      if (isQuarantined(record, now)) return 1;
      // After the quarantine, only probes start until one passes or the failures have decayed.
      if (record.quarantinedUntil > -Infinity && record.failures >= 1 && record.quarantines > 0) {
        return 1;
      }
      const deviations = computeExcess(worker, now);
      if (deviations > 2) return 0.5;
      return deviations > 1.2 ? 0.25 : 0;
    },
    tryStartProbe(worker, now) {
      const record = workers.get(worker);
      if (!record || isQuarantined(record, now) || record.quarantinedUntil === -Infinity) {
        return false;
      }
      if (record.failures < 1 || record.quarantines === 0) return false;
      record.probeStartedAt = now;
      return true;
    },
    explain(worker, now) {
      const record = workers.get(worker);
      if (!record) return undefined;
      const counts = `${record.failures.toFixed(1)} of ${record.runs.toFixed(1)} recent tasks failed`;
      if (isProbing(record, now)) return `quarantined, a probe is running: ${counts}`;
      if (now < record.quarantinedUntil) {
        const remainingS = Math.ceil((record.quarantinedUntil - now) / 1_000);
        return `quarantined for another ${remainingS} s: ${counts}`;
      }
      return computeExcess(worker, now) > 1.2 ? `penalised: ${counts}` : undefined;
    },
  };
}
