/**
 * Structured logs: one pino logger per process, with a fixed prefix for each part.
 */
import { pino } from 'pino';

/** The part of the program that a line comes from. */
export const Component = {
  Entry: 'entry',
  Host: 'host',
  Front: 'front',
  Cell: 'cell',
  Callers: 'callers',
  Operators: 'operators',
  Peers: 'peers',
  Membership: 'membership',
  Ownership: 'ownership',
  Limits: 'limits',
  Requests: 'requests',
  Dispatch: 'dispatch',
  Table: 'table',
  Workers: 'workers',
  Hosts: 'hosts',
  Settings: 'settings',
  Standin: 'standin',
  Load: 'load',
} as const;

/** One of the values of {@link Component}. */
export type Component = (typeof Component)[keyof typeof Component];

/** Writes log lines for one part. */
export interface Logger {
  debug(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
}

/** A bounded log is written in pieces of at least this size, or after the time. */
const minWriteBytes = 4_096;
/** Some readers keep only so much of one write, and a cut write costs its last lines. */
const maxWriteBytes = 8_192;
const flushMs = 200;

/**
 * Makes the function that gives each part its logger. With `maxBufferBytes` the lines that a slow
 * reader has not taken are kept up to that size, and further lines are dropped.
 *
 * @example
 * const logs = makeLoggers({ level: 'info', process: 'entry-1' });
 * logs(Component.Table).warn('Table service timed out.', { afterMs: 600 });
 */
export function makeLoggers(
  options: { level?: string; process?: string; fd?: number; maxBufferBytes?: number } = {},
): (part: Component) => Logger {
  const { level = 'info', process: name = 'dogwood', fd = 2, maxBufferBytes } = options;
  const destination = pino.destination({
    fd,
    sync: false,
    ...(maxBufferBytes === undefined
      ? {}
      : {
          maxLength: maxBufferBytes,
          minLength: minWriteBytes,
          maxWrite: maxWriteBytes,
          periodicFlush: flushMs,
        }),
  });
  const root = pino({ level, base: { process: name } }, destination);
  return (part) => {
    const child = root.child({}, { msgPrefix: `${part}: ` });
    return {
      debug: (message, fields = {}) => child.debug(fields, message),
      info: (message, fields = {}) => child.info(fields, message),
      warn: (message, fields = {}) => child.warn(fields, message),
      error: (message, fields = {}) => child.error(fields, message),
    };
  };
}

/**
 * A log that writes nothing, for tests and benchmarks.
 *
 * @example
 * const log = silentLogger;
 */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Logs the failure of a promise that nothing waits for. */
export function logFailure(log: Logger, what: string): (error: unknown) => void {
  return (error) =>
    log.error(`${what} failed`, {
      event: 'defect',
      reason: String(error),
      stack: (error as Error).stack,
    });
}
