import { expect } from 'chai'
import { sleep, VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { ServiceMonitor } from '../src/fleet/serviceMonitor.js'
import { VmDirectory } from '../src/fleet/vmDirectory.js'
import type { Vm } from '../src/external/vmList.js'
import type { MemberEntry } from '../src/protocol/messages.js'
import { ServiceStandIn } from '../src/standins/service.js'

const server: Vm = { name: 's1', kind: 'service', group: 'orders', address: 's1:9000', region: 'r', availabilityZone: 'z', state: 'live' }
const members = ['n1', 'n2', 'n3'].map(name => ({ name, region: 'r' })) as MemberEntry[]

/** Entries shared by all nodes without delay. The higher epoch wins. */
function sharedEntries () {
  const entries = new Map<string, { epoch: number, value: unknown }>()
  return {
    publish: (key: string, epoch: number, value: unknown) => { if (epoch >= (entries.get(key)?.epoch ?? 0)) entries.set(key, { epoch, value }) },
    list: (prefix: string) => [...entries].filter(([key, { value }]) => key.startsWith(prefix) && value !== undefined).map(([key, { value }]) => ({ key, value }))
  }
}

/** Whether the third node still lists the server 5 s after `drain`, while `pausedNode` is paused. */
async function isListedByThirdNode (pausedNode: string, drain: (parts: { service: ServiceStandIn, vms: Vm[] }) => void): Promise<boolean> {
  const clock = new VirtualClock(1_000_000)
  const entries = sharedEntries()
  const service = new ServiceStandIn({ clock, server: 's1' })
  const vms = [{ ...server }]
  let isPaused = false
  const never = new Promise<never>(() => {})
  const monitors = members.map(({ name }) => {
    const isBlocked = () => isPaused && name === pausedNode
    const base = { clock, log: silentLog, entries, self: { name, region: 'r' }, alive: () => members }
    const directory = new VmDirectory({ ...base, vmList: { list: async () => isBlocked() ? never : vms.map(vm => ({ ...vm })) } })
    const monitor = new ServiceMonitor({
      ...base,
      vms: () => directory.vms(),
      serviceApi: () => ({ server: 's1', call: (request, options) => service.call(request, options), health: async options => isBlocked() ? never : sleep(clock, 1).then(() => service.health(options)) })
    })
    directory.start()
    monitor.start()
    return monitor
  })
  await clock.advance(3_000)
  isPaused = true
  drain({ service, vms })
  await clock.advance(5_000)
  return monitors[2]!.servers('orders').length > 0
}

describe('drain of a server', () => {
  for (const paused of ['n1', 'n2', 'n3']) {
    it(`is detected by its health check within 5 s while ${paused} is paused`, async () => {
      // Guards against a single checker: while it was paused, a draining server got new requests for 8 s.
      expect(await isListedByThirdNode(paused, ({ service }) => service.control({ fault: 'drain' }))).to.equal(false)
    })

    it(`is detected in the VM list within 5 s while ${paused} is paused`, async () => {
      // Guards against a single reader of the list, with the same effect while it is paused.
      expect(await isListedByThirdNode(paused, ({ vms }) => { vms[0]!.state = 'leaving' })).to.equal(false)
    })
  }
})
