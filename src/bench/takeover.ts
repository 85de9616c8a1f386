/**
 * How long workers are without a placer after the death of an entry process, and after its planned
 * stop.
 */
import { systemClock } from '../clock/mod.ts';
import type { Deployment, EntryProcess } from '../deployment/mod.ts';
import type { Experiment } from './_report.ts';
import { withDeployment } from './_site.ts';
import type { ProcessSize } from './_site.ts';

const pollMs = 25;
const settleMs = 12_000;
const timeoutMs = 30_000;
// Members are expelled 3 s after their last heartbeat; the claims and the fences follow.
const deathBoundMs = 6_000;
const plannedBoundMs = 3_000;

async function ownedWorkers(deployment: Deployment, entry: EntryProcess): Promise<string[]> {
  const { ownership } = (await deployment.fetchState(entry)) as {
    ownership?: { workers: { id: string }[] };
  };
  return ownership?.workers.map(({ id }) => id) ?? [];
}

async function measureGap(
  deployment: Deployment,
  { size, variant, victim }: { size: ProcessSize; variant: string; victim: EntryProcess },
): Promise<Record<string, number>> {
  const total = new Set(Object.keys(deployment.workers)).size;
  const moved = (await ownedWorkers(deployment, victim)).length;
  const others = deployment.entries.filter((entry) => entry !== victim);
  const planned = variant === 'planned stop';
  victim.child.process.kill(planned ? 'SIGTERM' : 'SIGKILL');
  const killedAt = systemClock.now();
  let withoutPlacerMs = 0;
  let last = killedAt;
  let lowest = total;
  let ended = planned ? undefined : 0;
  const end = victim.child.ended.then(() => {
    ended ??= systemClock.now() - killedAt;
  });
  for (;;) {
    const asked = planned && ended === undefined ? [...others, victim] : others;
    const lists = await Promise.all(
      asked.map((entry) => ownedWorkers(deployment, entry).catch(() => [])),
    );
    const owned = new Set(lists.flat()).size;
    const now = systemClock.now();
    if (owned < total) withoutPlacerMs += now - last;
    last = now;
    lowest = Math.min(lowest, owned);
    if (owned === total && ended !== undefined) break;
    if (now - killedAt > timeoutMs) throw new Error(`${owned} of ${total} workers owned`);
    await systemClock.sleep(pollMs);
  }
  await end;
  return {
    'some worker without placer ms': withoutPlacerMs,
    'until all owned ms': last - killedAt,
    'workers moved': moved,
    'most without placer': total - lowest,
    processes: size.entries,
  };
}

/** Time without a placer. */
export const takeover: Experiment = {
  title: 'time in which some worker has no placer',
  failsWhen: `it is over ${deathBoundMs} ms after a death or over ${plannedBoundMs} ms in a planned stop`,
  variants: ['planned stop', 'death'],
  deployments: ['30x8'],
  sized: true,
  serial: true,
  seeds: 3,
  measure: ({ deployment: name, variant, seed }) =>
    withDeployment(name, async (deployment, size) => {
      // Joins move workers for some seconds.
      await systemClock.sleep(settleMs);
      await deployment.waitForOwnership();
      const victim = deployment.entries[seed % deployment.entries.length];
      if (!victim) throw new Error('no entry process');
      return measureGap(deployment, { size, variant, victim });
    }),
  judge: (series) =>
    series.flatMap(({ deployment, variant, values }) => {
      const bound = variant === 'death' ? deathBoundMs : plannedBoundMs;
      const worst = Math.max(...(values['some worker without placer ms'] ?? []));
      return worst > bound
        ? [`${deployment} ${variant}: ${worst.toFixed(0)} ms > ${bound} ms`]
        : [];
    }),
};
