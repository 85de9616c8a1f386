/**
 * Estimates of sizes and run times, learned from the usage of finished tasks per team and kind of
 * work.
 *
 * Histograms of fixed size hold the ratios of used to declared amounts, so a factor of 10 in the
 * declarations of a team shows after a few tasks. A learned size is never below the declared one,
 * because an estimate that is too low would overcommit a worker.
 */
import type { Need, Size, WorkKind } from '../schema/mod.ts';

/** The declared and the actual usage of a finished task. */
export interface UsageReport {
  team: string;
  kind: WorkKind;
  declared: Size;
  used?: Size;
  estimateMs: number;
  runMs?: number;
}

/** Estimates from learned ratios, in bounded memory. */
export interface UsageEstimator {
  observe(report: UsageReport): void;
  /** Estimates the run time at a quantile, from 0 to 1. */
  estimateRunMs(need: Pick<Need, 'team' | 'kind' | 'estimateMs'>, quantile: number): number;
  /** Estimates the size to allocate: the declared size, raised where the team's tasks use more. */
  estimateSize(need: Pick<Need, 'team' | 'kind' | 'size'>): Size;
  /** Number of learned combinations of team and kind. */
  countEntries(): number;
}

// Four buckets per doubling cover ratios from 1/64 to 64.
const bucketsPerDoubling = 4;
const maxDoublings = 6;
const bucketCount = 2 * maxDoublings * bucketsPerDoubling + 1;
// At this total all counts are halved, so that old samples lose weight.
const maxSamples = 256;
const minSamples = 8;
const sizeQuantile = 0.9;
const maxSizeFactor = 10;
const maxEntries = 1_024;

interface Histogram {
  counts: Float32Array;
  total: number;
}

function makeHistogram(): Histogram {
  return { counts: new Float32Array(bucketCount), total: 0 };
}

function addRatio(histogram: Histogram, ratio: number): void {
  if (!(ratio > 0)) return;
  const target = histogram;
  const index = Math.round((Math.log2(ratio) + maxDoublings) * bucketsPerDoubling);
  const bucket = Math.max(0, Math.min(bucketCount - 1, index));
  target.counts[bucket] = (target.counts[bucket] ?? 0) + 1;
  target.total += 1;
  if (target.total < maxSamples) return;
  for (let i = 0; i < bucketCount; i++) target.counts[i] = (target.counts[i] ?? 0) / 2;
  target.total /= 2;
}

function computeQuantile({ counts, total }: Histogram, quantile: number): number {
  let cumulative = 0;
  for (let i = 0; i < bucketCount; i++) {
    cumulative += counts[i] ?? 0;
    if (cumulative >= total * quantile) return 2 ** (i / bucketsPerDoubling - maxDoublings);
  }
  return 1;
}

interface RatioHistograms {
  run: Histogram;
  processors: Histogram;
  memoryMb: Histogram;
}

/**
 * Makes estimates without samples.
 *
 * @example
 * estimates.observe(report);
 * estimates.estimateRunMs(need, 0.9);
 */
export function makeUsageEstimator(): UsageEstimator {
  const entries = new Map<string, RatioHistograms>();

  const getOrCreateEntry = (key: string) => {
    const histograms = entries.get(key) ?? {
      run: makeHistogram(),
      processors: makeHistogram(),
      memoryMb: makeHistogram(),
    };
    entries.delete(key);
    entries.set(key, histograms);
    if (entries.size > maxEntries) {
      const oldest = entries.keys().next();
      if (!oldest.done) entries.delete(oldest.value);
    }
    return histograms;
  };

  const findHistogram = (team: string, kind: WorkKind, field: keyof RatioHistograms) => {
    const learned = entries.get(`${team} ${kind}`)?.[field];
    return learned && learned.total >= minSamples ? learned : undefined;
  };

  const computeSizeFactor = (histogram: Histogram | undefined) => {
    if (!histogram) return 1;
    const ratio = computeQuantile(histogram, sizeQuantile);
    return Math.max(1, Math.min(maxSizeFactor, ratio));
  };

  return {
    observe({ team, kind, declared, used, estimateMs, runMs }) {
      const entry = getOrCreateEntry(`${team} ${kind}`);
      if (runMs !== undefined && estimateMs > 0) addRatio(entry.run, runMs / estimateMs);
      if (!used) return;
      if (declared.processors > 0)
        addRatio(entry.processors, used.processors / declared.processors);
      if (declared.memoryMb > 0) addRatio(entry.memoryMb, used.memoryMb / declared.memoryMb);
    },
    estimateRunMs({ team, kind, estimateMs }, quantile) {
      const histogram = findHistogram(team, kind, 'run');
      return histogram ? estimateMs * computeQuantile(histogram, quantile) : estimateMs;
    },
    estimateSize({ team, kind, size }) {
      return {
        ...size,
        processors: size.processors * computeSizeFactor(findHistogram(team, kind, 'processors')),
        memoryMb: size.memoryMb * computeSizeFactor(findHistogram(team, kind, 'memoryMb')),
      };
    },
    countEntries: () => entries.size,
  };
}
