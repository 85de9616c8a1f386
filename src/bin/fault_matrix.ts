/**
 * `npm run fault-matrix`: injects every fault at every step of every exchange and prints the matrix:
 * how often the fault was injected, over the seeds, and `!` where an invariant was violated.
 */
import { exchanges, matrixFaults, runCell } from '../testing/fault_matrix.ts';

const seed = Number(process.argv[2] ?? 1);
const names = Object.keys(matrixFaults);
let failed = 0;
let cells = 0;
process.stdout.write(`exchange and step | ${names.join(' | ')}\n`);
for (const exchange of exchanges) {
  for (const step of ['request', 'effect'] as const) {
    const row: string[] = [];
    for (const fault of names) {
      const { injected, violations } = await runCell({ exchange, step, fault, seed });
      cells += 1;
      if (violations.length > 0) failed += 1;
      row.push(`${injected}${violations.length > 0 ? '!' : ''}`);
      if (violations[0]) {
        process.stderr.write(`${exchange}, ${step}, ${fault}: ${violations[0].slice(0, 300)}\n`);
      }
    }
    process.stdout.write(`${exchange}, ${step} | ${row.join(' | ')}\n`);
  }
}
process.stdout.write(`${cells} cells, ${failed} with a violation\n`);
process.exitCode = failed > 0 ? 1 : 0;
