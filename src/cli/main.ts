#!/usr/bin/env node
/** The `teaselrill` command. Exit codes: 0 success, 1 failure, 2 bad usage or input. */

import { readFileSync, writeFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import sade from 'sade'
import type { Sade } from 'sade'
import { SystemClock } from '../base/clock.js'
import { messageOf } from '../base/errors.js'
import { FindingsError } from '../base/findings.js'
import { CommandError, exitBadInput, exitFailure, exitOk, UsageError } from './commandErrors.js'
import { nodeAccess, optionalInteger, optionalText, print, printError, printJson, readInput, requiredText, valueOptions } from './options.js'
import type { CommandOptions } from './options.js'
import type { OperatorsClient } from './operatorsClient.js'

const clock = new SystemClock()

// A node on the users' platform must serve soon after a restart on a third of a core. The other commands load all of undici, which takes
// 0.15 s of processor time, so each command loads its own modules.
const configCommands = () => import('./configCommands.js')
const rendering = () => import('./renderData.js')

async function operatorsClient (options: CommandOptions): Promise<OperatorsClient> {
  const { OperatorsClient } = await import('./operatorsClient.js')
  return new OperatorsClient(nodeAccess(options), clock)
}

/** Prints a report of a node. */
async function printReport (path: Parameters<OperatorsClient['report']>[0], options: CommandOptions): Promise<number> {
  const report = await (await operatorsClient(options)).report(path)
  if (report === undefined) throw new CommandError(path.startsWith('/v1/explain/') ? 'no node has a trace of the request' : `the node does not answer ${path}`)
  if (options.json) printJson(report)
  else print((await rendering()).renderData(report))
  return exitOk
}

/** Explains a request from log files, or asks a node for its trace. */
async function explain (requestId: string, options: CommandOptions): Promise<number> {
  const files = optionalText(options, 'logs')
  if (files === undefined) return printReport(`/v1/explain/${encodeURIComponent(requestId)}`, options)
  const { explainFromLogs } = await import('./explainLogs.js')
  const lines = files.split(',').flatMap(file => readInput(file === '-' ? '/dev/stdin' : file).split('\n'))
  const sentences = explainFromLogs(lines, requestId)
  if (sentences.length === 0) throw new CommandError(`no log line names the request ${requestId}; requests without incident are sampled`)
  if (options.json) printJson(sentences)
  else for (const sentence of sentences) print(sentence)
  return exitOk
}

async function reportBurn (options: CommandOptions): Promise<number> {
  const file = optionalText(options, 'html')
  const client = await operatorsClient(options)
  const { burnAnswerSchema, burnReport, renderBurnHtml, renderBurnText } = await import('./burnReport.js')
  const answer = burnAnswerSchema.safeParse(await client.report('/v1/burn'))
  if (!answer.success) throw new CommandError(`the answer to /v1/burn is not understood: ${messageOf(answer.error)}`)
  const report = burnReport(answer.data)
  if (file !== undefined) {
    try {
      writeFileSync(file, renderBurnHtml(report, { createdAtMs: clock.nowMs() }))
    } catch (error) {
      throw new CommandError(`cannot write "${file}": ${messageOf(error)}`)
    }
  }
  if (options.json) printJson({ ...answer.data, report })
  else if (file === undefined) print(renderBurnText(report))
  return exitOk
}

/** Prints the prompt parts whose requests are refused on the users' platform. */
async function listQuarantines (options: CommandOptions): Promise<number> {
  const commands = await import('../platform/quarantineCommands.js')
  const verdicts = await commands.listQuarantines(optionalText(options, 'settings'), clock)
  if (options.json) printJson(verdicts)
  else if (verdicts.length === 0) print('no prompt part is in quarantine')
  else {
    const { renderTable } = await rendering()
    print(renderTable(['parts', 'engines ended', 'first end, s ago', 'left, s', 'renewals', 'software'], verdicts.map(({ parts, ends, firstEndAgeMs, leftMs, renewals, software }) => ({
      parts, 'engines ended': ends, 'first end, s ago': Math.round(firstEndAgeMs / 1000), 'left, s': Math.round(leftMs / 1000), renewals, software
    }))))
  }
  return exitOk
}

async function liftQuarantine (part: string, options: CommandOptions): Promise<number> {
  const commands = await import('../platform/quarantineCommands.js')
  const lift = { part, reason: requiredText(options, 'reason'), author: optionalText(options, 'author') ?? userInfo().username }
  await commands.liftQuarantine(optionalText(options, 'settings'), clock, lift)
  print(`the placement leader will let requests with ${part} pass`)
  return exitOk
}

function withAccess (program: Sade): Sade {
  return program
    .option('--settings', 'Settings file of a node, or one with only [operators] listen and [deployment] key')
    .option('--operators', 'Address IP:PORT of a node\'s operators\' port, with --key-file')
    .option('--key-file', 'File that contains the deployment key')
}

function withJson (program: Sade): Sade {
  return program.option('--json', 'Print data as JSON')
}

function packageVersion (): string {
  return JSON.parse(readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')).version
}

function createProgram (): Sade {
  const program = sade('teaselrill').version(packageVersion()).describe('Serves many models on few accelerators. Exit codes: 0 success, 1 failure, 2 bad usage or input.')
  program.command('node', 'Run a node until SIGTERM or SIGINT')
    .option('--settings', 'Settings file of the node')
    .action(async (options: CommandOptions) => (await import('./nodeCommand.js')).runNode(options))
  program.command('serve', 'Run a node on the users\' platform, with the settings file that the platform names, until SIGTERM')
    .option('--log-lines', 'Log lines of one event in a second; by default 40')
    .option('--metrics-port', 'Port of the metrics; by default 9464')
    .action(async (options: CommandOptions) => (await import('../platform/serve.js')).serve({
      linesPerSecond: optionalInteger(options, 'log-lines', { min: 1 }), metricsPort: optionalInteger(options, 'metrics-port', { min: 1 })
    }))
  withJson(program.command('quarantine list', 'Print the prompt parts whose requests are refused because engines ended under them'))
    .option('--settings', 'Settings file of a node on the users\' platform; by default the one that the platform names')
    .action((options: CommandOptions) => listQuarantines(options))
  program.command('quarantine lift <part>', 'Let requests with a prompt part in quarantine pass again')
    .option('--settings', 'Settings file of a node on the users\' platform; by default the one that the platform names')
    .option('--reason', 'Why it is lifted (required)')
    .option('--author', 'Name of the operator; by default the user name')
    .action((part: string, options: CommandOptions) => liftQuarantine(part, options))
  withJson(program.command('config check <file>', 'Check a configuration, of a fleet or of the users\' platform, and print all findings'))
    .action(async (file: string, options: CommandOptions) => (await configCommands()).configCheck(file, options))
  withAccess(withJson(program.command('config get', 'Print the fleet configuration in force')))
    .action(async (options: CommandOptions) => (await configCommands()).configGet(clock, options))
  withAccess(withJson(program.command('config diff <file>', 'Compare a file with the configuration in force, by section and key, or by path on the users\' platform')))
    .option('--in-force', 'File that is compared with, instead of the configuration in force')
    .action(async (file: string, options: CommandOptions) => (await configCommands()).configDiff(clock, file, options))
  withAccess(withJson(program.command('config propose <file>', 'Propose a file as the next version and wait until it is in force on each node')))
    .option('--reason', 'Why the configuration changes (required)')
    .option('--author', 'Name of the operator; by default the user name')
    .option('--base', 'Version that the file is based on; by default the one in force')
    .option('--timeout-ms', 'Time limit in milliseconds; by default 30000')
    .option('--proposal-id', 'ID of an earlier proposal whose outcome is unknown')
    .action(async (file: string, options: CommandOptions) => (await configCommands()).configPropose(clock, file, options))
  withAccess(withJson(program.command('config history', 'List the kept versions')))
    .action(async (options: CommandOptions) => (await configCommands()).configHistory(clock, options))
  withAccess(withJson(program.command('status', 'Print the state of the fleet')))
    .action((options: CommandOptions) => printReport('/v1/status', options))
  withAccess(withJson(program.command('explain <requestId>', 'Print what happened to a request')))
    .option('--logs', 'Log files of nodes, separated by commas, instead of a node; - is standard input')
    .action((requestId: string, options: CommandOptions) => explain(requestId, options))
  withAccess(withJson(program.command('report burn', 'Print the use of the error budgets')))
    .option('--html', 'File to write as an HTML page')
    .action((options: CommandOptions) => reportBurn(options))
  return program
}

/** Thrown instead of the exit with code 1 with which sade ends bad usage, after it printed why. */
class SadeExit extends Error {}

function parseArguments (program: Sade, argv: string[]) {
  const exit = process.exit
  process.exit = () => { throw new SadeExit() }
  try {
    return program.parse(argv, {
      lazy: true,
      string: valueOptions,
      boolean: ['json'],
      // Only the name is printed, since a key that is given by mistake would be the value.
      unknown: flag => `Unknown option: ${flag.split('=')[0]}`
    })
  } finally {
    process.exit = exit
  }
}

async function main (argv: string[]): Promise<number> {
  try {
    const command = parseArguments(createProgram(), argv)
    // Help was printed.
    if (!command) return exitOk
    const rest = (command.args.at(-1) as unknown as { _: string[] })._
    if (rest.length > 0) throw new UsageError(`${rest.length} unexpected arguments after "${command.name}"`)
    const exitCode: number = await command.handler(...command.args.map(argument => typeof argument === 'number' ? String(argument) : argument))
    // Connections that callers keep open must not hold the process once the node has stopped.
    if (command.name === 'node' || command.name === 'serve') process.exit(exitCode)
    return exitCode
  } catch (error) {
    if (error instanceof SadeExit) return exitBadInput
    printError(messageOf(error))
    return error instanceof UsageError || error instanceof FindingsError ? exitBadInput : exitFailure
  }
}

process.exitCode = await main(process.argv)
