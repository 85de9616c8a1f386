/**
 * Bad workers: found by comparison with their peers, put aside by degrees and tried again.
 *
 * A worker that fails quickly looks idle and would draw all work. A job that fails everywhere must
 * not put good workers aside: its failures are blamed on a worker only while no second worker has
 * failed it too, and again once it has succeeded elsewhere.
 */

/** How one task ended. */
export interface TaskOutcome {
  worker: string;
  job: string;
  failed: boolean;
  now: number;
}

/** Health of all workers of a process. */
export interface WorkerHealth {
  record(outcome: TaskOutcome): void;
  /** 0 for none, up to 1: no new work. */
  penalty(worker: string, now: number): number;
  /** True when a worker with penalty 1 may get one task as a probe; counts as given. */
  takeProbe(worker: string, now: number): boolean;
  explain(worker: string, now: number): string | undefined;
}

interface HealthRecord {
  runs: number;
  failures: number;
  at: number;
  quarantinedUntil: number;
  quarantines: number;
  /** A probe started then; -Infinity for none. */
  probeAt: number;
}

const halfLifeMs = 300_000;
const firstQuarantineMs = 30_000;
const maxQuarantineMs = 600_000;
// A fault of the whole fleet must not close the fleet.
const maxQuarantinedPart = 0.2;
const maxJobs = 4_096;
// The outcome of a probe may never be reported; after this time another one is allowed.
const probeTimeoutMs = 120_000;

function makeRecord(now: number): HealthRecord {
  return {
    runs: 0,
    failures: 0,
    at: now,
    quarantinedUntil: -Infinity,
    quarantines: 0,
    probeAt: -Infinity,
  };
}

function decay(record: HealthRecord, now: number): HealthRecord {
  const factor = 0.5 ** (Math.max(0, now - record.at) / halfLifeMs);
  return Object.assign(record, {
    runs: record.runs * factor,
    failures: record.failures * factor,
    at: Math.max(now, record.at),
  });
}

/**
 * Makes the health record of a process.
 *
 * @example
 * health.record({ worker: 'w1', job: 'j1', failed: true, now });
 * health.penalty('w1', now);
 */
export function makeWorkerHealth(): WorkerHealth {
  const workers = new Map<string, HealthRecord>();
  const everQuarantined = new Set<string>();
  const totals = makeRecord(0);
  const jobs = new Map<string, { blamed: Map<string, number>; succeeded: boolean }>();

  const at = (worker: string, now: number) => {
    const record = workers.get(worker) ?? makeRecord(now);
    workers.set(worker, record);
    return decay(record, now);
  };

  const addFailures = (record: HealthRecord, count: number) => {
    const before = record.failures;
    Object.assign(record, { failures: Math.max(0, before + count) });
    totals.failures += record.failures - before;
  };

  const jobRecord = (job: string) => {
    const known = jobs.get(job) ?? { blamed: new Map<string, number>(), succeeded: false };
    jobs.delete(job);
    jobs.set(job, known);
    if (jobs.size > maxJobs) {
      const oldest = jobs.keys().next();
      if (!oldest.done) jobs.delete(oldest.value);
    }
    return known;
  };

  const blame = ({ worker, job, failed, now }: TaskOutcome) => {
    const known = jobRecord(job);
    const record = at(worker, now);
    if (!failed) {
      // Success elsewhere shows that earlier failures were the workers' own.
      known.blamed.forEach((weight, other) => {
        if (other !== worker) addFailures(at(other, now), 1 - weight);
        known.blamed.set(other, 1);
      });
      known.succeeded = true;
      return;
    }
    const others = [...known.blamed.keys()].filter((other) => other !== worker);
    if (known.succeeded || others.length === 0) {
      addFailures(record, 1);
      known.blamed.set(worker, 1);
      return;
    }
    others.forEach((other) => {
      addFailures(at(other, now), -(known.blamed.get(other) ?? 0));
      known.blamed.set(other, 0);
    });
    known.blamed.set(worker, 0);
  };

  const isProbing = ({ probeAt }: HealthRecord, now: number) => now - probeAt < probeTimeoutMs;
  const isQuarantined = (record: HealthRecord, now: number) =>
    now < record.quarantinedUntil || isProbing(record, now);

  // Deviations by which the worker fails more often than its peers do. Exponential decay is linear,
  // so the totals decay like the single records.
  const excess = (worker: string, now: number) => {
    const own = at(worker, now);
    let runs = decay(totals, now).runs - own.runs;
    let failures = totals.failures - own.failures;
    everQuarantined.forEach((other) => {
      if (other === worker) return;
      const record = at(other, now);
      runs -= record.runs;
      failures -= record.failures;
    });
    const rate = Math.min(0.9, (Math.max(0, failures) + 0.5) / (Math.max(0, runs) + 10));
    const spread = Math.sqrt(own.runs * rate * (1 - rate) + 1);
    return (own.failures - own.runs * rate) / spread;
  };

  const quarantine = (worker: string, now: number) => {
    const record = at(worker, now);
    everQuarantined.add(worker);
    const length = Math.min(maxQuarantineMs, firstQuarantineMs * 2 ** record.quarantines);
    Object.assign(record, {
      quarantinedUntil: now + length,
      quarantines: record.quarantines + 1,
      probeAt: -Infinity,
    });
  };

  const roomForQuarantine = (now: number) => {
    const closed = [...workers.values()].filter((record) => isQuarantined(record, now)).length;
    return closed + 1 <= Math.max(1, workers.size * maxQuarantinedPart);
  };

  return {
    record(outcome) {
      const { worker, failed, now } = outcome;
      const record = at(worker, now);
      record.runs += 1;
      decay(totals, now).runs += 1;
      blame(outcome);
      if (isProbing(record, now)) {
        if (failed) {
          quarantine(worker, now);
        } else {
          // A passed probe forgets most failures, so that the next ones decide.
          Object.assign(record, {
            probeAt: -Infinity,
            quarantinedUntil: now,
            runs: 1,
            failures: 0,
          });
        }
        return;
      }
      if (!failed) {
        if (record.quarantines > 0 && record.runs > 20) record.quarantines -= 1;
        if (record.quarantines === 0) everQuarantined.delete(worker);
        return;
      }
      if (now >= record.quarantinedUntil && excess(worker, now) > 3 && roomForQuarantine(now)) {
        quarantine(worker, now);
      }
    },
    penalty(worker, now) {
      const record = workers.get(worker);
      if (!record) return 0;
      if (isQuarantined(record, now)) return 1;
      // After a quarantine that no probe has ended, only a probe may start there.
      if (record.quarantinedUntil > -Infinity && record.failures >= 1 && record.quarantines > 0) {
        return 1;
      }
      const deviations = excess(worker, now);
      if (deviations > 2) return 0.5;
      return deviations > 1.2 ? 0.25 : 0;
    },
    takeProbe(worker, now) {
      const record = workers.get(worker);
      if (!record || isQuarantined(record, now) || record.quarantinedUntil === -Infinity) {
        return false;
      }
      if (record.failures < 1 || record.quarantines === 0) return false;
      record.probeAt = now;
      return true;
    },
    explain(worker, now) {
      const record = workers.get(worker);
      if (!record) return undefined;
      const counts = `${record.failures.toFixed(1)} of ${record.runs.toFixed(1)} recent tasks failed`;
      if (isProbing(record, now)) return `quarantined, a probe runs: ${counts}`;
      if (now < record.quarantinedUntil) {
        const left = Math.ceil((record.quarantinedUntil - now) / 1_000);
        return `quarantined for ${left} s more: ${counts}`;
      }
      return excess(worker, now) > 1.2 ? `used less: ${counts}` : undefined;
    },
  };
}
