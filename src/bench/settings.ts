/**
 * Time until a change of the settings is in force in every process.
 */
import { fetch } from 'undici';

import { makeRandom, pickIndex, systemClock } from '../clock/mod.ts';
import type { Deployment } from '../deployment/mod.ts';
import { mean, quantile } from './_report.ts';
import type { Experiment } from './_report.ts';
import { withDeployment } from './_site.ts';

const changes = 40;
const pollMs = 10;
const pauseMs = 300;
const inForceMs = 4_000;

async function versionOf(deployment: Deployment, index: number): Promise<number> {
  const entry = deployment.entries[index];
  if (!entry) return 0;
  const { settings } = (await deployment.fetchState(entry)) as { settings: { version: number } };
  return settings.version;
}

async function applyOne(
  deployment: Deployment,
  { base, index, share }: { base: number; index: number; share: number },
): Promise<number> {
  const answer = await fetch(`${deployment.entries[index]?.operators}/v1/settings`, {
    method: 'POST',
    headers: { authorization: `Bearer ${deployment.settings.operatorKey}` },
    body: JSON.stringify({
      base,
      files: { 'teams/team1/team.ini': `share = ${share}\nlimit = 240\n` },
    }),
  });
  const body = (await answer.json()) as { version?: number };
  if (!answer.ok || !body.version) throw new Error(`change refused: ${JSON.stringify(body)}`);
  return body.version;
}

async function measureChanges(deployment: Deployment, seed: number): Promise<number[]> {
  const random = makeRandom(seed);
  const times: number[] = [];
  let base = await versionOf(deployment, 0);
  for (let i = 0; i < changes; i++) {
    const index = pickIndex(random, deployment.entries.length);
    // The commit lies between these two times; the earlier one is the stricter start.
    const sentAt = systemClock.now();
    const version = await applyOne(deployment, { base, index, share: 1 + (i % 7) });
    const inForce = async (other: number) => {
      while ((await versionOf(deployment, other)) < version) await systemClock.sleep(pollMs);
      return systemClock.now() - sentAt;
    };
    times.push(Math.max(...(await Promise.all(deployment.entries.map((_, n) => inForce(n))))));
    base = version;
    await systemClock.sleep(pauseMs * random());
  }
  return times;
}

/** Time until settings are in force everywhere. */
export const settings: Experiment = {
  title: `time from an operator's request until the change is in force in all processes, ${changes} changes`,
  failsWhen: `a change takes longer than ${inForceMs} ms`,
  variants: ['through any process'],
  deployments: ['30x8'],
  sized: true,
  serial: true,
  seeds: 1,
  measure: ({ deployment: name, seed }) =>
    withDeployment(name, async (deployment) => {
      const times = await measureChanges(deployment, seed);
      return {
        'mean ms': mean(times),
        'p50 ms': quantile(times, 0.5),
        'p90 ms': quantile(times, 0.9),
        'max ms': Math.max(...times),
      };
    }),
  judge: (series) =>
    series.flatMap(({ deployment, values }) => {
      const worst = Math.max(...(values['max ms'] ?? []));
      return worst > inForceMs ? [`${deployment}: ${worst.toFixed(0)} ms > ${inForceMs} ms`] : [];
    }),
};
