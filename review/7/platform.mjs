/** The store, and the operator who changes the configuration. */

import { randomBytes } from 'node:crypto'
import { parentPort, workerData } from 'node:worker_threads'
import { sleep, Store } from '../standins-2/store.mjs'

const { ip, key, tenantCount, keysEach, host, stormGapMs } = workerData
const newKey = () => randomBytes(64).toString('base64url')
const tenants = Array.from({ length: tenantCount }, (_, index) => ({ name: `tenant-${index}`, priority: 2, keys: Array.from({ length: keysEach }, newKey) }))
tenants[0].keys[0] = key
const route = (name, kind) => ({ name, host, path_prefix: `/${name}/`, kind, service: 'shop', timeout_ms: 2000, goal_ms: 386, priority: 2, max_attempts: 1 })
const configOf = version => JSON.stringify({
  version,
  routes: [route('order', 'unsafe'), route('stock', 'safe')],
  services: [{ name: 'shop', health_path: '/health', max_conns: 110 }],
  tenants,
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
})

const store = new Store()
store.onWritten = (itemKey, text) => {
  if (itemKey === 'teaselrill/leader') parentPort.postMessage({ what: 'leader elected', details: { leader: text.split(' ')[0] } })
}
await store.listen(ip)
let version = 7
store.put('op/config', configOf(version))
parentPort.on('message', async ({ put, value, changes }) => {
  if (put) return store.put(put, value)
  // Each change takes one key away and adds one.
  for (let change = 0; change < changes; change++) {
    tenants[1].keys[change] = newKey()
    store.put('op/config', configOf(++version))
    parentPort.postMessage({ what: 'configuration acknowledged', details: { version } })
    await sleep(stormGapMs)
  }
})
parentPort.postMessage({ address: store.address, configBytes: configOf(version).length })
