/**
 * A stand-in for the advice service: a call takes `decision_ms` and `period_ms` for each worker named, and
 * tickets are valid for a while. All entry processes call from one address here, so calls do not wait for
 * each other as those of one machine do at the platform's service.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable import-x/prefer-default-export -- the house style has named exports only */
import { serve, sleep } from './http.mjs';

/** Starts the service; `allows(worker, step)` says which workers may run a step. */
export async function startAdvice({ ip, decisionMs, periodMs, validityMs, allows }) {
  const tickets = new Map();
  let issued = 0;

  async function advise({ step, workers }) {
    await sleep(decisionMs + periodMs * workers.length);
    const allowed = workers.filter((worker) => allows(worker, step));
    const rows = allowed.map((worker) => {
      issued += 1;
      const ticket = `t${issued}`;
      tickets.set(ticket, { step, worker, untilMs: performance.now() + validityMs });
      return [worker, ticket];
    });
    return { status: 200, body: { allowed: rows, validity_ms: validityMs } };
  }

  const server = await serve(ip, ({ body }) => advise(body));

  return {
    ...server,
    /** Whether a start carries a valid ticket for its step and worker. */
    isTicketValid({ worker, task, ticket }) {
      const known = tickets.get(ticket);
      const step = task.split('.').slice(0, 3).join('.');
      return known?.step === step && known.worker === worker && known.untilMs > performance.now();
    },
  };
}
