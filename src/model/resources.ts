/**
 * Amounts of CPU, memory and GPUs, and arithmetic on them.
 */

/** An amount of each resource that a task needs or a worker provides. */
export interface Resources {
  /** Thousandths of a core. */
  cpu: number;
  memoryMb: number;
  gpu: number;
}

/** Zero of every resource. */
export const noResources: Readonly<Resources> = { cpu: 0, memoryMb: 0, gpu: 0 };

/**
 * Adds two amounts.
 *
 * @example
 * addResources({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 250, memoryMb: 64, gpu: 0 }).cpu; // 750
 */
export function addResources(a: Resources, b: Resources): Resources {
  return { cpu: a.cpu + b.cpu, memoryMb: a.memoryMb + b.memoryMb, gpu: a.gpu + b.gpu };
}

/**
 * Subtracts the second amount from the first; the result may be negative.
 *
 * @example
 * subtractResources({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 200, memoryMb: 0, gpu: 0 }).cpu; // 300
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return { cpu: a.cpu - b.cpu, memoryMb: a.memoryMb - b.memoryMb, gpu: a.gpu - b.gpu };
}

/**
 * Multiplies the amount of every resource by a factor.
 *
 * @example
 * multiplyResources({ cpu: 500, memoryMb: 64, gpu: 1 }, 3).gpu; // 3
 */
export function multiplyResources(a: Resources, factor: number): Resources {
  return { cpu: a.cpu * factor, memoryMb: a.memoryMb * factor, gpu: a.gpu * factor };
}

/**
 * Whether the free capacity covers the need in every resource.
 *
 * @example
 * fits({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 400, memoryMb: 64, gpu: 0 }); // false
 */
export function fits(need: Resources, free: Resources): boolean {
  return need.cpu <= free.cpu && need.memoryMb <= free.memoryMb && need.gpu <= free.gpu;
}

/**
 * Counts how many copies of the need fit into the free capacity at the same time.
 *
 * @example
 * countFittingCopies({ cpu: 9_000, memoryMb: 0, gpu: 0 }, { cpu: 32_000, memoryMb: 0, gpu: 0 }); // 3
 */
export function countFittingCopies(need: Resources, free: Resources): number {
  if (!fits(need, free)) return 0;
  const ratios = [
    need.cpu > 0 ? free.cpu / need.cpu : Infinity,
    need.memoryMb > 0 ? free.memoryMb / need.memoryMb : Infinity,
    need.gpu > 0 ? free.gpu / need.gpu : Infinity,
  ];
  return Math.floor(Math.min(...ratios));
}

/**
 * Returns the amounts that an upper limit allows: an amount of 0 means that there is no limit.
 *
 * @example
 * toUpperBound({ cpu: 4_000, memoryMb: 0, gpu: 0 }).memoryMb; // Infinity
 */
export function toUpperBound({ cpu, memoryMb, gpu }: Resources): Resources {
  const toBound = (limit: number) => (limit === 0 ? Infinity : limit);
  return { cpu: toBound(cpu), memoryMb: toBound(memoryMb), gpu: toBound(gpu) };
}
