/** The platform around the nodes of a case: its store, its processes, and clients on raw sockets. */

import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** The command of the deploy file. */
const runWords = ['--max-old-space-size=200', '--max-semi-space-size=2', 'target/src/cli/main.js', 'serve']
const repository = join(import.meta.dirname, '..', '..')
/** Delay after which the platform restarts a process that has ended. */
const restartMs = 300
const watchPollMs = 10
const storeMs = 2

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env.TROUBLE !== '0'

const startedAtMs = performance.now()
const lines = []

/** Adds a line to the record, with the time since the start. */
export function note (text) {
  lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} s  ${text}`)
}

export async function freePort (ip = '127.0.0.1') {
  const server = createTcpServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, ip, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** The metadata store: PROTOCOL.md, "The platform's metadata store". */
export class Store {
  items = new Map()
  /** Names of the machines that the store refuses with 503. */
  refused = new Set()
  #history = []
  #revision = 7
  #leases = new Map()
  #nextLease = 1
  #servers = []
  #timer = setInterval(() => this.#expire(), 20)

  /** Returns an address for the calls of one machine. */
  async addressFor (machine) {
    const server = createServer((request, response) => this.#handle(request, response, machine))
    this.#servers.push(server)
    server.keepAliveTimeout = 60_000
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${server.address().port}`
  }

  close () {
    clearInterval(this.#timer)
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Writes as the operator and the backend servers do. */
  put (key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0)
  }

  text (key) {
    const item = this.items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  remove (key) {
    if (this.items.delete(key)) this.#history.push({ key, revision: ++this.#revision, tombstone: true })
  }

  #write (key, value, lease) {
    const item = { key, value, revision: ++this.#revision, created_rev: this.items.get(key)?.created_rev ?? this.#revision, lease }
    this.items.set(key, item)
    this.#history.push(item)
  }

  /** Ends the lease of a key, with all keys that it holds. */
  revoke (key) {
    const lease = this.items.get(key)?.lease
    if (lease) this.#endLease(lease)
  }

  #expire () {
    for (const [id, { endsAtMs }] of this.#leases) if (endsAtMs < performance.now()) this.#endLease(id)
  }

  #endLease (id) {
    this.#leases.delete(id)
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key)
  }

  async #handle (request, response, machine) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {}
    await sleep(storeMs)
    const [status, answer] = this.refused.has(machine) ? [503, {}] : await this.#answer(request.method, url, body, machine)
    if (response.destroyed) return
    response.writeHead(status, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify(answer))
  }

  async #answer (method, url, body, machine) {
    const [, name, id] = url.pathname.split('/')
    const prefix = url.searchParams.get('path_prefix') ?? ''
    if (name === 'kv-range') {
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix)).sort((left, right) => left.key < right.key ? -1 : 1)
      return [200, { items, has_more: false, as_of: this.#revision }]
    }
    if (name === 'kv-watch') return await this.#watch(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')), machine)
    if (name === 'kv-txn') return this.#commit(body)
    if (name === 'kv-lease') {
      this.#leases.set(this.#nextLease, { ttlMs: body.ttl_ms, endsAtMs: performance.now() + body.ttl_ms })
      return [200, { lease: this.#nextLease++, ttl_ms: body.ttl_ms }]
    }
    const lease = this.#leases.get(Number(id))
    if (!lease) return [404, {}]
    if (method === 'DELETE') this.#endLease(Number(id))
    else lease.endsAtMs = performance.now() + lease.ttlMs
    return [200, {}]
  }

  async #watch (prefix, after, waitMs, machine) {
    const untilMs = performance.now() + waitMs
    for (;;) {
      if (this.refused.has(machine)) return [503, {}]
      const events = this.#history.filter(({ revision, key }) => revision > after && key.startsWith(prefix))
      if (events.length > 0 || performance.now() > untilMs) return [200, { events, as_of: this.#revision }]
      await sleep(watchPollMs)
    }
  }

  #commit ({ expected = [], writes = [], remove = [] }) {
    if (writes.some(({ lease }) => lease && !this.#leases.has(lease))) return [404, {}]
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
      return [412, { items: expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }) }]
    }
    for (const { key, value, lease } of writes) this.#write(key, value, lease ?? 0)
    for (const key of remove) this.remove(key)
    return [200, { revision: this.#revision }]
  }
}

/** A machine with one process of the product, which the platform restarts when it ends. */
export class Machine {
  restarts = 0
  #child
  #isWanted = true

  constructor ({ name, ip, directory, store, bounds = {} }) {
    Object.assign(this, { name, ip, directory, store, bounds })
  }

  async start () {
    const [front, ready] = [await freePort(this.ip), await freePort(this.ip)]
    // The node listens to its peers at the first port of the range.
    const peers = this.peersPort ?? await freePort(this.ip)
    this.front = { host: this.ip, port: front }
    this.ready = { host: this.ip, port: ready }
    this.settings = join(this.directory, `${this.name}.toml`)
    const bounds = {
      grace_s: 8, drain_ms: 2500, config_ms: 2500, contact_ms: 4000, budget_ratio: 0.2, budget_window_s: 10, budget_slack: 58, fence_required: true, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_excess: 1.1, ...this.bounds
    }
    writeFileSync(this.settings, `node = "${this.name}"
role = "node"
ip = "${this.ip}"
zone = "z1"
region = "r1"
port_range = [${peers},${peers + 15}]
[zones]
z1 = "r1"
[listen]
front = "${this.ip}:${front}"
ready = "${this.ip}:${ready}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
[bounds]
${Object.entries(bounds).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${await this.store.addressFor(this.name)}"
form = "kv"
ttl_min_ms = 1000
`)
    this.#launch()
  }

  #launch () {
    const output = openSync(join(this.directory, `${this.name}.log`), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(process.execPath, runWords, { cwd: repository, env: { PATH, HOME, LANG, TEASELRILL_NODE_FILE: this.settings }, stdio: ['ignore', output, output] })
    closeSync(output)
    this.#child = child
    child.on('exit', (code, signal) => {
      this.#child = undefined
      if (!this.#isWanted) return
      note(`${this.name} has ended (${signal ?? code})`)
      setTimeout(() => {
        if (!this.#isWanted) return
        this.restarts++
        note(`${this.name} starts again`)
        this.#launch()
      }, restartMs)
    })
  }

  get pid () {
    return this.#child?.pid
  }

  signal (name) {
    note(`${this.name}: ${name}`)
    this.#child?.kill(name)
  }

  async end () {
    this.#isWanted = false
    this.#child?.kill('SIGCONT')
    this.#child?.kill('SIGKILL')
    while (this.#child) await sleep(10)
  }

  /** Waits until the node reports that it is ready. */
  async whenReady (timeoutMs = 15_000) {
    for (const untilMs = performance.now() + timeoutMs; performance.now() < untilMs; await sleep(50)) {
      if ((await send(this.ready, { path: '/readiness' })).status === 200) return
    }
    throw new Error(`${this.name} does not become ready`)
  }
}

/**
 * Sends a request on a new connection and reads the answer from the socket as HTTP/1.1 says. Resolves with the status, the headers,
 * the body and whether the answer ended as a complete one does: by its length, by its last chunk, or, with neither of them, by the
 * orderly close of the connection. `bytesPerSecond` is the speed of the client's link.
 */
export function send ({ host, port }, { method = 'GET', path, headers = {}, body = '', bytesPerSecond = Infinity, timeoutMs = 20_000, onBegun = () => {} }) {
  return new Promise(resolve => {
    const socket = connect({ host, port, noDelay: true })
    const chunks = []
    let bytes = 0
    let firstAtMs
    let isOver = false
    const finish = (end, error) => {
      if (isOver) return
      const answer = parse(Buffer.concat(chunks), method, end === 'closed')
      if (end === 'more' && !answer.isComplete) return
      isOver = true
      clearTimeout(timer)
      socket.destroy()
      resolve({ ...answer, end: answer.isComplete && end === 'more' ? 'read whole' : end, error: error?.message })
    }
    const timer = setTimeout(() => finish('timeout'), timeoutMs)
    socket.on('connect', () => {
      const lines = [`${method} ${path} HTTP/1.1`, 'Host: case.example', ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
      if (method !== 'GET') lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`)
    })
    socket.on('data', data => {
      if (firstAtMs === undefined) onBegun()
      firstAtMs ??= performance.now()
      chunks.push(data)
      bytes += data.length
      const dueMs = firstAtMs + bytes / bytesPerSecond * 1000 - performance.now()
      if (dueMs > 1) {
        socket.pause()
        setTimeout(() => socket.resume(), dueMs)
      }
      if (bytesPerSecond === Infinity) finish('more')
    })
    socket.on('end', () => finish('closed'))
    socket.on('error', error => finish('reset', error))
    socket.on('close', () => finish('reset'))
  })
}

function parse (bytes, method, isClosed) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd === -1) return { status: undefined, headers: {}, body: bytes, isComplete: false }
  const [first, ...rest] = bytes.toString('latin1', 0, headEnd).split('\r\n')
  const headers = Object.fromEntries(rest.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const head = { status: Number(first.split(' ')[1]), headers }
  const body = bytes.subarray(headEnd + 4)
  if (headers['transfer-encoding'] === 'chunked') return { ...head, ...dechunk(body) }
  if (headers['content-length'] !== undefined) return { ...head, body, isComplete: body.length >= Number(headers['content-length']) }
  return { ...head, body, isComplete: isClosed }
}

function dechunk (bytes) {
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd === -1) return { body: Buffer.concat(parts), isComplete: false }
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16)
    at = lineEnd + 2
    if (size === 0) return { body: Buffer.concat(parts), isComplete: bytes.length >= at + 2 }
    if (bytes.length < at + size + 2) return { body: Buffer.concat([...parts, bytes.subarray(at, at + size)]), isComplete: false }
    parts.push(bytes.subarray(at, at + size))
    at += size + 2
  }
}

const limits = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }

/** A configuration as the operator writes it. */
export function configOf ({ version = 11, routes, services }) {
  return {
    version,
    routes: routes.map(route => ({ host: 'case.example', timeout_ms: 15_000, goal_ms: 500, priority: 1, max_attempts: 2, ...route })),
    services: services.map(service => ({ health_path: '/health', max_conns: 100, ...service })),
    limits
  }
}

/**
 * Runs a case: `play` gets a directory and a list for everything that must be ended, and returns what was broken. Writes the record
 * and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not be played.
 */
export async function runCase (folder, play) {
  const directory = mkdtempSync(join(tmpdir(), 'review-'))
  const open = []
  let code = 2
  try {
    const broken = await play({ directory, open })
    for (const text of broken) note(`BROKEN  ${text}`)
    note(broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held')
    code = broken.length > 0 ? 1 : 0
  } catch (error) {
    note(`the case could not be played: ${error.stack}`)
  } finally {
    for (const end of open.reverse()) await end()
    writeFileSync(join(folder, 'record.txt'), `TROUBLE=${hasTrouble ? 1 : 0}\n${lines.join('\n')}\n`)
    if (process.env.KEEP_LOGS) console.log(directory)
    else rmSync(directory, { recursive: true, force: true })
    console.log(lines.at(-1))
  }
  process.exit(code)
}
