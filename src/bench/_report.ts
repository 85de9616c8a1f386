/**
 * Experiments, the values that they measure, and their tables.
 */

/** Measured values of one variant on one deployment, one per seed. */
export interface Series {
  deployment: string;
  variant: string;
  values: Record<string, number[]>;
}

/** One measurement to make. */
export interface Unit {
  deployment: string;
  variant: string;
  seed: number;
}

/** An experiment of the bench. */
export interface Experiment {
  title: string;
  /** What it takes to fail. */
  failsWhen: string;
  /** The first variant is the one that the others are compared with. */
  variants: string[];
  deployments: string[];
  /** Units that measure time run one after another. */
  serial?: boolean;
  /** Deployments are sizes of real processes such as `30x8`, which `--sizes` replaces. */
  sized?: boolean;
  /** Number of seeds where none is asked for. */
  seeds?: number;
  measure(unit: Unit): Record<string, number> | Promise<Record<string, number>>;
  /** Conditions that are broken; empty when the experiment passed. */
  judge(series: Series[]): string[];
}

export function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Standard deviation over the seeds. */
export function deviation(values: number[]): number {
  const centre = mean(values);
  const squares = values.reduce((sum, value) => sum + (value - centre) ** 2, 0);
  return Math.sqrt(squares / Math.max(1, values.length - 1));
}

/** The value that the given part of the list does not exceed. */
export function quantile(values: number[], part: number): number {
  if (values.length === 0) return 0;
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0;
}

/** Finds the mean of a value of a variant. */
export function meanOf(
  series: Series[],
  { deployment, variant, value }: { deployment: string; variant: string; value: string },
): number {
  const found = series.find(
    (other) => other.deployment === deployment && other.variant === variant,
  );
  return mean(found?.values[value] ?? []);
}

function format(value: number): string {
  if (!Number.isFinite(value)) return 'n/a';
  if (Math.abs(value) >= 1_000) return Math.round(value).toString();
  return Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3);
}

/** The table: mean, spread over the seeds, and the ratio to the subject's mean. */
export function formatTable(series: Series[], subject: string): string {
  const lines: string[] = [];
  const deployments = [...new Set(series.map(({ deployment }) => deployment))];
  deployments.forEach((deployment) => {
    const rows = series.filter((row) => row.deployment === deployment);
    const names = Object.keys(rows[0]?.values ?? {});
    lines.push(`\n${deployment}`);
    lines.push(['variant'.padEnd(18), ...names.map((name) => name.padStart(27))].join(''));
    rows.forEach(({ variant, values }) => {
      const cells = names.map((name) => {
        const list = values[name] ?? [];
        const base = meanOf(rows, { deployment, variant: subject, value: name });
        const ratio = base === 0 ? NaN : mean(list) / base;
        const spread = `${format(mean(list))} ±${format(deviation(list))}`;
        return `${spread} (x${format(ratio)})`.padStart(27);
      });
      lines.push([variant.padEnd(18), ...cells].join(''));
    });
  });
  return lines.join('\n');
}
