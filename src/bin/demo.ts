/**
 * `npm run demo`: starts stand-ins, two data centres and three entry processes, and sends them work
 * of each kind.
 */
import { systemClock } from '../clock/mod.ts';
import { runDemo } from '../deployment/mod.ts';

const failureExitCode = 1;

process.exitCode = await runDemo({
  clock: systemClock,
  print: (line) => process.stdout.write(`${line}\n`),
}).catch((error: unknown) => {
  process.stderr.write(`demo: ${String(error)}\n`);
  return failureExitCode;
});
