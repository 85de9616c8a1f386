/**
 * Stand-ins (fake HTTP servers with injectable faults) for the platform's services and for workers,
 * for tests and benchmarks.
 */
export * from './services.ts';
export * from './worker.ts';
export { startServer } from './_server.ts';
export type {
  StandinRequest,
  Faults,
  StandinResponse,
  Standin,
  StandinOptions,
} from './_server.ts';
export type { StartRecord, WorkerFaults } from './_worker_state.ts';
