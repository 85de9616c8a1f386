/**
 * Commands over log files; no process needs to run.
 */
import { readFileSync } from 'node:fs';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { parseLog, storyOf } from '../explain/mod.ts';
import type { LogLine } from '../explain/mod.ts';
import type { Context } from './_context.ts';
import { wrong } from './exit.ts';
import type { Trouble } from './exit.ts';

/** Writes the story of a job from the logs of many processes; its last line tells the cause. */
export function explainFromLogs(
  { out, err }: Pick<Context, 'out' | 'err'>,
  { id, files }: { id: string; files: string[] },
): Either<Trouble, void> {
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
  storyOf(all, id).forEach((line) => out(line));
  return Right(undefined);
}
