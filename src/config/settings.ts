/** Settings of one process, read from an INI file. */

import type { Finding } from '../base/findings.js'
import { hasErrors } from '../base/findings.js'
import type { LogLevel } from '../base/log.js'
import {
  addressField, allowedNames, bytesField, choiceField, listField, numberField, readFields, required, splitAddress, textField, withDefault
} from './fields.js'
import type { Fields, FieldValues } from './fields.js'
import { parseIni } from './ini.js'
import type { IniDocument } from './ini.js'

/** Settings of a node. Addresses are `IP:PORT`; port 0 of a `listen` lets the operating system choose. */
export interface Settings {
  node: { name: string, region: string, availabilityZone: string, logLevel: LogLevel }
  callers: { listen: string, maxConnections: number, bodyLimitBytes: number }
  operators: { listen: string }
  /** `advertise` is the address under which other nodes reach this one; port 0 stands for the port that was chosen. */
  peers: { listen: string, advertise: string, seeds: string[] }
  platform: { keyValueStore: string, vmList: string }
  /** `key` is not enumerable, so that logging or serializing the settings leaves it out. */
  deployment: { readonly key: string }
}

/** What a command needs to talk to a node. */
export type OperatorAccess = Pick<Settings, 'operators' | 'deployment'>

const nameField = textField({ pattern: /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, allowed: 'letters, digits, ".", "_" and "-", starting with a letter or digit, at most 100' })
const listenField = addressField({ portZero: true })

/** Sections and keys of the settings. */
export const settingsFields = {
  node: {
    name: required(nameField),
    region: required(nameField),
    availabilityZone: required(nameField),
    logLevel: withDefault(choiceField<LogLevel>(['debug', 'info', 'warn', 'error']), 'info')
  },
  callers: {
    listen: required(listenField),
    maxConnections: withDefault(numberField({ min: 1, max: 1_000_000, integer: true }), 10_000),
    bodyLimitBytes: withDefault(bytesField({ min: 1024, max: 2 ** 30 }), 4 * 2 ** 20)
  },
  operators: { listen: required(listenField) },
  peers: { listen: required(listenField), advertise: listenField, seeds: withDefault(listField(addressField()), []) },
  platform: { keyValueStore: required(addressField()), vmList: required(addressField()) },
  deployment: {
    key: { ...required(textField({ pattern: /^[\x21-\x7e]{16,}$/, allowed: 'at least 16 printable ASCII characters without spaces' })), secret: true }
  }
}

/** A deployment section whose key does not show up in logs, JSON or inspection. */
function deploymentOf (key: string): { readonly key: string } {
  return Object.defineProperty({}, 'key', { value: key, enumerable: false }) as { readonly key: string }
}

function readSection<F extends Fields> (document: IniDocument, name: string, fields: F): FieldValues<F> {
  const section = document.sections.find(candidate => candidate.name === name) ?? { name, line: 0, entries: [] }
  return readFields(section, fields, { file: document.file, findings: document.findings, secretKeys: name === 'deployment' })
}

function sortedByLine (findings: Finding[]): Finding[] {
  return findings.sort((left, right) => left.line - right.line)
}

function reportUnknownSections (document: IniDocument): void {
  const names = Object.keys(settingsFields)
  for (const { name, line } of document.sections) {
    if (names.includes(name)) continue
    document.findings.push({ file: document.file, line, key: name, severity: 'error', found: 'unknown section', allowed: allowedNames(name, names) })
  }
}

/** Reads the settings of a node. `settings` is absent if there is an error. Never throws; findings never contain the key. */
export function parseSettings (text: string, { file }: { file: string }): { settings?: Settings, findings: Finding[] } {
  const document = parseIni(text, { file })
  reportUnknownSections(document)
  const node = readSection(document, 'node', settingsFields.node)
  const callers = readSection(document, 'callers', settingsFields.callers)
  const operators = readSection(document, 'operators', settingsFields.operators)
  const peers = readSection(document, 'peers', settingsFields.peers)
  const platform = readSection(document, 'platform', settingsFields.platform)
  const deployment = readSection(document, 'deployment', settingsFields.deployment)
  const section = document.sections.find(({ name }) => name === 'peers')
  const advertise = peers.advertise ?? peers.listen
  if (section && advertise !== undefined && isWildcard(advertise)) {
    const line = section.entries.find(({ key }) => key === (peers.advertise ? 'advertise' : 'listen'))?.line ?? section.line
    document.findings.push({ file, line, key: 'peers.advertise', severity: 'error', found: `the wildcard address "${advertise}"`, allowed: 'an IP:PORT that other nodes can reach' })
  }
  const findings = sortedByLine(document.findings)
  if (hasErrors(findings)) return { findings }
  return {
    settings: {
      node: node as Settings['node'],
      callers: callers as Settings['callers'],
      operators: operators as Settings['operators'],
      peers: { listen: peers.listen!, advertise: advertise!, seeds: peers.seeds! },
      platform: platform as Settings['platform'],
      deployment: deploymentOf(deployment.key!)
    },
    findings
  }
}

/** Reads only what a command needs from a node's settings; other sections are ignored. Never throws. */
export function parseOperatorAccess (text: string, { file }: { file: string }): { access?: OperatorAccess, findings: Finding[] } {
  const document = parseIni(text, { file })
  const operators = readSection(document, 'operators', settingsFields.operators)
  const deployment = readSection(document, 'deployment', settingsFields.deployment)
  const findings = sortedByLine(document.findings)
  if (hasErrors(findings)) return { findings }
  return { access: { operators: { listen: operators.listen! }, deployment: deploymentOf(deployment.key!) }, findings }
}

/** Whether an address stands for all addresses of the machine. */
export function isWildcard (address: string): boolean {
  const host = splitAddress(address)?.host
  return host === '0.0.0.0' || (host !== undefined && host.includes(':') && /^[0:]*$/.test(host))
}
