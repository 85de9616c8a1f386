/**
 * Team upper limits as a process sees them: units that it may use for running tasks.
 */

/** The units of each team's upper limit that this process holds. */
export interface Limits {
  /** Takes units for starts; false when fewer are free, and then it takes none. */
  take(team: string, count?: number): boolean;
  /** Returns units of tasks that have certainly ended or were certainly not started. */
  giveBack(team: string, count?: number): void;
  /** Counts tasks that were found running on an acquired worker. */
  adopt(team: string, count: number): void;
  free(team: string): number;
  held(team: string): number;
  used(team: string): number;
  /** By how much a lowered limit is exceeded here; that many tasks must be stopped. */
  excess(team: string): number;
  /** Asks for units ahead of need; resolves when the request has been dealt with. */
  want(team: string, count: number): Promise<void>;
  /**
   * Other members that hold units which this process cannot borrow, by the last read of the team's
   * row. Empty while there are units to borrow for any member.
   */
  holders(team: string): string[];
}
