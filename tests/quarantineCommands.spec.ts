import { execFile } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { settingsText } from './soak/nodeProcess.js'
import { StoreStandIn } from './soak/storeStandIn.js'

describe('quarantine commands', () => {
  const directory = mkdtempSync(join(tmpdir(), 'teaselrill-quarantine-'))
  const settings = join(directory, 'node.toml')
  const store = new StoreStandIn(Math.random)

  const run = (...args: string[]): Promise<{ code: number, output: string }> => new Promise(resolve => {
    execFile(process.execPath, ['dist/src/cli/main.js', 'quarantine', ...args, '--settings', settings], (error, stdout, stderr) => resolve({ code: error ? Number(error.code) : 0, output: stdout + stderr }))
  })

  before(async () => {
    await store.listen()
    writeFileSync(settings, settingsText('n', '127.0.0.1', `127.0.0.1:${store.port}`))
  })

  after(() => {
    store.close()
    rmSync(directory, { recursive: true })
  })

  it('list what is refused and why', async () => {
    expect(await run('list')).to.deep.equal({ code: 0, output: 'no prompt part is in quarantine\n' })
    store.put('teaselrill/quarantine', [{ parts: ['5c1e07a2'], ends: 3, firstEndAgeMs: 9000, lastEndAgeMs: 1000, leftMs: 599_000, renewals: 0, hasHistory: false, software: ['mate-advisor/1'] }])
    const { code, output } = await run('list')
    expect(code).to.equal(0)
    expect(output).to.match(/5c1e07a2.*3.*9.*599.*mate-advisor\/1/)
    expect(JSON.parse((await run('list', '--json')).output)).to.have.length(1)
  })

  it('lift it with a reason, in the store', async () => {
    expect((await run('lift', '5c1e07a2')).code).to.equal(2)
    expect((await run('lift', '5c1e07a2', '--reason', 'new weights', '--author', 'kaja')).code).to.equal(0)
    const [lift] = [...store.items].filter(([key]) => key.startsWith('teaselrill/lift/'))
    expect(JSON.parse(Buffer.from(lift![1].value, 'base64').toString())).to.deep.equal({ part: '5c1e07a2', reason: 'new weights', author: 'kaja' })
  })

  it('fail if the stored quarantine cannot be read', async () => {
    store.put('teaselrill/quarantine', { odd: 1 })
    expect((await run('list')).code).to.equal(1)
  })
})
