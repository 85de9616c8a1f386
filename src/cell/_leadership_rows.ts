/**
 * Encoding of the claim and of the heartbeat of a scheduler. A malformed row decodes to undefined, so
 * that it cannot end the loop that watches the table.
 */

/** A claim as stored. */
export interface Claim {
  epoch: number;
  /** Unique per start of a process; empty once the scheduler has resigned. */
  instance: string;
  name: string;
  address: string;
  /** Whether a predecessor may still renew leases at workers that it can reach. */
  predecessorMayAct: boolean;
  /** Number of consecutive terms before this one that a takeover ended soon after they began. */
  shortTerms?: number;
}

/** A heartbeat as stored. */
export interface HeartbeatContent {
  epoch: number;
  /** Number of pending jobs by queue; undefined until the scheduler has loaded its jobs. */
  pending: Record<string, number> | undefined;
  /** Queues and organisations whose jobs are refused; see `computePressure`. */
  busyQueues: string[];
  beyondShare: string[];
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}

function toStrings(value: unknown): string[] {
  return Array.isArray(value)
    ? value.filter((entry): entry is string => typeof entry === 'string')
    : [];
}

/** Decodes a claim; undefined when the text is malformed. */
export function decodeClaim(text: string): Claim | undefined {
  const { epoch, instance, name, address, predecessorMayAct, shortTerms } = parseObject(text) ?? {};
  if (!Number.isSafeInteger(epoch) || typeof instance !== 'string') return undefined;
  if (typeof name !== 'string' || typeof address !== 'string') return undefined;
  return {
    epoch: epoch as number,
    instance,
    name,
    address,
    // Without this field nothing is known about predecessors, so the cautious value holds.
    predecessorMayAct: predecessorMayAct !== false,
    shortTerms: Number.isSafeInteger(shortTerms) ? (shortTerms as number) : 0,
  };
}

/** Decodes a heartbeat; undefined when the text is malformed. */
export function decodeHeartbeat(text: string): HeartbeatContent | undefined {
  const { epoch, pending, busyQueues, beyondShare } = parseObject(text) ?? {};
  if (!Number.isSafeInteger(epoch)) return undefined;
  const hasPending = typeof pending === 'object' && pending !== null;
  return {
    epoch: epoch as number,
    pending: hasPending ? (pending as Record<string, number>) : undefined,
    busyQueues: toStrings(busyQueues),
    beyondShare: toStrings(beyondShare),
  };
}
