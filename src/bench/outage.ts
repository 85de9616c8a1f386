/**
 * Lookups before, during and after an outage of the table service.
 */
import { makeRandom, systemClock } from '../clock/mod.ts';
import { makeCaller } from '../deployment/mod.ts';
import type { Deployment } from '../deployment/mod.ts';
import { quantile } from './_report.ts';
import type { Experiment } from './_report.ts';
import { withDeployment } from './_site.ts';

const outageMs = 120_000;
const aroundMs = 15_000;
const lookupsPerSecond = 50;
const runMs = 20;
const startBoundMs = 1_600;

interface Sample {
  sentAt: number;
  ms: number;
  ok: boolean;
  kind: string;
}

/** Sends lookups in open loop until the time is over. */
async function sendLookups(
  deployment: Deployment,
  { seed, forMs }: { seed: number; forMs: number },
): Promise<Sample[]> {
  const random = makeRandom(seed);
  const teams = Object.keys(deployment.settings.keys);
  let turn = 0;
  const callers = teams.map((team) =>
    makeCaller({
      base: () => deployment.entries[turn % deployment.entries.length]?.callers ?? '',
      key: deployment.settings.keys[team] ?? '',
      clock: systemClock,
    }),
  );
  const begunAt = systemClock.now();
  const open: Promise<Sample>[] = [];
  let due = begunAt;
  while (due - begunAt < forMs) {
    due += (-Math.log(1 - random()) * 1_000) / lookupsPerSecond;
    await systemClock.sleep(due - systemClock.now());
    turn += 1;
    const caller = callers[turn % callers.length];
    const sentAt = systemClock.now();
    if (!caller) break;
    open.push(
      caller.lookup({ body: { runMs }, estimateMs: runMs, idempotent: turn % 2 === 0 }).then(
        ({ status, kind }) => ({
          sentAt,
          ms: systemClock.now() - sentAt,
          ok: status === 200,
          kind,
        }),
        (error: unknown) => ({ sentAt, ms: 0, ok: false, kind: String(error) }),
      ),
    );
  }
  return Promise.all(open);
}

function summarise(phase: string, samples: Sample[]): Record<string, number> {
  const answered = samples.filter(({ ok }) => ok);
  const times = answered.map(({ ms }) => ms);
  return {
    [`${phase} answered %`]: (100 * answered.length) / Math.max(1, samples.length),
    [`${phase} p50 ms`]: quantile(times, 0.5),
    [`${phase} max ms`]: Math.max(0, ...times),
  };
}

/** Lookups in an outage. */
export const outage: Experiment = {
  title: `lookups (${lookupsPerSecond}/s, ${runMs} ms) through ${outageMs / 1_000} s without the table service`,
  failsWhen: `fewer than 100% are answered in a phase, or one takes over ${startBoundMs + runMs} ms`,
  variants: ['promises'],
  deployments: ['30x8'],
  sized: true,
  serial: true,
  seeds: 1,
  measure: ({ deployment: name, seed }) =>
    withDeployment(name, async (deployment) => {
      await systemClock.sleep(aroundMs);
      const begunAt = systemClock.now();
      const load = sendLookups(deployment, { seed, forMs: outageMs + 2 * aroundMs });
      await systemClock.sleep(aroundMs);
      await deployment.setStandinFaults(deployment.table, { refuseMs: outageMs });
      const samples = await load;
      const phaseOf = (sample: Sample) => {
        const at = sample.sentAt - begunAt;
        if (at < aroundMs) return 'before';
        return at < aroundMs + outageMs ? 'during' : 'after';
      };
      const kinds = [...new Set(samples.filter(({ ok }) => !ok).map(({ kind }) => kind))];
      if (kinds.length > 0) process.stderr.write(`refused: ${kinds.join(', ')}\n`);
      return Object.assign(
        {},
        ...['before', 'during', 'after'].map((phase) =>
          summarise(
            phase,
            samples.filter((sample) => phaseOf(sample) === phase),
          ),
        ),
      ) as Record<string, number>;
    }),
  judge: (series) =>
    series.flatMap(({ deployment, values }) =>
      ['before', 'during', 'after'].flatMap((phase) => {
        const answered = Math.min(...(values[`${phase} answered %`] ?? []));
        const worst = Math.max(...(values[`${phase} max ms`] ?? []));
        return [
          ...(answered < 100 ? [`${deployment} ${phase}: ${answered.toFixed(2)}% answered`] : []),
          ...(worst > startBoundMs + runMs
            ? [`${deployment} ${phase}: ${worst.toFixed(0)} ms`]
            : []),
        ];
      }),
    ),
};
