/**
 * Structured logs: one pino logger per process, with a message prefix for each component.
 */
import { pino } from 'pino';

/** The component of the program that writes a log line. */
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

/** Writes the log lines of one component. */
export interface Logger {
  debug(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  error(message: string, fields?: Record<string, unknown>): void;
}

/** A bounded log is written in chunks of at least this size, or after the flush interval. */
const minWriteBytes = 4_096;
/** Some readers truncate a longer write, which loses its last lines. */
const maxWriteBytes = 8_192;
const flushIntervalMs = 200;

/**
 * Makes a function that returns the logger of a component. With `maxBufferBytes`, lines that a slow
 * reader has not yet read are buffered up to that size, and further lines are dropped.
 *
 * @example
 * const logs = makeLoggers({ level: 'info', process: 'entry-1' });
 * logs(Component.Table).warn('Table service timed out.', { afterMs: 600 });
 */
export function makeLoggers(
  options: { level?: string; process?: string; fd?: number; maxBufferBytes?: number } = {},
): (component: Component) => Logger {
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
          periodicFlush: flushIntervalMs,
        }),
  });
  const root = pino({ level, base: { process: name } }, destination);
  return (component) => {
    const child = root.child({}, { msgPrefix: `${component}: ` });
    return {
      debug: (message, fields = {}) => child.debug(fields, message),
      info: (message, fields = {}) => child.info(fields, message),
      warn: (message, fields = {}) => child.warn(fields, message),
      error: (message, fields = {}) => child.error(fields, message),
    };
  };
}

/**
 * A logger that discards everything, for tests and benchmarks.
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

/** Returns a rejection handler that logs the failure of a promise that is not awaited. */
export function logFailure(log: Logger, operation: string): (error: unknown) => void {
  return (error) =>
    log.error(`${operation} failed`, {
      event: 'defect',
      reason: String(error),
      stack: (error as Error).stack,
    });
}
