/**
 * Sizes and run times learned from what tasks really used, per team and kind of work.
 *
 * What is kept is the ratio of used to declared, in a histogram of fixed size, so a factor of 10 in
 * the declarations of a team becomes visible after a few tasks. A learned size only ever raises the
 * declared one: room is not given away on a guess.
 */
import type { Need, Size, WorkKind } from '../schema/mod.ts';

/** What a finished task declared and used. */
export interface UsageReport {
  team: string;
  kind: WorkKind;
  declared: Size;
  used?: Size;
  estimateMs: number;
  runMs?: number;
}

/** Learned ratios, with bounded memory. */
export interface Estimates {
  observe(report: UsageReport): void;
  /** Run time that the part `quantile` of such tasks does not exceed. */
  runMs(need: Pick<Need, 'team' | 'kind' | 'estimateMs'>, quantile: number): number;
  /** Size to reserve: the declared one, raised where the team's tasks use more. */
  size(need: Pick<Need, 'team' | 'kind' | 'size'>): Size;
  entries(): number;
}

// Four buckets per doubling, for ratios from 1/64 to 64.
const perDoubling = 4;
const doublings = 6;
const buckets = 2 * doublings * perDoubling + 1;
// At this many samples all counts are halved, so that old behaviour is forgotten.
const maxSamples = 256;
const minSamples = 8;
const raiseQuantile = 0.9;
const maxRaise = 10;
const maxEntries = 1_024;

interface Histogram {
  counts: Float32Array;
  total: number;
}

function makeHistogram(): Histogram {
  return { counts: new Float32Array(buckets), total: 0 };
}

function add(histogram: Histogram, ratio: number): void {
  if (!(ratio > 0)) return;
  const into = histogram;
  const index = Math.round((Math.log2(ratio) + doublings) * perDoubling);
  const bucket = Math.max(0, Math.min(buckets - 1, index));
  into.counts[bucket] = (into.counts[bucket] ?? 0) + 1;
  into.total += 1;
  if (into.total < maxSamples) return;
  for (let i = 0; i < buckets; i++) into.counts[i] = (into.counts[i] ?? 0) / 2;
  into.total /= 2;
}

function quantileOf({ counts, total }: Histogram, quantile: number): number {
  let sum = 0;
  for (let i = 0; i < buckets; i++) {
    sum += counts[i] ?? 0;
    if (sum >= total * quantile) return 2 ** (i / perDoubling - doublings);
  }
  return 1;
}

interface Entry {
  run: Histogram;
  processors: Histogram;
  memoryMb: Histogram;
}

/**
 * Makes empty estimates.
 *
 * @example
 * estimates.observe(report);
 * estimates.runMs(need, 0.9);
 */
export function makeEstimates(): Estimates {
  const entries = new Map<string, Entry>();

  const entryFor = (key: string) => {
    const known = entries.get(key) ?? {
      run: makeHistogram(),
      processors: makeHistogram(),
      memoryMb: makeHistogram(),
    };
    entries.delete(key);
    entries.set(key, known);
    if (entries.size > maxEntries) {
      const oldest = entries.keys().next();
      if (!oldest.done) entries.delete(oldest.value);
    }
    return known;
  };

  const lookUp = (team: string, kind: WorkKind, part: keyof Entry) => {
    const own = entries.get(`${team} ${kind}`)?.[part];
    return own && own.total >= minSamples ? own : undefined;
  };

  const raise = (histogram: Histogram | undefined) => {
    if (!histogram) return 1;
    const ratio = quantileOf(histogram, raiseQuantile);
    return Math.max(1, Math.min(maxRaise, ratio));
  };

  return {
    observe({ team, kind, declared, used, estimateMs, runMs }) {
      const entry = entryFor(`${team} ${kind}`);
      if (runMs !== undefined && estimateMs > 0) add(entry.run, runMs / estimateMs);
      if (!used) return;
      if (declared.processors > 0) add(entry.processors, used.processors / declared.processors);
      if (declared.memoryMb > 0) add(entry.memoryMb, used.memoryMb / declared.memoryMb);
    },
    runMs({ team, kind, estimateMs }, quantile) {
      const histogram = lookUp(team, kind, 'run');
      return histogram ? estimateMs * quantileOf(histogram, quantile) : estimateMs;
    },
    size({ team, kind, size }) {
      return {
        ...size,
        processors: size.processors * raise(lookUp(team, kind, 'processors')),
        memoryMb: size.memoryMb * raise(lookUp(team, kind, 'memoryMb')),
      };
    },
    entries: () => entries.size,
  };
}
