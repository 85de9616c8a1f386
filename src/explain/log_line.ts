/**
 * Parses the log lines of entry processes into the fields that explanations need.
 */

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since 1970. */
  time: number;
  process: string;
  event: string;
  /** The job that the line is about. */
  id?: string;
  fields: Record<string, unknown>;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (!isRecord(value)) return undefined;
  const { time, process, event, id, ...fields } = value;
  // Both serve human readers only; the event carries the same information.
  delete fields.level;
  delete fields.msg;
  if (typeof time !== 'number' || typeof process !== 'string' || typeof event !== 'string') {
    return undefined;
  }
  return { time, process, event, ...(typeof id === 'string' ? { id } : {}), fields };
}

/** The lines of a parsed log. */
export interface ParsedLog {
  lines: LogLine[];
  /** Number of lines that are not log lines, such as one truncated when its process was killed. */
  skipped: number;
}

/**
 * Parses a log. Text before the JSON of a line, such as a log collector's timestamp, is ignored.
 *
 * @example
 * const { lines, skipped } = parseLog(readFileSync('entry-1.log', 'utf8'));
 */
export function parseLog(text: string): ParsedLog {
  const texts = text.split('\n').filter((line) => line.trim() !== '');
  const lines = texts.flatMap((line) => parseLine(line) ?? []);
  return { lines, skipped: texts.length - lines.length };
}
