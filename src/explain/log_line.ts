/**
 * The lines that entry processes log, as far as an explanation needs them.
 */

/** A line of a log. */
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
  // Both are for readers; the event tells as much.
  delete fields.level;
  delete fields.msg;
  if (typeof time !== 'number' || typeof process !== 'string' || typeof event !== 'string') {
    return undefined;
  }
  return { time, process, event, ...(typeof id === 'string' ? { id } : {}), fields };
}

/** What a log holds. */
export interface ParsedLog {
  lines: LogLine[];
  /** Lines that are no log lines, such as ones cut off when their process was killed. */
  skipped: number;
}

/**
 * Parses a log; whatever stands before the JSON of a line, such as a collector's time, is left out.
 *
 * @example
 * const { lines, skipped } = parseLog(readFileSync('entry-1.log', 'utf8'));
 */
export function parseLog(text: string): ParsedLog {
  const texts = text.split('\n').filter((line) => line.trim() !== '');
  const lines = texts.flatMap((line) => parseLine(line) ?? []);
  return { lines, skipped: texts.length - lines.length };
}
