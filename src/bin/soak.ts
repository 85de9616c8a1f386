/**
 * `npm run soak -- --seed 7 --steps 60`, or `--seeds 1..500`: long simulations with random faults.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { soak } from '../testing/soak.ts';

const { seed, seeds, steps } = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'the seed to run' })
  .option('seeds', { type: 'string', describe: 'a range of seeds, FROM..TO' })
  .option('steps', {
    type: 'number',
    default: 60,
    describe: 'number of steps of 400 ms with faults',
  })
  .strict()
  .parse();

const [firstSeed = seed, lastSeed = seed] = seeds ? seeds.split('..').map(Number) : [seed, seed];
const totals: Record<string, number> = {};
let violatedSeeds = 0;
let maxSettleMs = 0;
for (let currentSeed = firstSeed; currentSeed <= lastSeed; currentSeed++) {
  const result = await soak({ seed: currentSeed, steps });
  maxSettleMs = Math.max(maxSettleMs, result.settledAfterMs);
  Object.entries({ ...result.checks, ...result.faults }).forEach(([name, count]) => {
    totals[name] = (totals[name] ?? 0) + count;
  });
  if (result.violations.length > 0) violatedSeeds += 1;
  if (result.violations.length > 0 || firstSeed === lastSeed) {
    const verdict = result.violations[0] ?? 'no violation';
    process.stdout.write(`seed ${currentSeed} steps ${steps} hash ${result.hash}: ${verdict}\n`);
  }
}
process.stdout.write(`${JSON.stringify(totals)}\n`);
process.stdout.write(
  `${lastSeed - firstSeed + 1} seeds, ${violatedSeeds} with a violation, settled within ${maxSettleMs} ms\n`,
);
process.exitCode = violatedSeeds > 0 ? 1 : 0;
