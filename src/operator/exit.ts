/**
 * The exit codes and failures of commands.
 */
import type { Either } from 'purify-ts';

/** Exit codes of the `dogwood` command. */
export const ExitCode = {
  Success: 0,
  /** The server refused the request; its message says why. */
  Refused: 1,
  /** The command line or the settings are invalid. */
  InvalidInput: 2,
  /** No server responded. */
  Unreachable: 3,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** The failure of a command. */
export interface CommandFailure {
  code: ExitCode;
  message: string;
  /** Error kind from the response of the server. */
  kind?: string;
}

/**
 * Makes the failure for an invalid command line or invalid settings.
 *
 * @example
 * makeInputFailure('team millers exists already');
 */
export function makeInputFailure(message: string): CommandFailure {
  return { code: ExitCode.InvalidInput, message };
}

/**
 * Passes a successful result to a function; a failure is returned as it is.
 *
 * @example
 * consumeResult(await client.getSettings(), ({ version }) => out(String(version)));
 */
export function consumeResult<T>(
  result: Either<CommandFailure, T>,
  consume: (value: T) => void,
): Either<CommandFailure, void> {
  return result.map((value) => consume(value));
}
