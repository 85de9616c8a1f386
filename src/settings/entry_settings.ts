/**
 * Reads `entry.ini`, the settings file of one entry process.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type {
  CallersSection,
  HostsSection,
  MetricsSection,
  ObjectsSection,
  OperatorsSection,
  PeersSection,
  ProcessSection,
  TableSection,
} from '../schema/mod.ts';
import { checkFile } from './_check.ts';
import { formatProblem } from './problem.ts';

/** The sections of `entry.ini`; `docs/settings.md` documents each key. */
export interface EntrySettings {
  process: ProcessSection;
  callers: CallersSection;
  peers: PeersSection;
  operators: OperatorsSection;
  table: TableSection;
  objects: ObjectsSection;
  hosts: HostsSection;
  metrics: MetricsSection;
}

/**
 * Parses and validates the text of an `entry.ini`; a failure lists all problems.
 *
 * @example
 * readEntrySettings(readFileSync('entry.ini', 'utf8'));
 */
export function readEntrySettings(text: string): Either<Failure, EntrySettings> {
  const { sections, problems } = checkFile('entry.ini', text);
  if (problems.length > 0) {
    return failWith(ErrorKind.SettingsInvalid, problems.map(formatProblem).join('\n'), {
      got: problems,
    });
  }
  return Right(sections as unknown as EntrySettings);
}
