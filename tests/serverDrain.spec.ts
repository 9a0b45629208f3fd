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

/** Entries that all nodes share at once; the higher epoch wins. */
function sharedEntries () {
  const entries = new Map<string, { epoch: number, value: unknown }>()
  return {
    publish: (key: string, epoch: number, value: unknown) => { if (epoch >= (entries.get(key)?.epoch ?? 0)) entries.set(key, { epoch, value }) },
    list: (prefix: string) => [...entries].filter(([key, { value }]) => key.startsWith(prefix) && value !== undefined).map(([key, { value }]) => ({ key, value }))
  }
}

/** Runs the three nodes, of which `paused` neither reads nor checks anything after 3 s. */
async function seenByThird (paused: string, drain: (parts: { service: ServiceStandIn, vms: Vm[] }) => void): Promise<boolean> {
  const clock = new VirtualClock(1_000_000)
  const entries = sharedEntries()
  const service = new ServiceStandIn({ clock, server: 's1' })
  const vms = [{ ...server }]
  let isPaused = false
  const never = new Promise<never>(() => {})
  const monitors = members.map(({ name }) => {
    const waits = () => isPaused && name === paused
    const base = { clock, log: silentLog, entries, self: { name, region: 'r' }, alive: () => members }
    const directory = new VmDirectory({ ...base, vmList: { list: async () => waits() ? never : vms.map(vm => ({ ...vm })) } })
    const monitor = new ServiceMonitor({
      ...base,
      vms: () => directory.vms(),
      serviceApi: () => ({ server: 's1', call: (request, options) => service.call(request, options), health: async options => waits() ? never : sleep(clock, 1).then(() => service.health(options)) })
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
    it(`is seen in its status within 5 s while ${paused} is paused`, async () => {
      // Guards against a single checker: while it was paused, new work went to a draining server for 8 s.
      expect(await seenByThird(paused, ({ service }) => service.control({ fault: 'drain' }))).to.equal(false)
    })

    it(`is seen in the VM list within 5 s while ${paused} is paused`, async () => {
      // Guards against a single reader of the list, for the same reason.
      expect(await seenByThird(paused, ({ vms }) => { vms[0]!.state = 'leaving' })).to.equal(false)
    })
  }
})
