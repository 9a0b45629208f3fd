/**
 * LIMIT: demand moves to adapters of models on an engine whose memory their weights fill. An order to load an adapter there exceeds
 * `weights_mb`, so the engine crashes under the streams that it runs. With TROUBLE=0 the same number of requests ask for adapters of a
 * model on an engine that has room.
 */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { send } from '../standins-2/client.mjs'
import { Engine } from '../standins-2/engine.mjs'
import { freeAddresses, Nodes } from '../standins-2/nodes.mjs'
import { Record } from '../standins-2/record.mjs'
import { sleep, Store } from '../standins-2/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const host = 'ficu95.example'
const lengthS = 24
const shiftAtS = 8
const requestGapMs = 80
const restartMs = 2000
const deadlineMs = 15_000

const model = (name, weightsMb) => ({ name, weights_mb: weightsMb, load_s: 9, adapters: 3, adapter_mb: 66, warm_s: 1.2, disk_s: 2.4 })
const spec = {
  slots: 64,
  kv_capacity: 145_819,
  weights_mb: 200_000,
  adapter_slots: 8,
  loads_per_s: 1.2,
  hold_ms: 2000,
  pin_ms: 4000,
  models: [model('m0', 65_100), model('m1', 65_100), model('m2', 69_780), model('m3', 72_700), model('m4', 72_700)]
}
const config = {
  version: 7,
  routes: [{
    name: 'digest',
    host,
    path_prefix: '/digest/',
    kind: 'streaming',
    timeout_ms: deadlineMs,
    goal_ms: 5000,
    priority: 2,
    service: 'advisor',
    max_attempts: 1,
    sticky: true,
    resumable: false,
    gap_target_ms: 300
  }],
  services: [{ name: 'advisor', health_path: '/health', max_conns: 370, engine: spec }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

const record = new Record(dirname(fileURLToPath(import.meta.url)))
const nodes = new Nodes()
let store
let exitCode = 2
try {
  const [platformIp, engineIp, ...nodeIps] = await freeAddresses(5)
  store = new Store()
  await store.listen(platformIp)
  store.put('op/config', config)
  const engines = [['i-full', ['m0', 'm1', 'm2']], ['i-roomy', ['m3', 'm4']]].map(([id, models]) => new Engine({
    id, ip: engineIp, service: 'advisor', zone: 'z1', store, spec, models, onEvent
  }))
  for (const engine of engines) await engine.start()
  const started = nodeIps.map((ip, index) => nodes.start({ name: `node-${index + 1}`, ip, store: store.address }))
  for (const node of started) await nodes.waitUntilReady(node)
  // A new placement leader gives no orders in its first second.
  await sleep(3000)
  record.startMs = performance.now()
  let limits = 0
  function onEvent (what, details) {
    record.add(what, details)
    if (what !== 'limit') return
    limits++
    const engine = engines.find(({ id }) => id === details.engine)
    setTimeout(() => { engine.start([]) }, restartMs)
  }

  const answers = []
  for (let count = 0; record.atS < lengthS; count++) {
    const isMoved = hasTrouble && record.atS >= shiftAtS
    const adapted = [isMoved ? 'm0/a1' : 'm3/a1', isMoved ? 'm1/a2' : 'm3/a2'][count % 2]
    const wanted = count % 3 === 0 ? adapted : `m${count % 4}`
    const node = started[count % started.length]
    const answered = send(node.ip, { path: '/digest/1', host, headers: { 'X-Model': wanted, 'X-Token-Count': '490,20', 'X-Prompt-Prefix': `aa:140,${count.toString(16)}b:350` }, body: `draft ${count}`, deadlineMs })
    answers.push(answered.then(({ id, status, isComplete, events, error, tookMs }) => {
      record.add('answer', { request: id, wanted, node: node.name, status, isComplete, events, error, tookMs })
      return { status, isComplete }
    }))
    await sleep(requestGapMs)
  }
  const outcomes = await Promise.all(answers)
  const served = outcomes.filter(({ status, isComplete }) => status === 200 && isComplete).length
  const cut = outcomes.filter(({ status, isComplete }) => status === 200 && !isComplete).length
  const failed = outcomes.filter(({ status }) => status === 502).length
  const summary = { requests: outcomes.length, served, cutInTheAnswer: cut, failedWith502: failed, ordersBeyondMemory: limits }
  record.add('end', summary)
  console.log(JSON.stringify(summary))
  // Without service before the trouble, the case shows nothing.
  const isUsable = served > outcomes.length / 4
  exitCode = limits > 0 ? 1 : isUsable ? 0 : 2
} catch (error) {
  record.add('not run', { error: error.stack })
  console.log(error)
} finally {
  record.write()
  await nodes.stop()
  store?.close()
}
process.exit(exitCode)
