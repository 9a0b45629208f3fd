/** Process entry of the stand-ins: `main.js engine|service|key-value|vm-list|weight-store --port N …`. */

import { readFileSync } from 'node:fs'
import sade from 'sade'
import { z } from 'zod'
import { SystemClock } from '../base/clock.js'
import { HttpWeightStore } from '../external/weightStore.js'
import { vmSchema } from '../external/vmList.js'
import { EngineStandIn } from './engine.js'
import { engineApp } from './engineApp.js'
import { listen } from './httpServer.js'
import type { StandInApp } from './httpServer.js'
import { KeyValueStandIn, keyValueApp } from './keyValue.js'
import { ServiceStandIn, serviceApp } from './service.js'
import { VmListStandIn, vmListApp } from './vmList.js'
import { WeightStoreStandIn, weightStoreApp } from './weightStore.js'

const clock = new SystemClock()
// A model load may wait behind many others at the store's rate.
const weightStoreTimeoutMs = 600_000

type Options = Record<string, unknown>
const numberOf = (value: unknown) => value === undefined ? undefined : z.coerce.number().parse(value)
/** Without the options that were not given, so that the stand-in's defaults hold. */
const given = <T extends object>(options: T) => Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as { [Key in keyof T]: Exclude<T[Key], undefined> }

async function start (app: StandInApp, { port }: Options): Promise<void> {
  const server = await listen(app, numberOf(port) ?? 0)
  process.stdout.write(`${JSON.stringify({ listening: server.address })}\n`)
  const stop = () => { server.close().then(() => process.exit(0), () => process.exit(1)) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

function engine (options: Options): Promise<void> {
  const store = options['weight-store']
  const stepMs = numberOf(options['step-ms'])
  return start(engineApp(new EngineStandIn({
    clock,
    engine: String(options.name ?? 'engine'),
    weightStore: store === undefined ? new WeightStoreStandIn({ clock }) : new HttpWeightStore({ address: String(store), clock, timeoutMs: weightStoreTimeoutMs }),
    honoursFence: options.fence !== false,
    checksMemory: options['check-memory'] === true,
    stampsTokens: options['stamp-tokens'] === true,
    ...given({
      accelerators: numberOf(options.accelerators),
      memoryBytes: numberOf(options['memory-bytes']),
      kvCacheBytes: numberOf(options['kv-cache-bytes']),
      maxBatch: numberOf(options['max-batch']),
      graceMs: numberOf(options['grace-ms']),
      prefillMsPerToken: numberOf(options['prefill-ms-per-token']),
      stepMs: stepMs === undefined ? undefined : () => stepMs
    })
  })), options)
}

sade('standins')
  .command('engine')
  .option('--port', 'Port; 0 chooses a free one', 0)
  .option('--name', 'Name of the engine')
  .option('--weight-store', 'IP:PORT of the weight store; a private one if absent')
  .option('--no-fence', 'Ignore fencing numbers')
  .option('--check-memory', 'Refuse loads that do not fit')
  .option('--accelerators', 'Number of accelerators')
  .option('--memory-bytes', 'Memory of all accelerators')
  .option('--kv-cache-bytes', 'Memory kept for KV cache')
  .option('--max-batch', 'Requests that run at once')
  .option('--grace-ms', 'Time until a request without a reader is cancelled')
  .option('--stamp-tokens', 'Generate tokens that say when they were generated')
  .option('--step-ms', 'Time of one step at any batch size')
  .option('--prefill-ms-per-token', 'Time to read one token of a prompt')
  .action(engine)
  .command('service')
  .option('--port', 'Port; 0 chooses a free one', 0)
  .option('--name', 'Name of the backend server')
  .option('--execution-ms', 'Time of one call')
  .action((options: Options) => start(serviceApp(new ServiceStandIn({
    clock, server: String(options.name ?? 'service'), ...given({ executionMs: numberOf(options['execution-ms']) })
  })), options))
  .command('key-value')
  .option('--port', 'Port; 0 chooses a free one', 0)
  .option('--reads-per-second', 'Rate limit of reads')
  .option('--writes-per-second', 'Rate limit of writes')
  .action((options: Options) => start(keyValueApp(new KeyValueStandIn({
    clock, ...given({ readsPerSecond: numberOf(options['reads-per-second']), writesPerSecond: numberOf(options['writes-per-second']) })
  })), options))
  .command('vm-list')
  .option('--port', 'Port; 0 chooses a free one', 0)
  .option('--vms', 'JSON file with the VMs')
  .option('--lag-ms', 'Time after which a change is shown')
  .action((options: Options) => start(vmListApp(new VmListStandIn({
    clock,
    vms: options.vms === undefined ? [] : z.array(vmSchema).parse(JSON.parse(readFileSync(String(options.vms), 'utf8'))),
    ...given({ lagMs: numberOf(options['lag-ms']) })
  })), options))
  .command('weight-store')
  .option('--port', 'Port; 0 chooses a free one', 0)
  .option('--loads-per-second', 'Model loads that start each second')
  .option('--loads-in-flight', 'Model loads at once at full speed')
  .option('--adapter-loads-in-flight', 'Adapter loads at once at full speed')
  .option('--bytes-per-second', 'Speed of one load')
  .action((options: Options) => start(weightStoreApp(new WeightStoreStandIn({
    clock,
    ...given({
      loadsPerSecond: numberOf(options['loads-per-second']),
      loadsInFlight: numberOf(options['loads-in-flight']),
      adapterLoadsInFlight: numberOf(options['adapter-loads-in-flight']),
      bytesPerSecond: numberOf(options['bytes-per-second'])
    })
  })), options))
  .parse(process.argv)
