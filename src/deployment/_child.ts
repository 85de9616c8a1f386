/**
 * Starts the project's own programs as child processes and collects their output.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import type { Clock } from '../clock/mod.ts';

/** A running program; `output` returns everything it has written to stdout and stderr. */
export interface Child {
  process: ChildProcess;
  /** Resolves with the first defined result of `accept` for a line of output. */
  waitForLine<T>(accept: (line: string) => T | undefined): Promise<T>;
  output(): string;
  /** Resolves with the exit code; `null` after a signal. */
  ended: Promise<number | null>;
}

/** Exit code and output of a program that has exited. */
export interface ProgramResult {
  code: number | null;
  stdout: string;
  stderr: string;
}

const lineTimeoutMs = 30_000;
// Programs are run in the same form as this module: compiled, or from source through tsx.
const modulePath = fileURLToPath(import.meta.url);
const extension = path.extname(modulePath);
const loaderArgs = extension === '.ts' ? ['--import', 'tsx'] : [];

const runningChildren = new Set<ChildProcess>();

// Kills the children of a test or benchmark that exits early.
process.once('exit', () => runningChildren.forEach((child) => child.kill('SIGKILL')));

function programPath(name: string): string {
  return path.join(path.dirname(modulePath), '..', 'bin', `${name}${extension}`);
}

/** Starts a program that runs until it is stopped. */
export function startProgram(
  name: string,
  args: string[],
  { clock, nodeArgs = [] }: { clock: Clock; nodeArgs?: string[] },
): Child {
  const child = spawn(process.execPath, [...loaderArgs, ...nodeArgs, programPath(name), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let partialLine = '';
  const lineListeners = new Set<(line: string) => void>();
  const readChunk = (chunk: Buffer) => {
    output += chunk.toString();
    partialLine += chunk.toString();
    const lines = partialLine.split('\n');
    partialLine = lines.pop() ?? '';
    lines.forEach((line) => lineListeners.forEach((listener) => listener(line)));
  };
  child.stdout.on('data', readChunk);
  child.stderr.on('data', readChunk);
  runningChildren.add(child);
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => {
      runningChildren.delete(child);
      resolve(code);
    });
  });
  return {
    process: child,
    ended,
    output: () => output,
    waitForLine: (accept) =>
      new Promise((resolve, reject) => {
        const timeoutController = new AbortController();
        const lineListener = (line: string) => {
          const value = accept(line);
          if (value === undefined) return;
          lineListeners.delete(lineListener);
          timeoutController.abort();
          resolve(value);
        };
        const fail = (reason: string) => reject(new Error(`${name} ${reason}; output:\n${output}`));
        output.split('\n').forEach(lineListener);
        lineListeners.add(lineListener);
        ended.then((code) => fail(`exited with code ${code}`)).catch(() => undefined);
        clock
          .sleep(lineTimeoutMs, timeoutController.signal)
          .then(() => fail('did not print the expected line in time'))
          .catch(() => undefined);
      }),
  };
}

/** Runs a program and resolves when it has exited. */
export function runProgram(
  name: string,
  args: string[],
  { env = {} }: { env?: Record<string, string> } = {},
): Promise<ProgramResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [...loaderArgs, programPath(name), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk: Buffer) => {
      stdout += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      stderr += chunk.toString();
    });
    child.once('close', (code) => resolve({ code, stdout, stderr }));
  });
}
