/**
 * The command line of the operator.
 */
import type { Either } from 'purify-ts';
import yargs from 'yargs';
import type { Argv } from 'yargs';

import type { Context } from './_context.ts';
import * as edits from './_edit_commands.ts';
import * as jobs from './_job_commands.ts';
import { explainFromLogs, showDelays } from './_log_commands.ts';
import * as settings from './_settings_commands.ts';
import { makeClient } from './client.ts';
import { ExitCode, wrong } from './exit.ts';
import type { Trouble } from './exit.ts';

/** Where a command writes to and reads its environment from. */
export interface Surroundings {
  out: (text: string) => void;
  err: (text: string) => void;
  env: Record<string, string | undefined>;
}

type Result = Either<Trouble, void> | Promise<Either<Trouble, void>>;
type Run = (work: (context: Context) => Result) => Promise<void>;

const defaultServer = 'http://127.0.0.1:8081';
const maxWidth = 100;

function addSettings(parser: Argv, run: Run): void {
  const folder = {
    type: 'string',
    demandOption: true,
    describe: 'Folder of a settings tree',
  } as const;
  parser
    .command(
      'check <dir>',
      'Check a settings tree; no process needs to run',
      (y) => y.positional('dir', folder),
      ({ dir }) => run((context) => settings.check(context, dir)),
    )
    .command(
      'apply <dir>',
      'Make the settings in force those of a folder',
      (y) =>
        y
          .positional('dir', folder)
          .option('base', { type: 'number', describe: 'Version that the folder was made from' })
          .option('note', { type: 'string', default: '', describe: 'Note for the history' }),
      ({ dir, base, note }) =>
        run((context) => settings.apply(context, { folder: dir, base, note })),
    )
    .command(
      'show [file]',
      'Show the settings in force, or one of their files',
      (y) =>
        y
          .positional('file', { type: 'string', describe: 'Path in the tree' })
          .option('dir', { type: 'string', describe: 'Write the files to this empty folder' }),
      ({ file, dir }) => run((context) => settings.show(context, { file, folder: dir })),
    )
    .command(
      'diff <dir>',
      'Show how a folder differs from the settings in force',
      (y) => y.positional('dir', folder),
      ({ dir }) => run((context) => settings.diff(context, dir)),
    )
    .command(
      'history',
      'Show who changed the settings',
      (y) => y.option('limit', { type: 'number', default: 20, describe: 'Number of changes' }),
      ({ limit }) => run((context) => settings.history(context, limit)),
    )
    .command(
      'operator-key <name>',
      'Create an operator key and print its section for fleet.ini',
      (y) => y.positional('name', { type: 'string', demandOption: true }),
      ({ name }) => run((context) => settings.operatorKey(context, name)),
    );
}

const name = { type: 'string', demandOption: true } as const;
const number = { type: 'number' } as const;

function addTeams(parser: Argv, run: Run): void {
  parser
    .command('team', 'Teams, their shares and limits', (y) =>
      y
        .command(
          'create <team>',
          'Create a team',
          (z) =>
            z
              .positional('team', name)
              .option('limit', { ...number, demandOption: true, describe: 'Running tasks at most' })
              .option('share', { ...number, default: 1, describe: 'Weight against other teams' }),
          ({ team, limit, share }) =>
            run((context) => edits.createTeam(context, { team, limit, share })),
        )
        .command(
          'set <team>',
          'Change the limit or share of a team',
          (z) => z.positional('team', name).option('limit', number).option('share', number),
          ({ team, limit, share }) =>
            run((context) => edits.setTeam(context, { team, values: { limit, share } })),
        )
        .command('list', 'List the teams', {}, () => run(edits.teamList))
        .demandCommand(1, 'team needs one of: create, set, list'),
    )
    .command('key', 'Keys of teams', (y) =>
      y
        .command(
          'issue <team> <id>',
          'Issue a key and show it once',
          (z) => z.positional('team', name).positional('id', name),
          ({ team, id }) => run((context) => edits.keyIssue(context, { team, id })),
        )
        .command(
          'withdraw <team> <id>',
          'Withdraw a key',
          (z) => z.positional('team', name).positional('id', name),
          ({ team, id }) => run((context) => edits.keyWithdraw(context, { team, id })),
        )
        .command(
          'list [team]',
          'List key ids',
          (z) => z.positional('team', { type: 'string' }),
          ({ team }) => run((context) => edits.keyList(context, team)),
        )
        .demandCommand(1, 'key needs one of: issue, withdraw, list'),
    );
}

function addPlaces(parser: Argv, run: Run): void {
  const dataCentre = (command: string, describe: string, inService: boolean) =>
    [
      `${command} <name>`,
      describe,
      (z: Argv) => z.positional('name', name),
      (given: { name: string }) =>
        run((context) => edits.setDataCentre(context, { name: given.name, inService })),
    ] as const;
  const upstream = (command: string, describe: string, leaving: boolean) =>
    [
      `${command} <id>`,
      describe,
      (z: Argv) => z.positional('id', name),
      (given: { id: string }) =>
        run((context) => edits.setUpstream(context, { id: given.id, leaving })),
    ] as const;
  parser
    .command('data-centre', 'Data centres in and out of service', (y) =>
      y
        .command(...dataCentre('out', 'Take a data centre out of service', false))
        .command(...dataCentre('in', 'Put a data centre back into service', true))
        .command('list', 'List the data centres', {}, () => run(edits.dataCentreList))
        .demandCommand(1, 'data-centre needs one of: out, in, list'),
    )
    .command('upstream', 'Upstreams that leave and return', (y) =>
      y
        .command(...upstream('leave', 'Give an upstream no new work and move its work away', true))
        .command(...upstream('return', 'Give an upstream work again', false))
        .command('list', 'List the upstreams', {}, () => run(edits.upstreamList))
        .demandCommand(1, 'upstream needs one of: leave, return, list'),
    );
}

function addJobs(parser: Argv, run: Run): void {
  parser
    .command(
      'jobs',
      'List jobs',
      (y) => y.option('team', { type: 'string' }).option('state', { type: 'string' }),
      ({ team, state }) => run((context) => jobs.jobs(context, { team, state })),
    )
    .command(
      'cancel <id>',
      'Cancel a job',
      (y) => y.positional('id', name).option('team', { type: 'string' }),
      ({ id, team }) => run((context) => jobs.cancel(context, { id, team })),
    )
    .command(
      'explain <id> [logs..]',
      'Say why a job or lookup waits, or where it ran; from log files what became of it',
      (y) =>
        y
          .positional('id', name)
          .positional('logs', {
            type: 'string',
            array: true,
            default: [],
            describe: 'Log files of entry processes; without any the fleet is asked',
          })
          .example('$0 explain 5c0e7a21d94b36f8 edge-*.log', 'The story of a job and its cause'),
      ({ id, logs }) =>
        run((context) =>
          logs.length > 0
            ? explainFromLogs(context, { id, files: logs })
            : jobs.explain(context, id),
        ),
    )
    .command(
      'delays <logs..>',
      'Show from log files where the time of jobs goes, second by second',
      (y) =>
        y
          .positional('logs', { type: 'string', array: true, demandOption: true })
          .option('queue', { type: 'string', describe: 'Only this queue' })
          .example('$0 delays edge-*.log', 'The stages of all jobs'),
      ({ logs, queue }) => run((context) => showDelays(context, { queue, files: logs })),
    )
    .command(
      'state [member]',
      'Show the state of the asked process, or of a member',
      (y) => y.positional('member', { type: 'string' }),
      ({ member }) => run((context) => jobs.showState(context, member)),
    );
}

/**
 * Runs the command line and returns the exit code.
 *
 * @example
 * await runOperator(['check', 'settings'], surroundings);
 */
export async function runOperator(args: string[], surroundings: Surroundings): Promise<ExitCode> {
  const { out, err, env } = surroundings;
  let code: ExitCode = ExitCode.Fine;
  const end = (trouble: Trouble) => {
    err(trouble.message);
    code = trouble.code;
  };
  let access: Parameters<typeof makeClient>[0] = { server: defaultServer };
  const parser = yargs(args)
    .scriptName('dogwood')
    .usage('$0 COMMAND')
    .option('server', {
      type: 'string',
      default: env.DOGWOOD_SERVER ?? defaultServer,
      describe: "Operators' interface of any entry process (or DOGWOOD_SERVER)",
    })
    .option('key', { type: 'string', describe: 'Operator key (better: DOGWOOD_KEY)' })
    .middleware(({ server, key = env.DOGWOOD_KEY }) => {
      access = { server, key };
    })
    .strict()
    .demandCommand(1, 'a command is needed; dogwood --help lists them')
    .recommendCommands()
    .exitProcess(false)
    .version(false)
    .wrap(maxWidth)
    .fail((message, error) => {
      throw error ?? new Error(message);
    });
  const run: Run = async (work) => {
    const context: Context = { client: makeClient(access), out, err };
    const result = await work(context);
    result.ifLeft(end);
  };
  [addSettings, addTeams, addPlaces, addJobs].forEach((add) => add(parser, run));
  try {
    await parser.parseAsync();
  } catch (error) {
    end(wrong(`dogwood: ${error instanceof Error ? error.message : String(error)}`));
  }
  return code;
}
