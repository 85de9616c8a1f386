/**
 * The deployments of the design page and its target, as the bench measures them.
 */
import type { Size } from '../schema/mod.ts';

/** A fleet with its teams. */
export interface Deployment {
  name: string;
  regions: number;
  dataCentres: number;
  workers: number;
  perRack: number;
  capacity: Size;
  /** Part of the workers that have accelerators. */
  accelerated: number;
  weights: number[];
  processes: number;
  lookupsPerSecond: number;
  /** Mean run time of heavy tasks, in seconds. */
  runSeconds: number;
}

const gigabyte = 1_024;

/** The deployments of the design page and its target. */
export const deployments: Deployment[] = [
  {
    name: 'kereru',
    regions: 1,
    dataCentres: 3,
    workers: 30,
    perRack: 8,
    capacity: { processors: 30, memoryMb: 64 * gigabyte, accelerators: 0, slots: 8 },
    accelerated: 0,
    weights: [8, 5, 1, 1, 1, 1],
    processes: 6,
    lookupsPerSecond: 60,
    runSeconds: 60,
  },
  {
    name: 'beaters',
    regions: 1,
    dataCentres: 4,
    workers: 30,
    perRack: 6,
    capacity: { processors: 16, memoryMb: 32 * gigabyte, accelerators: 0, slots: 8 },
    accelerated: 0,
    weights: [8, 5, 1, 1, 1, 1],
    processes: 6,
    lookupsPerSecond: 30,
    runSeconds: 60,
  },
  {
    name: 'target',
    regions: 3,
    dataCentres: 12,
    workers: 1_100,
    perRack: 8,
    capacity: { processors: 30, memoryMb: 64 * gigabyte, accelerators: 0, slots: 8 },
    accelerated: 0.1,
    weights: Array.from({ length: 180 }, (_, i) => Math.max(1, Math.round(100 / (i + 1)))),
    processes: 36,
    lookupsPerSecond: 118,
    runSeconds: 600,
  },
];
