/**
 * Amounts of processor, memory and accelerators.
 */

/** An amount of each resource that a task takes or a worker has. */
export interface Resources {
  /** Thousandths of a core. */
  cpu: number;
  memoryMb: number;
  gpu: number;
}

/** Nothing of any resource. */
export const noResources: Readonly<Resources> = { cpu: 0, memoryMb: 0, gpu: 0 };

/**
 * Adds two amounts.
 *
 * @example
 * add({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 250, memoryMb: 64, gpu: 0 }).cpu; // 750
 */
export function addResources(a: Resources, b: Resources): Resources {
  return { cpu: a.cpu + b.cpu, memoryMb: a.memoryMb + b.memoryMb, gpu: a.gpu + b.gpu };
}

/**
 * Subtracts the second amount from the first; a result may be negative.
 *
 * @example
 * subtract({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 200, memoryMb: 0, gpu: 0 }).cpu; // 300
 */
export function subtractResources(a: Resources, b: Resources): Resources {
  return { cpu: a.cpu - b.cpu, memoryMb: a.memoryMb - b.memoryMb, gpu: a.gpu - b.gpu };
}

/**
 * Multiplies every amount.
 *
 * @example
 * times({ cpu: 500, memoryMb: 64, gpu: 1 }, 3).gpu; // 3
 */
export function multiplyResources(a: Resources, factor: number): Resources {
  return { cpu: a.cpu * factor, memoryMb: a.memoryMb * factor, gpu: a.gpu * factor };
}

/**
 * Whether the need is within the room in every resource.
 *
 * @example
 * fits({ cpu: 500, memoryMb: 64, gpu: 0 }, { cpu: 400, memoryMb: 64, gpu: 0 }); // false
 */
export function fits(need: Resources, room: Resources): boolean {
  return need.cpu <= room.cpu && need.memoryMb <= room.memoryMb && need.gpu <= room.gpu;
}

/**
 * How many times the need fits into the room.
 *
 * @example
 * countFittingCopies({ cpu: 9_000, memoryMb: 0, gpu: 0 }, { cpu: 32_000, memoryMb: 0, gpu: 0 }); // 3
 */
export function countFittingCopies(need: Resources, room: Resources): number {
  if (!fits(need, room)) return 0;
  const ratios = [
    need.cpu > 0 ? room.cpu / need.cpu : Infinity,
    need.memoryMb > 0 ? room.memoryMb / need.memoryMb : Infinity,
    need.gpu > 0 ? room.gpu / need.gpu : Infinity,
  ];
  return Math.floor(Math.min(...ratios));
}
