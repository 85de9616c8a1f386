/**
 * The command line interface for operators: parses the arguments and runs the command.
 */
import type { Either } from 'purify-ts';
import yargs from 'yargs';
import type { Argv } from 'yargs';

import type { CommandContext } from './_context.ts';
import * as edits from './_edit_commands.ts';
import * as jobs from './_job_commands.ts';
import { explainFromLogs, showDelays } from './_log_commands.ts';
import * as settings from './_settings_commands.ts';
import { makeOperatorClient } from './client.ts';
import { ExitCode, makeInputFailure } from './exit.ts';
import type { CommandFailure } from './exit.ts';

/** The output and the environment variables of a command. */
export interface CommandEnvironment {
  out: (text: string) => void;
  err: (text: string) => void;
  env: Record<string, string | undefined>;
}

type CommandResult = Either<CommandFailure, void> | Promise<Either<CommandFailure, void>>;
type CommandRunner = (execute: (context: CommandContext) => CommandResult) => Promise<void>;

const defaultServer = 'http://127.0.0.1:8081';
const maxHelpColumns = 100;

function addSettingsCommands(parser: Argv, run: CommandRunner): void {
  const folderOption = {
    type: 'string',
    demandOption: true,
    describe: 'Folder of a settings tree',
  } as const;
  parser
    .command(
      'check <dir>',
      'Check a settings tree without a server',
      (y) => y.positional('dir', folderOption),
      ({ dir }) => run((context) => settings.checkFolder(context, dir)),
    )
    .command(
      'apply <dir>',
      'Replace the current settings by those of a folder',
      (y) =>
        y
          .positional('dir', folderOption)
          .option('base', {
            type: 'number',
            describe: 'Settings version that the folder is based on',
          })
          .option('note', { type: 'string', default: '', describe: 'Note for the history' }),
      ({ dir, base, note }) =>
        run((context) => settings.applyFolder(context, { folder: dir, base, note })),
    )
    .command(
      'show [file]',
      'Show the current settings, or one of their files',
      (y) =>
        y
          .positional('file', { type: 'string', describe: 'Path in the tree' })
          .option('dir', { type: 'string', describe: 'Write the files to this empty folder' }),
      ({ file, dir }) => run((context) => settings.showSettings(context, { file, folder: dir })),
    )
    .command(
      'diff <dir>',
      'Show how a folder differs from the current settings',
      (y) => y.positional('dir', folderOption),
      ({ dir }) => run((context) => settings.diffFolder(context, dir)),
    )
    .command(
      'history',
      'Show who changed the settings',
      (y) => y.option('limit', { type: 'number', default: 20, describe: 'Number of changes' }),
      ({ limit }) => run((context) => settings.showHistory(context, limit)),
    )
    .command(
      'operator-key <name>',
      'Create an operator key and print its section for fleet.ini',
      (y) => y.positional('name', { type: 'string', demandOption: true }),
      ({ name }) => run((context) => settings.createOperatorKey(context, name)),
    );
}

const nameOption = { type: 'string', demandOption: true } as const;
const numberOption = { type: 'number' } as const;

function addTeamCommands(parser: Argv, run: CommandRunner): void {
  parser
    .command('team', 'Teams, their shares and limits', (y) =>
      y
        .command(
          'create <team>',
          'Create a team',
          (z) =>
            z
              .positional('team', nameOption)
              .option('limit', {
                ...numberOption,
                demandOption: true,
                describe: 'Maximum number of running tasks',
              })
              .option('share', {
                ...numberOption,
                default: 1,
                describe: 'Weight relative to other teams',
              }),
          ({ team, limit, share }) =>
            run((context) => edits.createTeam(context, { team, limit, share })),
        )
        .command(
          'set <team>',
          'Change the limit or share of a team',
          (z) =>
            z
              .positional('team', nameOption)
              .option('limit', numberOption)
              .option('share', numberOption),
          ({ team, limit, share }) =>
            run((context) => edits.updateTeam(context, { team, values: { limit, share } })),
        )
        .command('list', 'List the teams', {}, () => run(edits.listTeams))
        .demandCommand(1, 'team needs one of: create, set, list'),
    )
    .command('key', 'Keys of teams', (y) =>
      y
        .command(
          'issue <team> <id>',
          'Issue a key and show it once',
          (z) => z.positional('team', nameOption).positional('id', nameOption),
          ({ team, id }) => run((context) => edits.issueTeamKey(context, { team, id })),
        )
        .command(
          'withdraw <team> <id>',
          'Withdraw a key',
          (z) => z.positional('team', nameOption).positional('id', nameOption),
          ({ team, id }) => run((context) => edits.withdrawTeamKey(context, { team, id })),
        )
        .command(
          'list [team]',
          'List key ids',
          (z) => z.positional('team', { type: 'string' }),
          ({ team }) => run((context) => edits.listTeamKeys(context, team)),
        )
        .demandCommand(1, 'key needs one of: issue, withdraw, list'),
    );
}

function addFleetCommands(parser: Argv, run: CommandRunner): void {
  const dataCentre = (command: string, describe: string, inService: boolean) =>
    [
      `${command} <name>`,
      describe,
      (z: Argv) => z.positional('name', nameOption),
      (argv: { name: string }) =>
        run((context) => edits.setDataCentreInService(context, { name: argv.name, inService })),
    ] as const;
  const upstream = (command: string, describe: string, leaving: boolean) =>
    [
      `${command} <id>`,
      describe,
      (z: Argv) => z.positional('id', nameOption),
      (argv: { id: string }) =>
        run((context) => edits.setUpstreamLeaving(context, { id: argv.id, leaving })),
    ] as const;
  parser
    .command('data-centre', 'Data centres in and out of service', (y) =>
      y
        .command(...dataCentre('out', 'Take a data centre out of service', false))
        .command(...dataCentre('in', 'Put a data centre back into service', true))
        .command('list', 'List the data centres', {}, () => run(edits.listDataCentres))
        .demandCommand(1, 'data-centre needs one of: out, in, list'),
    )
    .command('upstream', 'Upstreams and whether they are leaving', (y) =>
      y
        .command(
          ...upstream('leave', 'Give an upstream no new work and move its work to others', true),
        )
        .command(...upstream('return', 'Give an upstream work again', false))
        .command('list', 'List the upstreams', {}, () => run(edits.listUpstreams))
        .demandCommand(1, 'upstream needs one of: leave, return, list'),
    );
}

function addJobCommands(parser: Argv, run: CommandRunner): void {
  parser
    .command(
      'jobs',
      'List jobs',
      (y) => y.option('team', { type: 'string' }).option('state', { type: 'string' }),
      ({ team, state }) => run((context) => jobs.listJobs(context, { team, state })),
    )
    .command(
      'cancel <id>',
      'Cancel a job',
      (y) => y.positional('id', nameOption).option('team', { type: 'string' }),
      ({ id, team }) => run((context) => jobs.cancelJob(context, { id, team })),
    )
    .command(
      'explain <id> [logs..]',
      'Explain why a job or lookup waits, or where it ran; from log files also its outcome',
      (y) =>
        y
          .positional('id', nameOption)
          .positional('logs', {
            type: 'string',
            array: true,
            default: [],
            describe: 'Log files of entry processes; without them the server is asked',
          })
          .example('$0 explain 5c0e7a21d94b36f8 edge-*.log', 'The timeline of a job and its cause'),
      ({ id, logs }) =>
        run((context) =>
          logs.length > 0
            ? explainFromLogs(context, { id, files: logs })
            : jobs.explainJob(context, id),
        ),
    )
    .command(
      'delays <logs..>',
      'Show from log files in which stages jobs spend their time, per second',
      (y) =>
        y
          .positional('logs', { type: 'string', array: true, demandOption: true })
          .option('queue', { type: 'string', describe: 'Only this queue' })
          .example('$0 delays edge-*.log', 'The stages of all jobs'),
      ({ logs, queue }) => run((context) => showDelays(context, { queue, files: logs })),
    )
    .command(
      'state [member]',
      'Show the state of the contacted process, or of another member',
      (y) => y.positional('member', { type: 'string' }),
      ({ member }) => run((context) => jobs.showState(context, member)),
    );
}

/**
 * Runs a command line and returns its exit code.
 *
 * @example
 * await runOperator(['check', 'settings'], { out, err, env: process.env });
 */
export async function runOperator(
  args: string[],
  environment: CommandEnvironment,
): Promise<ExitCode> {
  const { out, err, env } = environment;
  let code: ExitCode = ExitCode.Success;
  const reportFailure = (failure: CommandFailure) => {
    err(failure.message);
    code = failure.code;
  };
  let serverAccess: Parameters<typeof makeOperatorClient>[0] = { server: defaultServer };
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
      serverAccess = { server, key };
    })
    .strict()
    .demandCommand(1, 'missing command; dogwood --help lists the commands')
    .recommendCommands()
    .exitProcess(false)
    .version(false)
    .wrap(maxHelpColumns)
    .fail((message, error) => {
      throw error ?? new Error(message);
    });
  const run: CommandRunner = async (execute) => {
    const context: CommandContext = { client: makeOperatorClient(serverAccess), out, err };
    const result = await execute(context);
    result.ifLeft(reportFailure);
  };
  [addSettingsCommands, addTeamCommands, addFleetCommands, addJobCommands].forEach((addCommands) =>
    addCommands(parser, run),
  );
  try {
    await parser.parseAsync();
  } catch (error) {
    reportFailure(
      makeInputFailure(`dogwood: ${error instanceof Error ? error.message : String(error)}`),
    );
  }
  return code;
}
