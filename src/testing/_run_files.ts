/**
 * Finds the test files, runs each in a process of its own and reads the counts that uvu prints.
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';

interface FileResult {
  file: string;
  passed: number;
  failures: string[];
  output: string;
}

// More test processes at once slow the tests that start real processes.
const maxParallelFiles = 4;
const fileTimeoutMs = 300_000;

function findTests(root: string): string[] {
  return ['src', 'platform']
    .flatMap((folder) =>
      readdirSync(path.join(root, folder), { recursive: true, encoding: 'utf8' }).map((name) =>
        path.join(folder, name),
      ),
    )
    .filter((name) => name.endsWith('_test.ts'))
    .sort();
}

function readKnownRed(root: string): string[] {
  const file = path.join(root, 'KNOWN-RED.txt');
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function readResult(file: string, output: string, code: number | null): FileResult {
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const failures = [...output.matchAll(/^\s*FAIL\s+[^"]*"(.+)"\s*$/gm)].map(
    ([, name]) => `${file} ${name}`,
  );
  if (code !== 0 && failures.length === 0) failures.push(`${file} (exit code ${code})`);
  if (code === 0 && passed === 0) failures.push(`${file} (no test ran)`);
  return { file, passed, failures, output };
}

function runFile(root: string, file: string): Promise<FileResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--import', 'tsx', file], {
      cwd: root,
      env: { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' },
      stdio: ['ignore', 'pipe', 'pipe'],
      timeout: fileTimeoutMs,
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.on('close', (code) => resolve(readResult(file, output, code)));
  });
}

/**
 * Runs the test files whose path contains the filter.
 *
 * @example
 * await runFiles({ root: process.cwd(), filter: 'clock' });
 */
export async function runFiles(options: {
  root: string;
  filter?: string;
}): Promise<{ passed: number; failed: number }> {
  const { root, filter = '' } = options;
  const knownRed = readKnownRed(root);
  const queue = findTests(root).filter((file) => file.includes(filter));
  let passed = 0;
  let failed = 0;
  const work = async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await runFile(root, file);
      const red = result.failures.filter((name) => !knownRed.includes(name));
      result.failures
        .filter((name) => knownRed.includes(name))
        .forEach((name) => process.stdout.write(`known red: ${name}\n`));
      passed += result.passed;
      failed += red.length;
      process.stdout.write(`${red.length > 0 ? 'FAIL' : 'ok  '} ${file} (${result.passed})\n`);
      if (red.length > 0) process.stdout.write(`${result.output}\n`);
    }
  };
  await Promise.all(Array.from({ length: maxParallelFiles }, work));
  return { passed, failed };
}
