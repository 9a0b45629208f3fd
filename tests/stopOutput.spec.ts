import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, writeFileSync, writeSync } from 'node:fs'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { graceMs } from './soak/ledger.js'
import { settingsText } from './soak/nodeProcess.js'
import { sleep, StoreStandIn } from './soak/storeStandIn.js'

const program = join(import.meta.dirname, '../src/cli/main.js')
/** Each writes a log line. */
const requests = 400
/** Time after SIGTERM, well before the end of a shutdown. */
const fillAfterMs = 1000

const config = {
  version: 4,
  routes: [{ name: 'r', host: 'h', path_prefix: '/', kind: 'unsafe', timeout_ms: 2000, goal_ms: 500, priority: 0, service: 's', max_attempts: 1 }],
  services: [{ name: 's', max_conns: 10 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 3000 }
}

/** Sends a request. Resolves with the body of the response, which states why it was rejected, or with the error. */
function sendRequest (host: string): Promise<string> {
  return new Promise(resolve => {
    httpRequest({ host, port: 7301, headers: { host: 'h', 'x-attempt-id': 'id' }, agent: false }, response => {
      let text = ''
      response.on('data', data => { text += data })
      response.on('end', () => resolve(text))
    }).on('error', error => resolve(error.message)).end()
  })
}

/** Fills a pipe. Returns the number of bytes written. */
function fill (path: string): number {
  const descriptor = openSync(path, constants.O_WRONLY | constants.O_NONBLOCK)
  let bytes = 0
  try {
    for (const size of [4096, 1]) {
      try {
        for (;;) bytes += writeSync(descriptor, Buffer.alloc(size, 10))
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
      }
    }
  } finally {
    closeSync(descriptor)
  }
  return bytes
}

describe('shutdown of a process whose output is not read', () => {
  let store: StoreStandIn
  let child: ChildProcess
  let ip: string
  let pipe: string
  const end = () => {
    const ended = new Promise<string>(resolve => child.on('exit', () => resolve('ended')))
    child.kill('SIGTERM')
    return Promise.race([ended, sleep(graceMs).then(() => 'still runs')])
  }

  beforeEach(async () => {
    const directory = mkdtempSync(join(tmpdir(), 'teaselrill-output-'))
    ip = `127.${200 + (process.pid >> 8) % 50}.${process.pid % 256}.7`
    store = new StoreStandIn(() => 0.5)
    await store.listen()
    store.put('op/config', config)
    writeFileSync(join(directory, 'settings.toml'), settingsText('n', ip, `127.0.0.1:${store.port}`))
    pipe = join(directory, 'output')
    execFileSync('mkfifo', [pipe])
    const output = openSync(pipe, 'r+')
    child = spawn(process.execPath, [program, 'serve', '--log-lines', '2000'], { env: { PATH: process.env.PATH, TEASELRILL_NODE_FILE: join(directory, 'settings.toml') }, stdio: ['ignore', output, output] })
    // The test's own end of the pipe keeps it open and is never read.
    child.on('exit', () => closeSync(output))
  })

  afterEach(() => {
    child.kill('SIGKILL')
    store.close()
  })

  const responds = async () => {
    for (let tries = 0; !(await sendRequest(ip)).includes('no backend server'); tries++) {
      if (tries === 400) expect.fail('the node does not respond')
      await sleep(25)
    }
  }

  it('ends in time while a line is being written', async () => {
    // Guards against a process that waits for the reader of its log.
    await responds()
    fill(pipe)
    await Promise.all(Array.from({ length: requests }, () => sendRequest(ip)))
    await sleep(300)
    expect(fill(pipe), 'free space in the pipe').to.equal(0)
    expect(await end()).to.equal('ended')
  })

  it('ends in time when its last lines do not fit into the pipe', async () => {
    await responds()
    const ended = end()
    await sleep(fillAfterMs)
    expect(fill(pipe)).to.be.above(0)
    expect(await ended).to.equal('ended')
  })
})
