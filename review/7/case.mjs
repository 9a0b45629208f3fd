/**
 * LOST: configurations come in quick succession while machines are added. The placement leader ends by itself when one of them
 * connects to it, and cuts the requests that it has passed on. With TROUBLE=0 the machines are added and there is one change.
 */

import { randomBytes } from 'node:crypto'
import { Agent, request as httpRequest } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Worker } from 'node:worker_threads'
import { freeAddresses, Nodes } from '../standins-2/nodes.mjs'
import { Record } from '../standins-2/record.mjs'
import { Shop } from '../standins-2/shop.mjs'
import { sleep } from '../standins-2/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const host = 'ficu95.example'
const tenantCount = 16
const keysEach = 200
const stormAtS = 5
const stormMs = 2000
const stormGapMs = 80
/** After the beginning of the storm; a process takes about half a second until it connects to the leader. */
const addedAfterMs = [1000, 1300, 1600]
const lengthS = 12
const connectionsEach = 20
const deadlineMs = 2000
/** Of a client between two requests. */
const longestPauseMs = 200

const key = randomBytes(64).toString('base64url')

const record = new Record(dirname(fileURLToPath(import.meta.url)))
const nodes = new Nodes()
const running = new Set()
let platform
let shops = []
let exitCode = 2

/** Sends one request after the other on a connection that it keeps, and notes those that end without an answer. */
async function ask (node, cut) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let count = 0; record.atS < lengthS && !node.isEnded; count++) {
    const id = `${node.name}-${randomBytes(5).toString('hex')}`
    const isOrder = count % 2 === 0
    const outcome = await new Promise(resolve => {
      const request = httpRequest({
        host: node.ip,
        port: 8149,
        agent,
        method: isOrder ? 'POST' : 'GET',
        path: isOrder ? '/order/1' : '/stock/1',
        headers: { Host: host, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadlineMs), 'X-Api-Key': key }
      }, response => {
        response.resume()
        response.on('close', () => resolve({ status: response.statusCode, isComplete: response.complete }))
      })
      request.on('error', error => resolve({ error: error.code, isKept: request.reusedSocket }))
      request.end()
    })
    record.add('answer', { request: id, node: node.name, ...outcome })
    if (outcome.error && outcome.isKept && running.has(id)) cut.push({ id, node: node.name, isOrder })
    if (outcome.error) break
    await sleep(Math.random() * longestPauseMs)
  }
  agent.destroy()
}

try {
  const [platformIp, serverIp, ...nodeIps] = await freeAddresses(5 + addedAfterMs.length)
  // In a thread of its own, so that its work on large configurations does not hold up the clients.
  platform = new Worker(new URL('platform.mjs', import.meta.url), { workerData: { ip: platformIp, key, tenantCount, keysEach, host, stormGapMs } })
  platform.on('error', error => record.add('platform failed', { error: error.stack }))
  const platformReady = new Promise(resolve => platform.on('message', message => {
    if (message.address) resolve(message)
    else record.add(message.what, message.details)
  }))
  const { address, configBytes } = await platformReady
  const store = { mode: 'up', put: (itemKey, value) => platform.postMessage({ put: itemKey, value }) }
  shops = [1, 2, 3].map(index => new Shop({
    id: `s-${index}`,
    ip: serverIp,
    service: 'shop',
    zone: 'z1',
    store,
    slots: 30,
    workMs: 300,
    onEvent: (what, details) => {
      running.add(details.request)
      record.add(what, details)
    }
  }))
  for (const shop of shops) await shop.start()
  const started = nodeIps.slice(0, 3).map((ip, index) => nodes.start({ name: `node-${index + 1}`, ip, store: address }))
  for (const node of started) await nodes.waitUntilReady(node)
  await sleep(3000)
  record.startMs = performance.now()
  record.add('configuration', { bytes: configBytes, keys: tenantCount * keysEach })
  for (const node of started) node.child.once('exit', (code, signal) => record.add('process ends by itself', { node: node.name, code, signal }))

  const cut = []
  const asking = started.flatMap(node => Array.from({ length: connectionsEach }, () => ask(node, cut)))
  await sleep(stormAtS * 1000)
  addedAfterMs.forEach((afterMs, index) => setTimeout(() => {
    record.add('machine added', { name: `added-${index + 1}` })
    nodes.start({ name: `added-${index + 1}`, ip: nodeIps[3 + index], store: address })
  }, afterMs))
  platform.postMessage({ changes: hasTrouble ? stormMs / stormGapMs : 1 })
  await Promise.all(asking)
  const ended = nodes.all.filter(({ isEnded }) => isEnded)
  for (const node of ended) record.add('log', { node: node.name, exit: node.exit, end: nodes.logOf(node).match(/^\w*Error: .*$/m)?.[0] })
  const summary = { runs: running.size, endedByThemselves: ended.map(({ name }) => name), cutWithoutAnswerOnKeptConnections: cut.length, ofThemOrders: cut.filter(({ isOrder }) => isOrder).length }
  record.add('end', summary)
  console.log(JSON.stringify(summary))
  exitCode = cut.length > 3 ? 1 : running.size > 0 ? 0 : 2
} catch (error) {
  record.add('not run', { error: error.stack })
  console.log(error)
} finally {
  record.write()
  await nodes.stop()
  for (const shop of shops) shop.close()
  await platform?.terminate()
}
process.exit(exitCode)
