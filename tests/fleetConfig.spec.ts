import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import fc from 'fast-check'
import { formatFinding, hasErrors } from '../src/base/findings.js'
import { ranks } from '../src/config/fleetConfig.js'
import { fleetConfigFields, parseFleetConfig, serviceForPath } from '../src/config/parseFleetConfig.js'
import { parseSettings, settingsFields } from '../src/config/settings.js'

const hash = 'a'.repeat(64)
const key = 'an-example-deployment-key'

function parse (text: string) {
  return parseFleetConfig(text, { file: 'fleet.ini', version: 3 })
}

/** Findings as `line severity key`. */
function places (text: string): string[] {
  return parse(text).findings.map(finding => `${finding.line} ${finding.severity} ${finding.key}`)
}

describe('fleet configuration and settings', () => {
  // Guards against a parser that stops at the first mistake, or that loses the line of one.
  it('reports all mistakes at once', () => {
    const text = readFileSync('tests/fixtures/mistakes.ini', 'utf8')
    const { config, findings } = parse(text)
    expect(config).to.equal(undefined)
    const lines = text.split('\n')
    // The line before a mistake is a comment `; next: KEY...`.
    const expected = lines.flatMap((line, index) => line.startsWith('; next: ')
      ? line.slice('; next: '.length).split(' ').map(name => `${index + 2} ${name}`)
      : [])
    const found = findings.filter(finding => finding.severity === 'error').map(finding => `${finding.line} ${finding.key}`)
    expect(found.sort()).to.deep.equal(expected.sort())
    expect(found.length).to.be.greaterThan(25)
  })

  // Guards against a finding that does not say what was meant.
  it('names the nearest key and section', () => {
    const text = parse('[fleet]\nretryBugdet = 1\n[modle.x]\n').findings.map(formatFinding).join('\n')
    expect(text).to.contain('retryBudget (nearest)').and.to.contain('[model.NAME] (nearest)')
  })

  // Guards against defaults that a short file would have to repeat, and against units that are misread.
  it('fills in defaults and reads units', () => {
    const { config, findings } = parse(`[pool.a]\nhonoursFence = true\nreserveBytes = 16GiB\n[model.m]\npool = a\nmemoryBytes = 16GiB\npatienceMs = 5m\n[service.orders]\n[customer.c]\napiKeySha256 = ${hash}\n[exception.e]\nreason = a = b\ntarget = model.m\nhours = 8-12.5\nweight = 2`)
    expect(findings).to.deep.equal([])
    expect(config).to.deep.include({ version: 3, adapters: {} })
    expect(config!.ranks.urgent).to.deep.equal({ requestValue: 100, minimumShare: 0.1, patienceMs: 10_000, firstTokenMs: 600, tokenGapMs: 42, objective: 0.99 })
    expect(config!.models.m).to.deep.equal({ pool: 'a', version: '1', memoryBytes: 2 ** 34, minimumReplicas: 0, weight: 1, patienceMs: 300_000, idempotent: true })
    expect(config!.services.orders).to.deep.equal({ path: '/orders', nonIdempotentMethods: ['POST', 'PATCH'] })
    expect(config!.exceptions).to.deep.equal([{ name: 'e', reason: 'a = b', target: 'model.m', hours: { from: 8, to: 12.5 }, weight: 2 }])
    expect(serviceForPath(config!, '/orders/7')?.rest).to.equal('/7')
    expect(serviceForPath(config!, '/orders2')).to.equal(undefined)
  })

  // Guards against silence about models that are unreachable during an outage or beside resident ones.
  it('warns about reserves and fencing', () => {
    const text = '[pool.a]\nreserveBytes = 5\nadapterBytes = 2\n[model.m]\npool = a\nmemoryBytes = 6\n[adapter.x]\nbaseModel = m\nmemoryBytes = 3\n'
    expect(places(text)).to.deep.equal(['1 warning pool.a.honoursFence', '6 warning model.m.memoryBytes', '9 warning adapter.x.memoryBytes'])
    expect(parse(text).config).not.to.equal(undefined)
    expect(places('[pool.a]\n[exception.e]\nreason = r\ntarget = engine.g1\nhonoursFence = true')).to.deep.equal([])
  })

  // Guards against pins and bans that contradict each other only at some hours.
  it('compares the hours of pins and bans', () => {
    const text = (banHours: string) => `[pool.a]\nhonoursFence = true\nreserveBytes = 1\n[model.m]\npool = a\nmemoryBytes = 1\n[exception.p]\nreason = r\ntarget = model.m\npin = g1\nhours = 8-12\n[exception.b]\nreason = r\ntarget = model.m\nban = g1\nhours = ${banHours}\n`
    expect(places(text('12-14'))).to.deep.equal([])
    expect(places(text('11-14'))).to.deep.equal(['15 error exception.b.ban'])
  })

  // Guards against input that crashes a node or a command instead of giving findings.
  it('never throws', () => {
    const names = ['__proto__', 'constructor', 'm', 'urgent', '', 'a.b']
    const section = fc.tuple(fc.constantFrom(...Object.keys(fleetConfigFields), ...Object.keys(settingsFields), 'x'), fc.constantFrom(...names))
      .map(([kind, name]) => `[${kind}${name && `.${name}`}]`)
    const keys = [...Object.values(fleetConfigFields), ...Object.values(settingsFields)].flatMap(fields => Object.keys(fields))
    const value = fc.oneof(fc.string(), fc.constantFrom('m', 'model.m', 'rank.constructor', '1e400', '1', '-1', 'true', '3-2', '8-12', '127.0.0.1:1', '5GiB', hash))
    const entry = fc.tuple(fc.constantFrom(...keys, '__proto__', 'toString'), value).map(([name, text]) => `${name} = ${text}`)
    const text = fc.array(fc.oneof(section, entry, fc.string()), { maxLength: 30 }).map(lines => lines.join('\n'))
    fc.assert(fc.property(text, input => {
      const fleet = parse(input)
      expect(fleet.config === undefined).to.equal(hasErrors(fleet.findings))
      const process = parseSettings(input, { file: 'node.ini' })
      expect(process.settings === undefined).to.equal(hasErrors(process.findings))
    }), { seed: 7, numRuns: 2000 })
  })

  // Guards against settings without defaults or with addresses that other nodes cannot reach.
  it('reads settings', () => {
    const text = `[node]\nname = n1\nregion = r\navailabilityZone = z\n[callers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n[peers]\nlisten = 127.0.0.1:0\nseeds = 127.0.0.1:1, [::1]:2\n[platform]\nkeyValueStore = 127.0.0.1:3\nvmList = 127.0.0.1:4\n[deployment]\nkey = ${key}\n`
    const { settings, findings } = parseSettings(text, { file: 'node.ini' })
    expect(findings).to.deep.equal([])
    expect(settings!.callers).to.deep.equal({ listen: '127.0.0.1:0', maxConnections: 10_000, bodyLimitBytes: 4 * 2 ** 20 })
    expect(settings!.peers).to.deep.equal({ listen: '127.0.0.1:0', advertise: '127.0.0.1:0', seeds: ['127.0.0.1:1', '[::1]:2'] })
    expect(settings!.deployment.key).to.equal(key)
    const wildcard = parseSettings(text.replace('[peers]\nlisten = 127.0.0.1:0', '[peers]\nlisten = 0.0.0.0:5'), { file: 'node.ini' })
    expect(wildcard.findings.map(finding => `${finding.line} ${finding.key}`)).to.deep.equal(['10 peers.advertise'])
  })

  // Guards against a deployment key or API key in logs and findings, also when its line is malformed.
  it('never shows keys', () => {
    const secret = 'Zq7-secret'
    const deployments = [`key = ${secret}`, `key =\n${secret}=`, secret, `key = ${key}\nkey = ${secret}`]
    for (const deployment of deployments) {
      const { findings } = parseSettings(`[deployment]\n${deployment}\n`, { file: 'node.ini' })
      expect(findings.some(finding => finding.key.startsWith('deployment') && finding.line > 1), deployment).to.equal(true)
      expect(findings.map(formatFinding).join('\n')).not.to.contain(secret)
    }
    expect(parse(`[customer.c]\napiKeySha256 = ${secret}`).findings.map(formatFinding).join('\n')).not.to.contain(secret)
    const { settings } = parseSettings(readFileSync('examples/node.ini', 'utf8'), { file: 'node.ini' })
    expect(JSON.stringify(settings)).not.to.contain(settings!.deployment.key)
  })

  // Guards against examples and a reference page that fall behind the code.
  it('accepts the examples and documents each key', () => {
    const fleet = parseFleetConfig(readFileSync('examples/fleet.ini', 'utf8'), { file: 'examples/fleet.ini', version: 1 })
    expect(fleet.findings.map(formatFinding)).to.deep.equal([])
    expect(Object.keys(fleet.config!.ranks)).to.deep.equal([...ranks])
    expect(parseSettings(readFileSync('examples/node.ini', 'utf8'), { file: 'examples/node.ini' }).findings.map(formatFinding)).to.deep.equal([])
    const page = readFileSync('docs/operators.md', 'utf8')
    for (const [section, fields] of [...Object.entries(fleetConfigFields), ...Object.entries(settingsFields)]) {
      const heading = Object.hasOwn(fleetConfigFields, section) && section !== 'fleet' ? `[${section}.NAME]` : `[${section}]`
      const part = page.split(`### \`${heading}\``)[1]?.split('\n#')[0] ?? ''
      for (const name of Object.keys(fields)) expect(part, heading).to.contain(`| \`${name}\` |`)
    }
  })
})
