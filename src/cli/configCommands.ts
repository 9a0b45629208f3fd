/** `teaselrill config ...`. Each function returns the exit code. */

import { randomUUID } from 'node:crypto'
import { userInfo } from 'node:os'
import { match } from 'ts-pattern'
import { sleep } from '../base/clock.js'
import type { Clock } from '../base/clock.js'
import { FailedError, messageOf } from '../base/errors.js'
import { formatFinding, hasErrors } from '../base/findings.js'
import { parseFleetConfig } from '../config/parseFleetConfig.js'
import type { ConfigChange, ProposalResult } from '../config/proposal.js'
import type * as platformConfigFile from '../platform/configFile.js'
import { CommandError, exitBadInput, exitFailure, exitOk, UsageError } from './commandErrors.js'
import { diffConfigs, formatDifferences } from './configDiff.js'
import { OperatorsClient } from './operatorsClient.js'
import type { InForce } from './operatorsClient.js'
import { nodeAccess, optionalInteger, optionalText, print, printError, printJson, readInput, requiredText, requireNoErrors } from './options.js'
import type { CommandOptions } from './options.js'
import { renderTable } from './renderData.js'

const defaultTimeoutMs = 30_000
const proposalRetryDelayMs = 500
const inForcePollMs = 250

/** Loads the code for the format of the users' platform if the text is in that format. */
async function platformFormat (text: string) {
  // A section of the product's own format does not start with a brace.
  return /^\s*\[?\s*\{/.test(text) ? import('../platform/configFile.js') : undefined
}

/** Prints all findings. Warnings do not fail the check. */
export async function configCheck (file: string, options: CommandOptions): Promise<number> {
  const text = readInput(file)
  const findings = (await platformFormat(text))?.checkPlatformConfig(text, { file }) ?? parseFleetConfig(text, { file, version: 1 }).findings
  if (options.json) printJson({ findings })
  else print([...findings.map(formatFinding), summary(file, findings)].join('\n'))
  return hasErrors(findings) ? exitBadInput : exitOk
}

function summary (file: string, findings: readonly { severity: string }[]): string {
  const errors = findings.filter(finding => finding.severity === 'error').length
  const count = (number: number, noun: string) => `${number} ${noun}${number === 1 ? '' : 's'}`
  return `${file}: ${count(errors, 'error')}, ${count(findings.length - errors, 'warning')}`
}

export async function configGet (clock: Clock, options: CommandOptions): Promise<number> {
  const config = await new OperatorsClient(nodeAccess(options), clock).config()
  if (!config) throw new CommandError('no configuration is in force on the node')
  if (options.json) printJson(config)
  else print(config.text.replace(/\n$/, ''))
  return exitOk
}

export async function configDiff (clock: Clock, file: string, options: CommandOptions): Promise<number> {
  const text = readInput(file)
  const inForceFile = optionalText(options, 'in-force')
  if (inForceFile !== undefined && ['settings', 'operators', 'key-file'].some(name => options[name] !== undefined)) {
    throw new UsageError('--in-force excludes --settings, --operators and --key-file')
  }
  const inForceText = inForceFile === undefined ? undefined : readInput(inForceFile)
  const platform = await platformFormat(text)
  if (inForceText !== undefined && !!platform !== !!await platformFormat(inForceText)) throw new UsageError(`"${file}" and "${inForceFile}" have different formats`)
  if (platform) return platformDiff(platform, clock, { file, text, inForceText }, options)
  requireNoErrors(parseFleetConfig(text, { file, version: 1 }).findings)
  const config = inForceText === undefined ? await new OperatorsClient(nodeAccess(options), clock).config() : { version: 0, text: inForceText }
  const differences = diffConfigs(config?.text ?? '', text)
  if (options.json) printJson({ version: config?.version ?? 0, differences })
  else print(differences.length > 0 ? formatDifferences(differences) : `no difference from ${inForceFile ?? `version ${config?.version ?? 0}`}`)
  return exitOk
}

/** Compares with the given text, or with the configuration in the store of the settings file. */
async function platformDiff (
  { checkPlatformConfig, diffPlatformTexts, formatPlatformDifferences }: typeof platformConfigFile,
  clock: Clock,
  { file, text, inForceText }: { file: string, text: string, inForceText: string | undefined },
  options: CommandOptions
): Promise<number> {
  if (options.operators !== undefined || options['key-file'] !== undefined) throw new UsageError('a configuration of the users\' platform is compared with its store: give --settings FILE or --in-force FILE')
  requireNoErrors(checkPlatformConfig(text, { file }))
  const { readStoredConfig } = await import('../platform/storeAccess.js')
  const settingsFile = optionalText(options, 'settings')
  if (settingsFile !== undefined) readInput(settingsFile)
  const diff = diffPlatformTexts(inForceText ?? await readStoredConfig(settingsFile, clock), text)
  if (diff instanceof Error) throw new CommandError(diff.message)
  if (options.json) printJson(diff)
  else print(diff.differences.length > 0 ? formatPlatformDifferences(diff.differences) : `no difference from version ${diff.version}`)
  if (diff.warning !== undefined) printError(`warning: ${diff.warning}`)
  return exitOk
}

export async function configHistory (clock: Clock, options: CommandOptions): Promise<number> {
  const history = await new OperatorsClient(nodeAccess(options), clock).history()
  if (options.json) printJson(history)
  else {
    const rows = history.map(record => ({ ...record, accepted: new Date(record.acceptedAtMs).toISOString() }))
    print(renderTable(['version', 'accepted', 'author', 'reason', 'proposalId'], rows))
  }
  return exitOk
}

export async function configPropose (clock: Clock, file: string, options: CommandOptions): Promise<number> {
  const reason = requiredText(options, 'reason')
  const author = optionalText(options, 'author') ?? userName()
  const proposalId = optionalText(options, 'proposal-id') ?? randomUUID()
  const base = optionalInteger(options, 'base', { min: 0 })
  const deadlineMs = clock.nowMs() + (optionalInteger(options, 'timeout-ms', { min: 1 }) ?? defaultTimeoutMs)
  const text = readInput(file)
  // Findings quote lines, and those of this format may contain keys of accounts.
  if (await platformFormat(text)) throw new UsageError(`"${file}" is in the format of the users' platform, whose operator writes it to the store`)
  requireNoErrors(parseFleetConfig(text, { file, version: 1 }).findings)
  const client = new OperatorsClient(nodeAccess(options), clock)
  const baseVersion = base ?? (await client.config())?.version ?? 0
  const change = { baseVersion, text, author, reason, proposalId }
  const outcome = await proposeAndWait(client, clock, change, { deadlineMs, file, say: options.json ? () => {} : print })
  if (options.json) printJson({ proposalId, baseVersion, result: outcome.result, nodes: outcome.nodes, missing: outcome.missing })
  if (outcome.failure) printError(outcome.failure)
  return outcome.exitCode
}

/** What the proposal needs of a node. */
export type ProposalClient = Pick<OperatorsClient, 'propose' | 'inForce'>

export interface ProposalOutcome {
  result: ProposalResult
  nodes: InForce['nodes']
  /** Nodes that do not confirm the version. */
  missing: string[]
  /** Why the exit code is not 0. */
  failure?: string
  exitCode: number
}

/** Proposes a change and waits until it is in force on each node. `say` gets a line for each step. */
export async function proposeAndWait (
  client: ProposalClient,
  clock: Clock,
  change: ConfigChange,
  { deadlineMs, file, say }: { deadlineMs: number, file: string, say: (line: string) => void }
): Promise<ProposalOutcome> {
  const result = await proposeUntil(client, clock, change, deadlineMs)
  if (result.kind !== 'accepted') {
    const failure = explainResult(result, { baseVersion: change.baseVersion, file })
    return { result, nodes: [], missing: [], failure, exitCode: result.kind === 'invalid' ? exitBadInput : exitFailure }
  }
  say(`accepted as version ${result.version}`)
  const { missing, nodes, error } = await waitInForce(client, clock, result.version, deadlineMs, say)
  const failures = [
    ...error ? [`the nodes' versions could not be read: ${error}`] : [],
    ...missing.length > 0 ? [`not in force on: ${missing.join(', ')}; these nodes get version ${result.version} when they can be reached`] : []
  ]
  if (failures.length === 0) return { result, nodes, missing, exitCode: exitOk }
  return { result, nodes, missing, failure: failures.join('\n'), exitCode: exitFailure }
}

function userName (): string {
  try {
    return userInfo().username
  } catch {
    throw new UsageError('the user has no name; give --author NAME')
  }
}

/** Repeats a proposal whose outcome is not known until the deadline. The proposal ID keeps it from being accepted twice. */
async function proposeUntil (client: ProposalClient, clock: Clock, change: ConfigChange, deadlineMs: number): Promise<ProposalResult> {
  let last: ProposalResult = { kind: 'unknown', proposalId: change.proposalId, reason: 'the deadline passed before the proposal was sent' }
  while (clock.nowMs() < deadlineMs) {
    try {
      last = await client.propose(change, { timeoutMs: deadlineMs - clock.nowMs() })
      if (last.kind !== 'unknown') return last
    } catch (error) {
      // A node that refuses, for example because of the key, will do so again.
      if (error instanceof FailedError) throw error
      last = { kind: 'unknown', proposalId: change.proposalId, reason: messageOf(error) }
    }
    await sleep(clock, Math.max(0, Math.min(proposalRetryDelayMs, deadlineMs - clock.nowMs())))
  }
  return last
}

function explainResult (result: Exclude<ProposalResult, { kind: 'accepted' }>, { baseVersion, file }: { baseVersion: number, file: string }): string {
  return match(result)
    .with({ kind: 'conflict' }, conflict => `conflict: version ${conflict.currentVersion} by ${conflict.currentAuthor || 'nobody'} is current, not the base ${baseVersion}; nothing was written. Compare with: config diff ${file}`)
    .with({ kind: 'invalid' }, invalid => invalid.findings.map(finding => formatFinding({ ...finding, file })).join('\n'))
    .with({ kind: 'unknown' }, unknown => `unknown: ${unknown.reason}. To resolve it, repeat the command with --base ${baseVersion} --proposal-id ${unknown.proposalId}`)
    .exhaustive()
}

interface InForceResult {
  nodes: InForce['nodes']
  /** Nodes that do not confirm the version. */
  missing: string[]
  /** Why the versions could not be read, if the last attempt failed. */
  error?: string
}

/** Polls until `version` or a later one is in force on each node, or until the deadline. Reports each node once. */
async function waitInForce (client: ProposalClient, clock: Clock, version: number, deadlineMs: number, say: (line: string) => void): Promise<InForceResult> {
  const startedAtMs = clock.nowMs()
  const confirmed = new Set<string>()
  let result: InForceResult = { nodes: [], missing: [], error: 'the deadline passed' }
  do {
    try {
      const { nodes } = await client.inForce({ timeoutMs: Math.max(1_000, deadlineMs - clock.nowMs()) })
      for (const node of nodes) {
        if (node.version < version || confirmed.has(node.name)) continue
        confirmed.add(node.name)
        say(`in force on ${node.name} after ${clock.nowMs() - startedAtMs} ms`)
      }
      const missing = nodes.filter(node => node.version < version)
        .map(node => `${node.name} (${node.reachable ? `version ${node.version}` : 'does not answer'})`)
      result = nodes.length > 0 ? { nodes, missing } : { nodes, missing, error: 'the node lists no nodes' }
      if (!result.error && missing.length === 0) break
    } catch (error) {
      result = { ...result, error: messageOf(error) }
    }
    await sleep(clock, Math.max(0, Math.min(inForcePollMs, deadlineMs - clock.nowMs())))
  } while (clock.nowMs() < deadlineMs)
  return result
}
