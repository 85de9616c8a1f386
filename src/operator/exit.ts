/**
 * How a command ends.
 */
import type { Either } from 'purify-ts';

/** Exit codes of the command. */
export const ExitCode = {
  Fine: 0,
  /** The server refused; its message says why. */
  Refused: 1,
  /** The command line or the settings are wrong. */
  Wrong: 2,
  /** No server answered. */
  Unreachable: 3,
} as const;

/** One of the values of {@link ExitCode}. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Why a command could not do its work. */
export interface Trouble {
  code: ExitCode;
  message: string;
  /** Kind of the server's failure. */
  kind?: string;
}

/**
 * Builds the trouble of a wrong command line or wrong settings.
 *
 * @example
 * wrong('team millers exists already');
 */
export function wrong(message: string): Trouble {
  return { code: ExitCode.Wrong, message };
}

/**
 * Uses the result of the server where there is one.
 *
 * @example
 * useAnswer(await client.settings(), ({ version }) => out(String(version)));
 */
export function useAnswer<T>(
  answer: Either<Trouble, T>,
  use: (value: T) => void,
): Either<Trouble, void> {
  return answer.map((value) => use(value));
}
