/**
 * `npm run soak -- --seed 7 --steps 60`, or `--seeds 1..500`: long randomised runs.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { soak } from '../testing/soak.ts';

const { seed, seeds, steps } = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'the one seed to run' })
  .option('seeds', { type: 'string', describe: 'a range of seeds, FROM..TO' })
  .option('steps', { type: 'number', default: 60, describe: 'steps of 400 ms with faults' })
  .strict()
  .parse();

const [from = seed, to = seed] = seeds ? seeds.split('..').map(Number) : [seed, seed];
const totals: Record<string, number> = {};
let failed = 0;
let longestMs = 0;
for (let next = from; next <= to; next++) {
  const result = await soak({ seed: next, steps });
  longestMs = Math.max(longestMs, result.settledAfterMs);
  Object.entries({ ...result.checks, ...result.faults }).forEach(([name, count]) => {
    totals[name] = (totals[name] ?? 0) + count;
  });
  if (result.violations.length > 0) failed += 1;
  if (result.violations.length > 0 || from === to) {
    const verdict = result.violations[0] ?? 'no violation';
    process.stdout.write(`seed ${next} steps ${steps} hash ${result.hash}: ${verdict}\n`);
  }
}
process.stdout.write(`${JSON.stringify(totals)}\n`);
process.stdout.write(
  `${to - from + 1} seeds, ${failed} with a violation, settled within ${longestMs} ms\n`,
);
process.exitCode = failed > 0 ? 1 : 0;
