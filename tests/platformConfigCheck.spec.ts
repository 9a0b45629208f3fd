import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { checkPlatformConfig, diffPlatformTexts, formatPlatformDifferences } from '../src/platform/configFile.js'
import { settingsText } from './soak/nodeProcess.js'
import { StoreStandIn } from './soak/storeStandIn.js'

const validText = JSON.stringify({
  version: 7,
  routes: [
    { name: 'chat', host: 'h', path_prefix: '/chat/', kind: 'streaming', timeout_ms: 15000, goal_ms: 500, priority: 0, split: [{ service: 'models', weight: 90 }, { service: 'orders', weight: 10 }], max_attempts: 2, resumable: true, gap_target_ms: 300 },
    { name: 'orders', host: 'h', path_prefix: '/', kind: 'safe', timeout_ms: 1000, service: 'orders', public: true }
  ],
  services: [
    { name: 'models', max_conns: 100, engine: { slots: 12, kv_capacity: 50000, weights_mb: 230000, adapter_slots: 8, models: [{ name: 'm', weights_mb: 72700, load_s: 2.4, adapter_mb: 66 }, { name: 'n', weights_mb: 100, load_s: 1 }] } },
    { name: 'orders', max_conns: 110, health_path: '/health' }
  ],
  limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants: [
    { name: 'a', keys: ['sk-secret-1', 'sk-secret-2'], priority: 1, unit: 'token_count', plain_tokens: 600, rate_per_s: 2700, burst: 0 },
    { name: 'b', keys: ['sk-secret-3'], rate_per_s: 5 }
  ]
}, null, 2)

/** The valid text with one value changed; `undefined` removes it. */
function withValue (path: string, value: unknown): string {
  const config = JSON.parse(validText)
  const parts = path.split('.')
  parts.slice(0, -1).reduce((child, part) => child[part], config)[parts.at(-1)!] = value
  return JSON.stringify(config, null, 2)
}

function check (text: string): string[] {
  const findings = checkPlatformConfig(text, { file: 'f' })
  expect(JSON.stringify(findings)).not.to.contain('sk-')
  return findings.map(({ key, severity, found }) => `${severity} ${key}: ${found}`)
}

/** Path and value of the mistake, and the start of the only finding. */
const mistakes: [path: string, value: unknown, finding: string][] = [
  ['version', 'seven', 'error version: '],
  ['tenants', { 'sk-x': 1 }, 'error tenants: '],
  ['routes.1.path_prefix', '/chat/', 'error routes[1].path_prefix:'],
  ['routes.1.path_prefix', 'a/', 'error routes[1].path_prefix: "a/"'],
  ['routes.1.path_prefix', '/a', 'warning routes[1].path_prefix: "/a"'],
  ['routes.1.host', 'h:80', 'error routes[1].host: "h:80"'],
  ['routes.1.goal_ms', 1001, 'error routes[1].goal_ms: 1001'],
  ['routes.0.gap_target_ms', 15001, 'error routes[0].gap_target_ms: 15001'],
  ['routes.1.service', 'none', 'error routes[1].service: unknown'],
  ['routes.1.service', undefined, 'error routes[1].service: no service'],
  ['routes.0.split.1.service', 'none', 'error routes[0].split[1].service: unknown'],
  ['routes.0.split.1.weight', 0, 'warning routes[0].split[1].weight: 0, so'],
  ['routes.1.split', [{ service: 'orders', weight: 0 }], 'error routes[1].split: no target'],
  ['routes.0.split', [{ service: 'orders', weight: 1 }], 'warning services[0]: no route'],
  ['services.2', { name: 'orders', max_conns: 1 }, 'error services[2].name:'],
  ['services.1.health_path', 'health', 'warning services[1].health_path:'],
  ['services.0.max_conns', 11, 'warning services[0].engine.slots: 12'],
  ['services.0.engine.adapter_slots', 0, 'warning services[0].engine.adapter_slots:'],
  ['services.0.engine.models.0.weights_mb', 230001, 'error services[0].engine.models[0].weights_mb: 230001'],
  ['services.0.engine.models.0.adapter_mb', 20000, 'warning services[0].engine.models[0].adapter_mb:'],
  ['limits.max_header_bytes', 55, 'error limits.max_header_bytes: 55, below the 56 bytes'],
  ['limits.max_body_bytes', 0.5, 'error limits.max_body_bytes: 0.5'],
  ['tenants', [], 'warning tenants:'],
  ['tenants.1.name', 'a', 'error tenants[1].name:'],
  ['tenants.1.name', 'b\r\n', 'error tenants[1].name:'],
  ['tenants.1.keys', undefined, 'warning tenants[1].keys:'],
  ['tenants.0.burst', 599, 'warning tenants[0].burst: at most 599'],
  ['tenants.1.rate_per_s', 0.5, 'warning tenants[1].burst: at most 0.5'],
  ['tenants.1.keys.0', 'sk-secret-2', 'error tenants[1].keys[0]: also a key of account "a" (tenants[0].keys[1])'],
  ['tenants.0.keys.1', 'sk-secret-1', 'warning tenants[0].keys[1]: the same'],
  ['tenants.0.keys.1', ' sk-x', 'error tenants[0].keys[1]:']
]

describe('check of a platform configuration', () => {
  // Guards against findings in a configuration without mistakes.
  it('finds nothing in a valid configuration', () => {
    expect(check(validText)).to.deep.equal([])
  })

  for (const [path, value, expected] of mistakes) {
    // Guards against a mistake that is not found, is found at another place, or brings findings that are none.
    it(`finds ${path} = ${JSON.stringify(value)}`, () => {
      const findings = check(withValue(path, value))
      expect(findings).to.have.length(1)
      expect(findings[0]!.startsWith(expected), findings[0]).to.equal(true)
    })
  }

  // Guards against a finding at a wrong line after escapes, nested lists and absent fields.
  it('names the line', () => {
    const text = '{ "version": "\\"{[,:",\n "routes": [],\n "services": [],\n\n "limits": { "max_header_bytes": 1,\n "max_body_bytes": [] } }'
    expect(checkPlatformConfig(text, { file: 'f' }).map(({ line, key }) => `${line} ${key}`)).to.deep.equal([
      '1 version', '6 limits.max_body_bytes', '5 limits.header_timeout_ms', '5 limits.idle_timeout_ms'
    ])
  })

  // Guards against text of the file, which may be a key, in a message, and against a value that JSON.parse drops without notice.
  it('finds invalid JSON and repeated names', () => {
    expect(check('{\n"keys": ["sk-x" "sk-y"] }')).to.deep.equal(['error (root): not valid JSON at position 18'])
    expect(check(validText.replace('"name": "chat",', '"name": "x", "name": "chat",'))[0]).to.contain('error routes[0].name: a name occurs twice')
  })
})

describe('difference of platform configurations', () => {
  const diff = (from: string | undefined, to: string) => {
    const result = diffPlatformTexts(from, to)
    if (result instanceof Error) throw result
    const text = formatPlatformDifferences(result.differences)
    expect(text).not.to.contain('sk-')
    return { ...result, lines: text.split('\n') }
  }

  // Guards against differences by position when entries only change places.
  it('disregards the order of named entries and of keys', () => {
    const config = JSON.parse(validText)
    config.services.reverse()
    config.tenants.reverse()
    config.tenants[1].keys.reverse()
    expect(diff(validText, JSON.stringify(config)).differences).to.deep.equal([])
  })

  // Guards against a changed, added or removed value that is left out, and against keys in the output.
  it('names values, and keys by position', () => {
    const config = JSON.parse(validText)
    config.version = 6
    config.routes[1].timeout_ms = 2000
    config.tenants[0].keys = ['sk-secret-2', 'sk-new']
    config.tenants[1]['sk-field'] = 'sk-value'
    const { lines, warning } = diff(validText, JSON.stringify(config))
    expect(lines).to.deep.equal([
      '- version = 7', '+ version = 6', '- routes[orders].timeout_ms = 1000', '+ routes[orders].timeout_ms = 2000',
      '- tenants[a].keys[0] = (not shown)', '+ tenants[a].keys[1] = (not shown)', '+ tenants[b].(not shown) = (not shown)'
    ])
    expect(warning).to.contain('nodes ignore it')
  })

  // Guards against an empty difference when nothing is in force, and against keys from a version in force that is not valid.
  it('compares with nothing and with a version that is not valid', () => {
    expect(diff(undefined, validText).lines).to.include('+ tenants[a].keys[0] = (not shown)').and.include('+ limits.max_body_bytes = 4194304')
    expect(diff('{"version":1,"tenants":{"sk-x":["sk-y"]}}', validText).lines).to.include('- tenants = (not shown)')
    expect(diffPlatformTexts('{"sk-x" 1}', validText)).to.be.instanceOf(Error).and.have.property('message').that.does.not.contain('sk-')
  })
})

describe('commands for platform configurations', () => {
  const directory = mkdtempSync(join(tmpdir(), 'teaselrill-platform-config-'))
  const [valid, wrong, settings] = ['valid.json', 'wrong.json', 'node.toml'].map(name => join(directory, name)) as [string, string, string]
  const store = new StoreStandIn(Math.random)

  const run = (...args: string[]): Promise<{ code: number, output: string }> => new Promise(resolve => {
    execFile(process.execPath, ['dist/src/cli/main.js', 'config', ...args], (error, stdout, stderr) => {
      expect(stdout + stderr).not.to.contain('sk-secret')
      resolve({ code: error ? Number(error.code) : 0, output: stdout + stderr })
    })
  })

  before(async () => {
    await store.listen()
    writeFileSync(settings, settingsText('n', '127.0.0.1', `127.0.0.1:${store.port}`))
    writeFileSync(valid, validText)
    writeFileSync(wrong, withValue('routes.1.goal_ms', 1001))
  })

  after(() => {
    store.close()
    rmSync(directory, { recursive: true })
  })

  // Guards against a file that is read in the wrong format, success in spite of errors, and a comparison with something else.
  it('check a file, and diff it with another and with the store', async () => {
    expect(await run('check', valid)).to.deep.equal({ code: 0, output: `${valid}: 0 errors, 0 warnings\n` })
    const { code, output } = await run('check', wrong)
    expect(code).to.equal(2)
    expect(output).to.match(/wrong\.json:34: error: routes\[1\]\.goal_ms: 1001, over timeout_ms 1000; allowed: at most timeout_ms\n/)
    expect((await run('diff', valid, '--in-force', wrong)).output).to.contain('- routes[orders].goal_ms = 1001\n')
    expect((await run('diff', valid, '--settings', settings)).output).to.contain('+ version = 7\n')
    store.put('op/config', JSON.parse(validText))
    expect(await run('diff', valid, '--settings', settings)).to.deep.equal({ code: 0, output: 'no difference from version 7\n' })
  })

  // Guards against bad usage that is ignored, and against findings of the other format, which quote lines with keys.
  it('refuse what does not go together', async () => {
    const uses = [['diff', wrong, '--in-force', valid], ['diff', valid, '--in-force', 'examples/fleet.ini'], ['diff', valid, '--in-force', valid, '--settings', settings],
      ['diff', valid, '--operators', '127.0.0.1:1', '--key-file', valid], ['diff', valid, '--settings', '/none'], ['diff', valid, '--settings', valid],
      ['propose', valid, '--reason', 'r', '--operators', '127.0.0.1:1', '--key-file', valid]]
    await Promise.all(uses.map(async use => expect((await run(...use)).code, use.join(' ')).to.equal(2)))
  })
})
