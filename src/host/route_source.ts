/**
 * The routes in force, derived from the operator state while that is fresh.
 */
import type { OperatorState } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { makeRouteTable } from '../front/mod.ts';
import type { RouteTable } from '../front/mod.ts';

/**
 * Makes a function that returns the routes in force; undefined if they are unknown or may be stale.
 *
 * @example
 * const getRoutes = makeRouteSource({ clock, operatorState, maxAgeMs: 1_650 });
 */
export function makeRouteSource(options: {
  clock: Clock;
  operatorState(): OperatorState | undefined;
  /** Longest time since the operator state was last known to be current. */
  maxAgeMs: number;
}): () => RouteTable | undefined {
  const { clock, operatorState, maxAgeMs } = options;
  let routes: RouteTable | undefined;
  return () => {
    const current = operatorState();
    if (!current || clock.now() - current.currentAtMs > maxAgeMs) return undefined;
    if (routes?.version !== current.configuration.version) {
      routes = makeRouteTable(current.configuration);
    }
    return routes;
  };
}
