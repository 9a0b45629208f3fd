import { execFile } from 'node:child_process'
import { EventEmitter } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { serve } from '@hono/node-server'
import type { ServerType } from '@hono/node-server'
import { expect } from 'chai'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { proposeAndWait } from '../src/cli/configCommands.js'
import { diffConfigs } from '../src/cli/configDiff.js'
import { runNode } from '../src/cli/nodeCommand.js'
import type { ConfigChange, ProposalResult } from '../src/config/proposal.js'
import { createOperatorsApp } from '../src/node/operatorsServer.js'
import type { ConfigInForceEverywhere, OperatorsApi } from '../src/node/operatorsServer.js'

const key = 'an-example-deployment-key'

/** Runs the command as a process. The key must not appear in what it prints. */
async function run (...args: string[]): Promise<{ code: number, stdout: string, stderr: string }> {
  const result = await new Promise<Awaited<ReturnType<typeof run>>>(resolve => {
    execFile(process.execPath, ['dist/src/cli/main.js', ...args], (error, stdout, stderr) => resolve({ code: error ? Number(error.code) : 0, stdout, stderr }))
  })
  expect(result.stdout + result.stderr).not.to.contain(key)
  return result
}

describe('command line', () => {
  const directory = mkdtempSync(join(tmpdir(), 'teaselrill-cli-'))
  const settingsFile = join(directory, 'access.ini')
  const keyFile = join(directory, 'key')
  const servers: ServerType[] = []
  const proposals: ConfigChange[] = []
  let results: ProposalResult[] = []
  let inForce: ConfigInForceEverywhere[] = []
  let address = ''

  /** Takes the next of the prepared answers, and repeats the last one. */
  const take = <T>(answers: T[]): T => answers.length > 1 ? answers.shift()! : answers[0]!
  const propose = (...args: string[]) => run('config', 'propose', 'examples/fleet.ini', '--settings', settingsFile, '--reason', 'test', ...args)

  before(async () => {
    const api: OperatorsApi = {
      live: () => true,
      ready: () => ({ ready: true, reasons: [] }),
      metrics: () => Promise.resolve(''),
      configGet: () => ({ version: 4, text: '[fleet]\nretryBudget = 0.2\n' }),
      configPropose: change => {
        proposals.push(change)
        return Promise.resolve(take(results))
      },
      configHistory: () => Promise.resolve([{ version: 4, proposalId: 'p4', author: 'kaja', reason: 'more retries', acceptedAtMs: 0 }]),
      inForce: () => take(inForce),
      status: () => Promise.resolve({ nodes: [{ name: 'n1', ready: true }], keyValueStore: 'up' }),
      explain: requestId => Promise.resolve(requestId === '17' ? { requestId, outcome: 'ok' } : undefined),
      burn: () => Promise.resolve({
        objectives: { urgent: 0.99 },
        groups: [{ rank: 'urgent', customer: 'shop', model: 'orders', windows: Array(4).fill({ requests: 4, attained: 3, causes: { shed: 1 } }) }],
        series: [],
        nodes: ['n1'],
        missing: ['n2']
      })
    }
    const app = createOperatorsApp({ deploymentKey: key, log: silentLog, api })
    address = await new Promise(resolve => {
      servers.push(serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, (info: AddressInfo) => resolve(`127.0.0.1:${info.port}`)))
    })
    writeFileSync(settingsFile, `[operators]\nlisten = ${address}\n[deployment]\nkey = ${key}\n`)
    writeFileSync(keyFile, `${key}\n`)
  })

  after(() => {
    for (const server of servers) server.close()
    rmSync(directory, { recursive: true })
  })

  // Guards against a check that ends with success, or that leaves out mistakes.
  it('checks a file with many mistakes', async () => {
    const { code, stdout } = await run('config', 'check', 'tests/fixtures/mistakes.ini')
    expect(code).to.equal(2)
    const text = readFileSync('tests/fixtures/mistakes.ini', 'utf8')
    for (const [index, line] of text.split('\n').entries()) {
      if (line.startsWith('; next: ')) expect(stdout).to.contain(`tests/fixtures/mistakes.ini:${index + 2}: error: ${line.slice(8).split(' ')[0]}`)
    }
    const json = await run('config', 'check', '--json', 'tests/fixtures/mistakes.ini')
    expect(JSON.parse(json.stdout).findings.length).to.equal(stdout.trim().split('\n').length - 1)
    expect((await run('config', 'check', 'examples/fleet.ini')).code).to.equal(0)
  })

  // Guards against bad usage that exits with 1, as sade does, or that is ignored.
  it('exits with 2 on bad usage', async () => {
    const uses = [[], ['bogus'], ['config', 'check'], ['config', 'check', 'a', 'b'], ['config', 'check', '/none'], ['status'],
      ['status', `--key=${key}`], ['status', '--settings'], ['status', '--settings', '/none'], ['status', '--operators', address],
      ['status', '--operators', 'localhost:1', '--key-file', keyFile], ['node'], ['node', '--settings', settingsFile],
      ['config', 'propose', 'examples/fleet.ini', '--settings', settingsFile], ['config', 'propose', 'tests/fixtures/mistakes.ini', '--settings', settingsFile, '--reason', 'r'],
      ['config', 'propose', 'examples/fleet.ini', '--settings', settingsFile, '--reason', 'r', '--base', '-1']]
    await Promise.all(uses.map(async use => {
      const { code, stderr } = await run(...use)
      expect(code, use.join(' ')).to.equal(2)
      expect(stderr, use.join(' ')).not.to.equal('')
    }))
    expect(proposals).to.deep.equal([])
  })

  // Guards against commands without help.
  it('prints help for each command', async () => {
    const commands = ['', 'node', 'config check', 'config get', 'config diff', 'config propose', 'config history', 'status', 'explain', 'report burn']
    await Promise.all(commands.map(async command => {
      const { code, stdout } = await run(...command.split(' ').filter(Boolean), '--help')
      expect(code, command).to.equal(0)
      expect(stdout).to.contain(`$ teaselrill ${command}`)
    }))
  })

  // Guards against reports that cannot be read by a person or a program, and against lost failures.
  it('prints reports of a node', async () => {
    const access = ['--operators', address, '--key-file', keyFile]
    writeFileSync(join(directory, 'wrong'), 'another-deployment-key')
    const [get, history, diff, status, explain, burn, missing, refused] = await Promise.all([
      run('config', 'get', ...access), run('config', 'history', ...access), run('config', 'diff', 'examples/fleet.ini', ...access),
      run('status', ...access), run('explain', '17', '--json', ...access), run('report', 'burn', ...access), run('explain', '18', ...access),
      run('status', '--operators', address, '--key-file', join(directory, 'wrong'))
    ])
    expect(get.stdout).to.equal('[fleet]\nretryBudget = 0.2\n')
    expect(history.stdout).to.contain('kaja').and.to.contain('1970-01-01T00:00:00.000Z')
    expect(diff.stdout).to.contain('- [fleet] retryBudget = 0.2\n+ [fleet] storeLoadsPerSecond = 1\n')
    expect(status.stdout).to.contain('n1').and.to.contain('keyValueStore: up')
    expect(JSON.parse(explain.stdout)).to.deep.equal({ requestId: '17', outcome: 'ok' })
    expect(burn.stdout).to.include('n2').and.include('75.0%').and.include('shed 1')
    expect([missing.code, refused.code, refused.stdout]).to.deep.equal([1, 1, ''])
    expect(refused.stderr).to.contain('401').and.not.to.contain('another-deployment-key')
  })

  // Guards against success before each node confirmed, and against a repeated proposal with another ID.
  it('proposes and waits for each node', async () => {
    proposals.length = 0
    results = [{ kind: 'unknown', proposalId: 'p', reason: 'down' }, { kind: 'accepted', version: 5 }]
    const nodes = (first: number, second: number) => ({ version: first, nodes: [{ name: 'n1', version: first, reachable: true }, { name: 'n2', version: second, reachable: true }] })
    inForce = [nodes(4, 4), nodes(5, 4), nodes(5, 5)]
    const { code, stdout } = await propose('--author', 'kaja')
    expect(stdout).to.match(/^accepted as version 5\nin force on n1 after \d+ ms\nin force on n2 after \d+ ms\n$/)
    expect(code).to.equal(0)
    expect(proposals.map(change => change.baseVersion)).to.deep.equal([4, 4])
    expect(proposals[0]).to.deep.equal(proposals[1])
    expect(proposals[0]).to.include({ author: 'kaja', reason: 'test' })
  })

  // Guards against success while a node is missing, or without being accepted, and against hanging past the deadline.
  it('fails when a node is missing or the change is not accepted', async () => {
    const outcome = async (result: ProposalResult, nodes: ConfigInForceEverywhere['nodes']) => {
      const clock = new VirtualClock()
      const client = { propose: async () => result, inForce: async () => ({ version: 5, nodes }) }
      const change = { baseVersion: 4, text: '', author: 'a', reason: 'r', proposalId: 'p7' }
      const ended = proposeAndWait(client, clock, change, { deadlineMs: 7_000, file: 'f', say: () => {} })
      await clock.runUntil(8_000)
      const { exitCode, failure } = await ended
      return `${exitCode} ${failure}`
    }
    const nodes = [{ name: 'n1', version: 5, reachable: true }, { name: 'n2', version: 4, reachable: false }]
    expect(await outcome({ kind: 'accepted', version: 5 }, nodes)).to.match(/^1 not in force on: n2 \(does not answer\)/)
    expect(await outcome({ kind: 'accepted', version: 5 }, [])).to.contain('1 the nodes\' versions could not be read')
    expect(await outcome({ kind: 'unknown', proposalId: 'p7', reason: 'down' }, nodes)).to.match(/^1 unknown: down.*--base 4 --proposal-id p7/)
    expect(await outcome({ kind: 'invalid', findings: [] }, nodes)).to.match(/^2 /)
    results = [{ kind: 'conflict', currentVersion: 6, currentAuthor: 'mati', currentText: '' }]
    const conflict = await propose('--base', '5')
    expect(conflict.code).to.equal(1)
    expect(conflict.stderr).to.contain('version 6 by mati')
  })

  // Guards against differences that are only order, comments or blank lines, and against lost empty sections.
  it('compares by section and key', () => {
    expect(diffConfigs('[a]\nx = 1\ny = 2\n[b]\n', '; c\n[b]\n[a]\ny=2\n\nx=1')).to.deep.equal([])
    expect(diffConfigs('[a]\nx = 1\n[b]\n', '[a]\nx = 2\nz = 3')).to.deep.equal([
      { section: 'a', key: 'x', from: '1', to: '2' }, { section: 'a', key: 'z', to: '3' }, { section: 'b', key: '', from: '' }
    ])
  })

  // Guards against a signal that kills the node before it has drained.
  it('drains on a signal', async () => {
    // Log level error keeps the log out of the test's output.
    const file = join(directory, 'quiet.ini')
    writeFileSync(file, readFileSync('examples/node.ini', 'utf8').replace('logLevel = info', 'logLevel = error'))
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      const signals = new EventEmitter()
      const events: string[] = []
      const node = { stop: async () => { events.push('stop') }, callersAddress: '', operatorsAddress: '', peersAddress: '' }
      const ended = runNode({ settings: file }, {
        start: async () => node,
        on: (name, listener) => signals.on(name, listener),
        exit: code => events.push(`exit ${code}`)
      })
      expect(events).to.deep.equal([])
      signals.emit(signal)
      expect(await ended).to.equal(0)
      signals.emit(signal)
      expect(events).to.deep.equal(['stop', 'exit 1'])
    }
  })
})
