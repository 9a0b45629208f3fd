/**
 * Checks of a configuration of the users' platform beyond its schema. An error means that an entry cannot work as it is
 * written, a warning that it works and is probably not meant so. No finding contains a key of an account.
 */

import type { JsonPath } from '../base/jsonText.js'
import type { WireConfig } from './wireSchemas.js'

export interface ConfigFinding {
  path: JsonPath
  severity: 'error' | 'warning'
  found: string
  allowed: string
}

type WireRoute = WireConfig['routes'][number]
type WireService = WireConfig['services'][number]
type WireModel = NonNullable<WireService['engine']>['models'][number]
type WireAccount = NonNullable<WireConfig['tenants']>[number]

interface Entry<T> {
  entry: T
  path: JsonPath
  /** Position among the entries of the kind. */
  index: number
  /** All entries of the kind. */
  all: readonly T[]
  config: WireConfig
}

interface Rule<T> {
  severity: ConfigFinding['severity']
  /** Path of the finding below the entry. */
  at: JsonPath
  /** What is wrong, or a falsy value. */
  found: (entry: T, context: Entry<T>) => string | false | undefined
  allowed: string
}

function over (value: number | null | undefined, limit: number, name: string): string | false {
  return (value ?? 0) > limit && `${value}, over ${name} ${limit}`
}

/** Names the first entry of the list that is the same by `id`, if it comes before the entry. */
function earlier<T> ({ entry, index, all }: Entry<T>, id: (entry: T) => string, list: string, effect: string): string | false {
  const first = all.findIndex(other => id(other) === id(entry))
  return first < index && `the same as ${list}[${first}], ${effect}`
}

function placeOf ({ host, path_prefix: prefix }: WireRoute): string {
  return JSON.stringify([host.toLowerCase(), prefix])
}

function unknownService (name: string | undefined, config: WireConfig): string | false {
  if (name === undefined) return 'no service'
  return !config.services.some(service => service.name === name) && `unknown service ${JSON.stringify(name)}`
}

const routeRules: Rule<WireRoute>[] = [
  { severity: 'error', at: ['path_prefix'], found: (_route, context) => earlier(context, placeOf, 'routes', 'which gets all requests of this host and prefix'), allowed: 'each host and prefix once' },
  { severity: 'error', at: ['host'], found: ({ host }) => /:\d+$|\*/.test(host) && `${JSON.stringify(host)}, which no request matches`, allowed: 'a host name without port or wildcard' },
  { severity: 'error', at: ['path_prefix'], found: ({ path_prefix: prefix }) => /^[^/]/.test(prefix) && `${JSON.stringify(prefix)}, which no path starts with`, allowed: 'a prefix that starts with a slash' },
  { severity: 'warning', at: ['path_prefix'], found: ({ path_prefix: prefix }) => !prefix.endsWith('/') && `${JSON.stringify(prefix)}, which also matches paths such as ${JSON.stringify(`${prefix}x`)}`, allowed: 'a prefix that ends with a slash' },
  { severity: 'warning', at: ['name'], found: (_route, context) => earlier(context, route => route.name, 'routes', 'so that logs and metrics do not tell them apart'), allowed: 'each name once' },
  { severity: 'error', at: ['goal_ms'], found: route => over(route.goal_ms, route.timeout_ms, 'timeout_ms'), allowed: 'at most timeout_ms' },
  { severity: 'error', at: ['gap_target_ms'], found: route => over(route.gap_target_ms, route.timeout_ms, 'timeout_ms'), allowed: 'at most timeout_ms' },
  { severity: 'error', at: ['service'], found: (route, { config }) => !route.split?.length && unknownService(route.service, config), allowed: 'the name of a service' },
  { severity: 'error', at: ['split'], found: ({ split }) => split && split.length > 0 && split.every(({ weight }) => weight === 0) && 'no target has a weight', allowed: 'a target with a weight over 0' }
]

const targetRules: Rule<NonNullable<WireRoute['split']>[number]>[] = [
  { severity: 'error', at: ['service'], found: ({ service }, { config }) => unknownService(service, config), allowed: 'the name of a service' },
  { severity: 'warning', at: ['weight'], found: ({ weight }, { all }) => weight === 0 && all.some(target => target.weight > 0) && '0, so that the target gets no requests', allowed: 'a weight over 0' }
]

function isUsed ({ name }: WireService, { routes }: WireConfig): boolean {
  return routes.some(({ service, split }) => split?.length ? split.some(target => target.service === name) : service === name)
}

const serviceRules: Rule<WireService>[] = [
  { severity: 'error', at: ['name'], found: (_service, context) => earlier(context, service => service.name, 'services', 'and only the last one counts'), allowed: 'each name once' },
  { severity: 'warning', at: [], found: (service, { config }) => !isUsed(service, config) && 'no route leads to the service', allowed: 'a service of a route' },
  { severity: 'warning', at: ['health_path'], found: ({ health_path: path }) => path !== undefined && !(typeof path === 'string' && /^\/[\x21-\x7e]*$/.test(path)) && 'not a path, so that health is not checked', allowed: 'visible ASCII that starts with a slash' },
  { severity: 'warning', at: ['engine', 'slots'], found: ({ engine, max_conns: connections }) => !!engine && over(engine.slots, connections, 'max_conns'), allowed: 'at most max_conns, since each request in a slot needs a connection' },
  { severity: 'warning', at: ['engine', 'adapter_slots'], found: ({ engine }) => !!engine && !engine.adapter_slots && engine.models.some(model => model.adapter_mb) && 'no slot, although models have adapters', allowed: 'at least 1 if a model has adapter_mb' }
]

interface EngineModel {
  model: WireModel
  engine: NonNullable<WireService['engine']>
}

function adapterMemoryFinding ({ model, engine }: EngineModel): string | false {
  const slots = engine.adapter_slots ?? 0
  const sumMb = model.weights_mb + slots * (model.adapter_mb ?? 0)
  return model.weights_mb <= engine.weights_mb && sumMb > engine.weights_mb &&
    `with adapters in all ${slots} slots the model needs ${sumMb} MB, over the engine's weights_mb ${engine.weights_mb}`
}

const modelRules: Rule<EngineModel>[] = [
  { severity: 'error', at: ['name'], found: (_model, context) => earlier(context, ({ model }) => model.name, 'models', 'and only the last one counts'), allowed: 'each name once' },
  { severity: 'error', at: ['weights_mb'], found: ({ model, engine }) => over(model.weights_mb, engine.weights_mb, "the engine's weights_mb"), allowed: 'at most the weights_mb of the engine' },
  { severity: 'warning', at: ['adapter_mb'], found: adapterMemoryFinding, allowed: 'adapters in all slots that fit beside the model' }
]

/** Finds accounts that can never afford a request without debt. A burst of 0 is one second of the rate. */
function quotaFinding (account: WireAccount): string | false {
  const rate = account.rate_per_s ?? 0
  const burst = account.burst || rate
  const isTokens = account.unit === 'token_count'
  const cost = isTokens ? Math.max(1, account.plain_tokens ?? 0) : 1
  return rate > 0 && burst < cost && `at most ${burst} at once, below one request${isTokens ? ` of ${cost} tokens` : ''}`
}

const accountRules: Rule<WireAccount>[] = [
  { severity: 'error', at: ['name'], found: (_account, context) => earlier(context, account => account.name, 'tenants', 'although quotas and logs are by name'), allowed: 'each name once' },
  { severity: 'error', at: ['name'], found: ({ name }) => !/^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/.test(name) && 'not the value of a header', allowed: 'visible ASCII, since backend servers get the name in a header' },
  { severity: 'warning', at: ['keys'], found: ({ keys }) => !keys?.length && 'no key, so that no request is of the account', allowed: 'at least one key' },
  { severity: 'warning', at: ['burst'], found: quotaFinding, allowed: 'at least the cost of one request, in burst or, without it, in rate_per_s' }
]

/** A key with its place. Findings name the place only. */
interface AccountKey {
  key: string
  account: string
  at: string
}

const keyRules: Rule<AccountKey>[] = [
  { severity: 'error', at: [], found: ({ key }) => (key !== key.trim() || !/^[\x20-\x7e]+$/.test(key)) && 'not the value of a header, so that no request has the key', allowed: 'visible ASCII without space at its ends' },
  {
    severity: 'error',
    at: [],
    found: ({ key, account }, { all }) => {
      const first = all.find(other => other.key === key)!
      return first.account !== account && `also a key of account ${JSON.stringify(first.account)} (${first.at}), which gets its requests`
    },
    allowed: 'each key in one account'
  },
  {
    severity: 'warning',
    at: [],
    found: ({ key, account }, { all, index }) => {
      const first = all.findIndex(other => other.key === key)
      return first < index && all[first]!.account === account && `the same as ${all[first]!.at}`
    },
    allowed: 'each key once'
  }
]

/** Size of the smallest request of a route: request line, `Host` and, if the route needs one, the shortest key. */
function smallestHeadBytes ({ host, path_prefix: prefix, public: isPublic }: WireRoute, { tenants }: WireConfig): number {
  const lines = [`GET ${prefix} HTTP/1.1`, `Host: ${host}`]
  const keyLengths = (tenants ?? []).flatMap(({ keys }) => keys ?? []).map(key => key.length)
  if (keyLengths.length > 0 && !isPublic) lines.push(`X-Api-Key: ${'x'.repeat(Math.min(...keyLengths))}`)
  return Buffer.byteLength(`${lines.join('\r\n')}\r\n\r\n`)
}

const configRules: Rule<WireConfig>[] = [
  {
    severity: 'error',
    at: ['limits', 'max_header_bytes'],
    found: config => {
      const index = config.routes.findIndex(route => smallestHeadBytes(route, config) > config.limits.max_header_bytes)
      return index >= 0 && `${config.limits.max_header_bytes}, below the ${smallestHeadBytes(config.routes[index]!, config)} bytes of the smallest request of routes[${index}]`
    },
    allowed: 'the smallest request of each route'
  },
  { severity: 'error', at: ['limits', 'max_body_bytes'], found: ({ limits }) => limits.max_body_bytes < 1 && `${limits.max_body_bytes}, below any body`, allowed: 'at least 1' },
  { severity: 'warning', at: ['tenants'], found: ({ tenants, routes }) => tenants?.length === 0 && routes.some(route => !route.public) && 'no account, so that routes that are not public refuse all requests', allowed: 'at least one account, or no list' }
]

/** Applies the rules to each entry. */
function apply<T> (config: WireConfig, rules: readonly Rule<T>[], entries: readonly { entry: T, path: JsonPath }[]): ConfigFinding[] {
  const all = entries.map(({ entry }) => entry)
  return entries.flatMap(({ entry, path }, index) => rules.flatMap(({ severity, at, found, allowed }) => {
    const text = found(entry, { entry, path, index, all, config })
    return text ? [{ path: [...path, ...at], severity, found: text, allowed }] : []
  }))
}

function entriesOf<T> (list: readonly T[] | null | undefined, path: JsonPath) {
  return (list ?? []).map((entry, index) => ({ entry, path: [...path, index] }))
}

/** All findings, by kind of entry. */
export function checkConfig (config: WireConfig): ConfigFinding[] {
  const { routes, services, tenants } = config
  const keys = entriesOf(tenants, ['tenants']).flatMap(({ entry: account, path }) => entriesOf(account.keys, [...path, 'keys'])
    .map(({ entry: key, path }) => ({ entry: { key, account: account.name, at: `tenants[${path[1]}].keys[${path[3]}]` }, path })))
  return [
    ...apply(config, configRules, [{ entry: config, path: [] }]),
    ...apply(config, routeRules, entriesOf(routes, ['routes'])),
    ...routes.flatMap((route, index) => apply(config, targetRules, entriesOf(route.split, ['routes', index, 'split']))),
    ...apply(config, serviceRules, entriesOf(services, ['services'])),
    ...services.flatMap(({ engine }, index) => engine
      ? apply(config, modelRules, entriesOf(engine.models.map(model => ({ model, engine })), ['services', index, 'engine', 'models']))
      : []),
    ...apply(config, accountRules, entriesOf(tenants, ['tenants'])),
    ...apply(config, keyRules, keys)
  ]
}
