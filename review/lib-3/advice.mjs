/**
 * A stand-in for the advice service: it answers one call at a time for each calling machine, names the
 * workers that may run a step, and refuses a call that names more workers than the users' pages allow.
 */
import { createServer } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { performance } from 'node:perf_hooks';

const maxWorkersPerCall = 100;
const maxWaitingCalls = 32;

/** Starts the service; `isValid` of the result tells a worker whether a start carries a valid ticket. */
export default async function startAdvice({ ip, allows, timing, log }) {
  const tickets = new Map();
  const queues = new Map();
  let ticketCount = 0;

  function decide({ step, workers }) {
    const untilMs = performance.now() + timing.validity_ms;
    return workers
      .filter((worker) => allows(worker, step))
      .map((worker) => {
        ticketCount += 1;
        const ticket = `t${ticketCount}`;
        tickets.set(ticket, { step, worker, untilMs });
        return [worker, ticket];
      });
  }

  async function advise(body, caller) {
    if (!Array.isArray(body.workers) || body.workers.length > maxWorkersPerCall)
      return { status: 400 };
    const queue = queues.get(caller) ?? { waiting: 0, last: Promise.resolve() };
    queues.set(caller, queue);
    if (queue.waiting >= maxWaitingCalls) return { status: 429 };
    queue.waiting += 1;
    const turn = queue.last.then(
      () =>
        new Promise((resolve) => {
          setTimeout(resolve, timing.decision_ms + timing.period_ms * body.workers.length);
        }),
    );
    queue.last = turn;
    await turn;
    queue.waiting -= 1;
    return { status: 200, allowed: decide(body) };
  }

  async function handle(request, response) {
    const body = JSON.parse(await readText(request));
    const { status, allowed } = await advise(body, request.socket.remoteAddress);
    log('advice', {
      step: body.step,
      workers: body.workers?.length,
      status,
      allowed: allowed?.length,
    });
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(allowed ? { allowed } : {}));
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  return {
    address: `${ip}:${server.address().port}`,
    isValid(ticket, { task, worker }) {
      const known = tickets.get(ticket);
      const step = task.slice(0, task.lastIndexOf('.'));
      return known?.step === step && known.worker === worker && performance.now() < known.untilMs;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
