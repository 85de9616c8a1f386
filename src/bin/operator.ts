#!/usr/bin/env node
/**
 * `dogwood`: the operator command.
 */
import { runOperator } from '../operator/mod.ts';

process.exitCode = await runOperator(process.argv.slice(2), {
  out: (text) => process.stdout.write(`${text}\n`),
  err: (text) => process.stderr.write(`${text}\n`),
  env: process.env,
});
