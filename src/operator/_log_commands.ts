/**
 * Commands that analyse log files without a server.
 */
import { readFileSync } from 'node:fs';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { computeDelays, parseLog, formatTimeline } from '../explain/mod.ts';
import type { LogLine } from '../explain/mod.ts';
import { formatTable } from './_context.ts';
import type { CommandContext } from './_context.ts';
import { makeInputFailure } from './exit.ts';
import type { CommandFailure } from './exit.ts';

type Output = Pick<CommandContext, 'out' | 'err'>;

/** Reads the lines of all given log files. */
function readLogs(files: string[], { err }: Output): Either<CommandFailure, LogLine[]> {
  const allLines: LogLine[] = [];
  for (const file of files) {
    let text: string;
    try {
      text = readFileSync(file, 'utf8');
    } catch (error) {
      return Left(makeInputFailure(`cannot read ${file}: ${(error as Error).message}`));
    }
    const { lines, skipped } = parseLog(text);
    if (skipped > 0) err(`${file}: ${skipped} lines are not log lines and were skipped`);
    // Not push(...lines): a log may have more lines than a call can have arguments.
    lines.forEach((line) => allLines.push(line));
  }
  return Right(allLines);
}

/** Prints the timeline of a job from the logs of many processes, and the cause of its outcome. */
export function explainFromLogs(
  output: Output,
  { id, files }: { id: string; files: string[] },
): Either<CommandFailure, void> {
  return readLogs(files, output).map((lines) => formatTimeline(lines, id).forEach(output.out));
}

/** Prints in which stages jobs spend their time, per queue and second. */
export function showDelays(
  output: Output,
  { queue, files }: { queue: string | undefined; files: string[] },
): Either<CommandFailure, void> {
  return readLogs(files, output).chain((lines) => {
    const { startMs, queues } = computeDelays(lines);
    const selectedQueues = queues.filter((each) => queue === undefined || each.queue === queue);
    if (selectedQueues.length === 0) {
      return Left(
        makeInputFailure(
          `the logs contain no jobs${queue === undefined ? '' : ` of queue ${queue}`}`,
        ),
      );
    }
    output.out(`second 0 is ${new Date(startMs).toISOString()}; times in ms, mean/95th percentile`);
    selectedQueues.forEach(({ queue: name, rows }) => {
      output.out(`\nqueue ${name}\n${formatTable(rows)}`);
    });
    return Right(undefined);
  });
}
