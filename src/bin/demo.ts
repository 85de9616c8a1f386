/**
 * `npm run demo`: brings up stand-ins, two data centres and three entry processes, and sends work of
 * each kind through them.
 */
import { systemClock } from '../clock/mod.ts';
import { runDemo } from '../deployment/mod.ts';

const failed = 1;

process.exitCode = await runDemo({
  clock: systemClock,
  print: (line) => process.stdout.write(`${line}\n`),
}).catch((error: unknown) => {
  process.stderr.write(`demo: ${String(error)}\n`);
  return failed;
});
