/**
 * `npm run fault-matrix -- SEED`: injects every fault at every step of every exchange and prints a
 * matrix of how often each fault was injected, with `!` where an invariant was violated.
 */
import { exchanges, matrixFaults, runCell } from '../testing/fault_matrix.ts';

const seed = Number(process.argv[2] ?? 1);
const faultNames = Object.keys(matrixFaults);
let violatedCells = 0;
let cellCount = 0;
process.stdout.write(`exchange and step | ${faultNames.join(' | ')}\n`);
for (const exchange of exchanges) {
  for (const step of ['request', 'effect'] as const) {
    const row: string[] = [];
    for (const fault of faultNames) {
      const { injected, violations } = await runCell({ exchange, step, fault, seed });
      cellCount += 1;
      if (violations.length > 0) violatedCells += 1;
      row.push(`${injected}${violations.length > 0 ? '!' : ''}`);
      if (violations[0]) {
        process.stderr.write(`${exchange}, ${step}, ${fault}: ${violations[0].slice(0, 300)}\n`);
      }
    }
    process.stdout.write(`${exchange}, ${step} | ${row.join(' | ')}\n`);
  }
}
process.stdout.write(`${cellCount} cells, ${violatedCells} with a violation\n`);
process.exitCode = violatedCells > 0 ? 1 : 0;
