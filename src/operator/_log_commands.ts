/**
 * Commands over log files; no process needs to run.
 */
import { readFileSync } from 'node:fs';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { computeDelays, parseLog, formatTimeline } from '../explain/mod.ts';
import type { LogLine } from '../explain/mod.ts';
import { formatTable } from './_context.ts';
import type { Context } from './_context.ts';
import { wrong } from './exit.ts';
import type { Trouble } from './exit.ts';

type Output = Pick<Context, 'out' | 'err'>;

/** Reads the lines of some log files. */
function readLogs(files: string[], { err }: Output): Either<Trouble, LogLine[]> {
  const all: LogLine[] = [];
  for (const file of files) {
    let text: string;
    try {
      text = readFileSync(file, 'utf8');
    } catch (error) {
      return Left(wrong(`cannot read ${file}: ${(error as Error).message}`));
    }
    const { lines, skipped } = parseLog(text);
    if (skipped > 0) err(`${file}: ${skipped} lines are no log lines and are left out`);
    // One by one, since a log may have more lines than a call takes arguments.
    lines.forEach((line) => all.push(line));
  }
  return Right(all);
}

/** Writes the story of a job from the logs of many processes; its last line tells the cause. */
export function explainFromLogs(
  output: Output,
  { id, files }: { id: string; files: string[] },
): Either<Trouble, void> {
  return readLogs(files, output).map((lines) => formatTimeline(lines, id).forEach(output.out));
}

/** Writes where the time of jobs goes, second by second, from the logs of many processes. */
export function showDelays(
  output: Output,
  { queue, files }: { queue: string | undefined; files: string[] },
): Either<Trouble, void> {
  return readLogs(files, output).chain((lines) => {
    const { startMs, queues } = computeDelays(lines);
    const wanted = queues.filter((each) => queue === undefined || each.queue === queue);
    if (wanted.length === 0) {
      return Left(
        wrong(`the logs tell of no jobs${queue === undefined ? '' : ` of queue ${queue}`}`),
      );
    }
    output.out(`second 0 is ${new Date(startMs).toISOString()}; times in ms, mean/95th percentile`);
    wanted.forEach(({ queue: name, rows }) => {
      output.out(`\nqueue ${name}\n${formatTable(rows)}`);
    });
    return Right(undefined);
  });
}
