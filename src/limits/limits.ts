/**
 * The upper limits of teams as seen by a process: units that it may use to run tasks.
 */

/** The units of each team's upper limit that this process holds. */
export interface Limits {
  /** Takes units for tasks to start; returns false and takes none if fewer are free. */
  acquire(team: string, count?: number): boolean;
  /** Returns the units of tasks that certainly ended or certainly did not start. */
  release(team: string, count?: number): void;
  /** Counts units of tasks that were already running on a newly owned worker. */
  addRunning(team: string, count: number): void;
  free(team: string): number;
  held(team: string): number;
  used(team: string): number;
  /** Units in use beyond a lowered limit; that many tasks must be stopped. */
  excess(team: string): number;
  /** Borrows units if fewer than `count` are free; resolves when the attempt has ended. */
  requestUnits(team: string, count: number): Promise<void>;
  /**
   * Other members that hold units, according to the last read of the team's row. Empty while units
   * are left to borrow, unless the limit is too small to borrow ahead of need.
   */
  holders(team: string): string[];
}
