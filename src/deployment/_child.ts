/**
 * Child processes of a deployment: one of the project's own programs, with its output collected.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import type { Clock } from '../clock/mod.ts';

/** A running program. */
export interface Child {
  process: ChildProcess;
  /** Resolves with the first line of output that the function accepts. */
  line<T>(accept: (line: string) => T | undefined): Promise<T>;
  output(): string;
  ended: Promise<number | null>;
}

/** Result of a program that has ended. */
export interface Finished {
  code: number | null;
  stdout: string;
  stderr: string;
}

const startTimeoutMs = 30_000;
// The programs run as this module does: compiled, or from source through tsx.
const self = fileURLToPath(import.meta.url);
const ending = path.extname(self);
const loader = ending === '.ts' ? ['--import', 'tsx'] : [];

const running = new Set<ChildProcess>();

// A test or benchmark that ends early leaves no processes behind.
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

function programPath(name: string): string {
  return path.join(path.dirname(self), '..', 'bin', `${name}${ending}`);
}

/** Starts a program that keeps running. */
export function startProgram(
  name: string,
  args: string[],
  { clock, nodeArgs = [] }: { clock: Clock; nodeArgs?: string[] },
): Child {
  const child = spawn(process.execPath, [...loader, ...nodeArgs, programPath(name), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let partial = '';
  const watchers = new Set<(line: string) => void>();
  const read = (chunk: Buffer) => {
    output += chunk.toString();
    partial += chunk.toString();
    const lines = partial.split('\n');
    partial = lines.pop() ?? '';
    lines.forEach((line) => watchers.forEach((watch) => watch(line)));
  };
  child.stdout.on('data', read);
  child.stderr.on('data', read);
  running.add(child);
  const ended = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => {
      running.delete(child);
      resolve(code);
    });
  });
  return {
    process: child,
    ended,
    output: () => output,
    line: (accept) =>
      new Promise((resolve, reject) => {
        const stop = new AbortController();
        const watch = (line: string) => {
          const value = accept(line);
          if (value === undefined) return;
          watchers.delete(watch);
          stop.abort();
          resolve(value);
        };
        const fail = (why: string) => reject(new Error(`${name} ${why}; output:\n${output}`));
        output.split('\n').forEach(watch);
        watchers.add(watch);
        ended.then((code) => fail(`ended with code ${code}`)).catch(() => undefined);
        clock
          .sleep(startTimeoutMs, stop.signal)
          .then(() => fail('did not start'))
          .catch(() => undefined);
      }),
  };
}

/** Runs a program to its end. */
export function runProgram(
  name: string,
  args: string[],
  { env = {} }: { env?: Record<string, string> } = {},
): Promise<Finished> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [...loader, programPath(name), ...args], {
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
