/** Reads the configuration of the fleet from INI text and checks it. `docs/operators.md` lists the keys. */

import { hasErrors } from '../base/findings.js'
import type { Finding } from '../base/findings.js'
import {
  allowedNames, booleanField, bytesField, choiceField, durationMsField, hoursField, listField, nearestName, numberField, readFields,
  required, textField, withDefault
} from './fields.js'
import type { Field, Fields, FieldValues } from './fields.js'
import { exceptionSchema, fleetConfigSchema, ranks } from './fleetConfig.js'
import type { ConfigException, FleetConfig, Rank, RankConfig, ServiceConfig } from './fleetConfig.js'
import { parseIni } from './ini.js'
import type { IniSection } from './ini.js'

const shareField = numberField({ min: 0, max: 1 })
const weightField = numberField({ above: 0 })
const patienceField = durationMsField({ above: 0 })
const replicasField = numberField({ min: 0, max: 1_000_000, integer: true })
const countField = numberField({ min: 1, max: 1_000_000, integer: true })
const rankField = choiceField(ranks)
const nameText = 'letters, digits, ".", "_" and "-", starting with a letter or digit, at most 100'
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/
const nameField = textField({ pattern: namePattern, allowed: nameText })

const fleetFields = {
  storeLoadsPerSecond: withDefault(numberField({ above: 0 }), 1),
  storeLoadsInFlight: withDefault(countField, 3),
  storeAdapterLoadsInFlight: withDefault(countField, 25),
  retryBudget: withDefault(shareField, 0.1),
  idempotencyRetentionMs: withDefault(durationMsField({ above: 0 }), 86_400_000),
  utcOffsetMinutes: withDefault(numberField({ min: -840, max: 840 }), 0),
  crossRegionPrice: withDefault(numberField({ min: 0 }), 1)
}

/** Values of the ranks that the configuration does not set. */
export const defaultRanks: Readonly<Record<Rank, Readonly<RankConfig>>> = {
  urgent: { requestValue: 100, minimumShare: 0.1, patienceMs: 10_000, firstTokenMs: 600, tokenGapMs: 42, objective: 0.99 },
  live: { requestValue: 10, minimumShare: 0.1, patienceMs: 30_000, firstTokenMs: 600, tokenGapMs: 42, objective: 0.95 },
  browsing: { requestValue: 1, minimumShare: 0.1, patienceMs: 120_000, firstTokenMs: 0, tokenGapMs: 0, objective: 0.9 }
}

function rankFields (defaults: RankConfig) {
  return {
    requestValue: withDefault(weightField, defaults.requestValue),
    minimumShare: withDefault(shareField, defaults.minimumShare),
    objective: withDefault(shareField, defaults.objective),
    patienceMs: withDefault(patienceField, defaults.patienceMs),
    firstTokenMs: withDefault(durationMsField({ min: 0 }), defaults.firstTokenMs),
    tokenGapMs: withDefault(durationMsField({ min: 0 }), defaults.tokenGapMs)
  }
}

const customerFields = {
  // An operator may paste the API key itself, so findings must not repeat the value.
  apiKeySha256: { ...required(textField({ pattern: /^[0-9a-f]{64}$/, allowed: 'SHA-256 of the API key as 64 lower-case hex digits' })), secret: true },
  rank: withDefault(rankField, 'live' as Rank),
  weight: withDefault(weightField, 1),
  patienceMs: patienceField,
  ceilingRequestsPerSecond: numberField({ above: 0 })
}

const modelFields = {
  pool: required(nameField),
  version: withDefault(nameField, '1'),
  memoryBytes: required(bytesField({ min: 1 })),
  minimumReplicas: withDefault(replicasField, 0),
  maximumReplicas: countField,
  weight: withDefault(weightField, 1),
  rank: rankField,
  patienceMs: patienceField,
  idempotent: withDefault(booleanField, true)
}

const adapterFields = { baseModel: required(nameField), memoryBytes: required(bytesField({ min: 1 })) }

const methodField = choiceField(['GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE'])
const serviceFields = {
  path: textField({
    pattern: /^(\/(?!\.{1,2}(\/|$))[A-Za-z0-9._~-]+)+$/,
    allowed: 'a path such as /orders, without a "/" at its end and without "." or ".." as a part'
  }),
  nonIdempotentMethods: withDefault(listField<string>(methodField), ['POST', 'PATCH']),
  rank: rankField,
  patienceMs: patienceField
}

const poolFields = {
  // The default is the safe one: commands to engines that ignore the token are counted in a record.
  honoursFence: withDefault(booleanField, false),
  reserveBytes: withDefault(bytesField({ min: 0 }), 0),
  adapterBytes: withDefault(bytesField({ min: 0 }), 0)
}

const exceptionFields = {
  reason: required(textField({ allowed: 'a reason for the exception' })),
  target: required(textField({ pattern: /^[a-z]+\.\S+$/, allowed: 'model.NAME, customer.NAME, service.NAME, engine.NAME or rank.NAME' })),
  hours: hoursField,
  pin: nameField,
  ban: nameField,
  minimumReplicas: replicasField,
  weight: weightField,
  ceilingRequestsPerSecond: numberField({ above: 0 }),
  patienceMs: patienceField,
  honoursFence: booleanField
}

/** Which keys of an exception have an effect on which kind of target. */
const exceptionKeys: Record<string, readonly string[]> = {
  model: ['pin', 'ban', 'minimumReplicas', 'weight', 'patienceMs'],
  customer: ['weight', 'ceilingRequestsPerSecond', 'patienceMs'],
  service: ['patienceMs'],
  engine: ['honoursFence'],
  rank: ['patienceMs']
}

/** Paths of the callers' port that the gateway answers itself. */
const reservedPaths = ['/v1']

const sectionKinds = ['fleet', 'rank', 'customer', 'model', 'adapter', 'service', 'pool', 'exception'] as const
type SectionKind = typeof sectionKinds[number]
const sectionForm = (kind: string) => kind === 'fleet' ? '[fleet]' : `[${kind}.NAME]`

/** Sections of one kind by name. */
type SectionsByName = Map<string, IniSection>

class FleetConfigReader {
  readonly findings: Finding[]
  private readonly sections: Record<SectionKind, SectionsByName>

  constructor (private readonly file: string, sections: readonly IniSection[], findings: Finding[]) {
    this.findings = findings
    this.sections = Object.fromEntries(sectionKinds.map(kind => [kind, new Map()])) as Record<SectionKind, SectionsByName>
    for (const section of sections) this.classify(section)
  }

  read (version: number): FleetConfig | undefined {
    const fleet = this.values(this.sections.fleet.get('') ?? { name: 'fleet', line: 0, entries: [] }, fleetFields)
    const rankConfigs = Object.fromEntries(ranks.map(rank => {
      const section = this.sections.rank.get(rank) ?? { name: `rank.${rank}`, line: 0, entries: [] }
      return [rank, this.values(section, rankFields(defaultRanks[rank]))]
    }))
    const customers = this.readAll('customer', customerFields)
    const models = this.readAll('model', modelFields)
    const adapters = this.readAll('adapter', adapterFields)
    const services = this.readAll('service', serviceFields)
    for (const [name, service] of services) service.path ??= `/${name}`
    const pools = this.readAll('pool', poolFields)
    const exceptions = this.readAll('exception', exceptionFields)

    this.checkCustomers(customers)
    this.checkModels(models, pools)
    this.checkAdapters(adapters, models, pools)
    this.checkServices(services)
    this.checkExceptions(exceptions, models)
    this.checkFencing(pools, exceptions)
    if (hasErrors(this.findings)) return undefined

    const parsed = fleetConfigSchema.safeParse({
      version,
      fleet,
      ranks: rankConfigs,
      customers: Object.fromEntries(customers),
      models: Object.fromEntries(models),
      adapters: Object.fromEntries(adapters),
      services: Object.fromEntries(services),
      pools: Object.fromEntries(pools),
      exceptions: [...exceptions].map(([name, values]) => exceptionSchema.parse({ name, ...values }))
    })
    if (parsed.success) return parsed.data
    for (const issue of parsed.error.issues) {
      this.findings.push({ file: this.file, line: 0, key: issue.path.join('.'), severity: 'error', found: issue.message, allowed: issue.code })
    }
    return undefined
  }

  private classify (section: IniSection): void {
    const dot = section.name.indexOf('.')
    const kind = (dot < 0 ? section.name : section.name.slice(0, dot)) as SectionKind
    const name = dot < 0 ? '' : section.name.slice(dot + 1)
    if (!sectionKinds.includes(kind)) {
      const nearest = nearestName(kind, sectionKinds)
      this.report(section, '', 'unknown section', `${nearest ? `${sectionForm(nearest)} (nearest), or ` : ''}one of ${sectionKinds.map(sectionForm).join(', ')}`)
    } else if ((kind === 'fleet') !== (dot < 0)) {
      this.report(section, '', kind === 'fleet' ? '[fleet] with a name' : 'a section without a name', sectionForm(kind))
    } else if (kind === 'rank' && !ranks.includes(name as Rank)) {
      this.report(section, '', `unknown rank "${name}"`, allowedNames(name, ranks))
    } else if (kind !== 'fleet' && (!namePattern.test(name) || name in Object.prototype)) {
      // Names are keys of plain objects, where `constructor` and the like would be found without being defined.
      this.report(section, '', `name "${name}"`, `${nameText}; not a property of Object.prototype`)
    } else {
      this.sections[kind].set(name, section)
    }
  }

  private report (section: IniSection, key: string, found: string, allowed: string, severity: Finding['severity'] = 'error'): void {
    const line = section.entries.find(entry => entry.key === key)?.line ?? section.line
    this.findings.push({ file: this.file, line, key: key ? `${section.name}.${key}` : section.name, severity, found, allowed })
  }

  private values<F extends Fields> (section: IniSection, fields: F): FieldValues<F> {
    return readFields(section, fields, { file: this.file, findings: this.findings })
  }

  private readAll<F extends Fields> (kind: SectionKind, fields: F): Map<string, FieldValues<F>> {
    return new Map([...this.sections[kind]].map(([name, section]) => [name, this.values(section, fields)]))
  }

  private checkReference (section: IniSection, key: string, name: string | undefined, kind: SectionKind): boolean {
    if (name === undefined) return false
    if (this.sections[kind].has(name)) return true
    this.report(section, key, `${kind} "${name}" does not exist`, allowedNames(name, [...this.sections[kind].keys()]))
    return false
  }

  private checkCustomers (customers: Map<string, { apiKeySha256?: string }>): void {
    const owners = new Map<string, string>()
    for (const [name, { apiKeySha256 }] of customers) {
      if (apiKeySha256 === undefined) continue
      const owner = owners.get(apiKeySha256)
      if (owner === undefined) owners.set(apiKeySha256, name)
      else this.report(this.sections.customer.get(name)!, 'apiKeySha256', `the same API key hash as customer "${owner}"`, 'a different API key for each customer')
    }
  }

  private checkModels (
    models: Map<string, FieldValues<typeof modelFields>>,
    pools: Map<string, FieldValues<typeof poolFields>>
  ): void {
    for (const [name, model] of models) {
      const section = this.sections.model.get(name)!
      if (model.maximumReplicas !== undefined && model.maximumReplicas < (model.minimumReplicas ?? 0)) {
        this.report(section, 'maximumReplicas', `${model.maximumReplicas}, below minimumReplicas ${model.minimumReplicas}`, 'at least minimumReplicas')
      }
      if (this.sections.adapter.has(name)) {
        this.report(section, '', `an adapter is also named "${name}"`, 'different names for models and adapters, since callers name either in the field "model"')
      }
      if (!this.checkReference(section, 'pool', model.pool, 'pool')) continue
      const reserveBytes = pools.get(model.pool!)?.reserveBytes ?? 0
      if (model.memoryBytes !== undefined && model.memoryBytes > reserveBytes) {
        this.report(section, 'memoryBytes', `${model.memoryBytes} bytes, more than reserveBytes ${reserveBytes} of pool "${model.pool}"`,
          'at most reserveBytes of the pool, so that the model can be loaded whatever else is resident', 'warning')
      }
    }
  }

  private checkAdapters (
    adapters: Map<string, FieldValues<typeof adapterFields>>,
    models: Map<string, { pool?: string }>,
    pools: Map<string, { adapterBytes?: number }>
  ): void {
    for (const [name, adapter] of adapters) {
      const section = this.sections.adapter.get(name)!
      if (!this.checkReference(section, 'baseModel', adapter.baseModel, 'model')) continue
      const poolName = models.get(adapter.baseModel!)?.pool ?? ''
      const adapterBytes = pools.get(poolName)?.adapterBytes
      if (adapterBytes !== undefined && adapter.memoryBytes !== undefined && adapter.memoryBytes > adapterBytes) {
        this.report(section, 'memoryBytes', `${adapter.memoryBytes} bytes, more than adapterBytes ${adapterBytes} of pool "${poolName}"`,
          'at most adapterBytes of the pool, since the adapter cannot be loaded otherwise', 'warning')
      }
    }
  }

  private checkServices (services: Map<string, { path?: string }>): void {
    const seen: { path: string, owner: string }[] = reservedPaths.map(path => ({ path, owner: 'the gateway' }))
    for (const [name, { path }] of services) {
      if (path === undefined) continue
      for (const other of seen) {
        if (!isBelow(path, other.path) && !isBelow(other.path, path)) continue
        this.report(this.sections.service.get(name)!, 'path', `"${path}" overlaps "${other.path}" of ${other.owner}`, 'paths of which none is a prefix of another')
      }
      seen.push({ path, owner: `service "${name}"` })
    }
  }

  private checkExceptions (exceptions: Map<string, FieldValues<typeof exceptionFields>>, models: Map<string, { maximumReplicas?: number }>): void {
    const pins: { exception: string, target: string, pin: string, hours: ConfigException['hours'] }[] = []
    for (const [name, { target, pin, hours }] of exceptions) {
      if (target !== undefined && pin !== undefined) pins.push({ exception: name, target, pin, hours })
    }
    for (const [name, exception] of exceptions) {
      const section = this.sections.exception.get(name)!
      this.checkExceptionKeys(section, exception)
      const { maximumReplicas = Infinity } = models.get(exception.target?.replace(/^model\./, '') ?? '') ?? {}
      if (exception.target?.startsWith('model.') && (exception.minimumReplicas ?? 0) > maximumReplicas) {
        this.report(section, 'minimumReplicas', `${exception.minimumReplicas}, above maximumReplicas ${maximumReplicas} of the model`, 'at most maximumReplicas')
      }
      for (const other of pins) {
        if (other.target !== exception.target || other.pin !== exception.ban || !hoursOverlap(other.hours, exception.hours)) continue
        this.report(section, 'ban', `engine "${other.pin}" is banned here and pinned by exception "${other.exception}"`, 'an engine that is either pinned or banned for a model at any hour')
      }
    }
  }

  private checkExceptionKeys (section: IniSection, { target, hours, honoursFence }: FieldValues<typeof exceptionFields>): void {
    if (target === undefined) return
    const dot = target.indexOf('.')
    const kind = target.slice(0, dot)
    const name = target.slice(dot + 1)
    const keys = Object.hasOwn(exceptionKeys, kind) ? exceptionKeys[kind]! : undefined
    if (!keys) return this.report(section, 'target', `"${target}"`, exceptionFields.target.allowed)
    if (kind === 'rank') {
      if (!ranks.includes(name as Rank)) this.report(section, 'target', `rank "${name}" does not exist`, allowedNames(name, ranks))
    } else if (kind === 'engine') {
      if (!namePattern.test(name)) this.report(section, 'target', `engine name "${name}"`, nameText)
    } else {
      this.checkReference(section, 'target', name, kind as SectionKind)
    }
    const effects = section.entries.filter(({ key }) => Object.hasOwn(exceptionFields, key) && !['reason', 'target', 'hours'].includes(key))
    for (const { key } of effects) {
      if (!keys.includes(key)) this.report(section, key, `no effect on a target of kind ${kind}`, `one of ${keys.join(', ')}`)
    }
    if (effects.length === 0) this.report(section, '', 'an exception that changes nothing', `at least one of ${keys.join(', ')}`)
    // How an engine treats fencing tokens is a property of its software and does not change by the hour.
    if (honoursFence !== undefined && hours) this.report(section, 'hours', 'hours together with honoursFence', 'honoursFence for the whole day')
  }

  /** Engines are not listed in the configuration, so an exception for any engine counts for every pool. */
  private checkFencing (pools: Map<string, { honoursFence?: boolean }>, exceptions: Map<string, { honoursFence?: boolean }>): void {
    if ([...exceptions.values()].some(exception => exception.honoursFence)) return
    for (const [name, pool] of pools) {
      if (pool.honoursFence) continue
      this.report(this.sections.pool.get(name)!, 'honoursFence', 'no engine that honours fencing tokens',
        'honoursFence = true for the pool or, by an exception, for one of its engines; otherwise models that are not resident are unreachable during an outage of the key-value service', 'warning')
    }
  }
}

/** Whether `path` is `prefix` or a path below it. */
function isBelow (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(`${prefix}/`)
}

function hoursOverlap (left: ConfigException['hours'], right: ConfigException['hours']): boolean {
  return !left || !right || (left.from < right.to && right.from < left.to)
}

/**
 * Reads and checks a configuration. `config` is absent if at least one finding is an error. Never throws.
 */
export function parseFleetConfig (text: string, { file, version }: { file: string, version: number }): { config?: FleetConfig, findings: Finding[] } {
  const document = parseIni(text, { file })
  const reader = new FleetConfigReader(file, document.sections, document.findings)
  const config = reader.read(version)
  const findings = reader.findings.sort((left, right) => left.line - right.line)
  return config ? { config, findings } : { findings }
}

/** The service that a path of the callers' port belongs to, and the rest of the path. `path` has no query. */
export function serviceForPath (config: FleetConfig, path: string): { name: string, service: ServiceConfig, rest: string } | undefined {
  for (const [name, service] of Object.entries(config.services)) {
    if (isBelow(path, service.path)) return { name, service, rest: path.slice(service.path.length) || '/' }
  }
  return undefined
}

/** The keys of each kind of section. */
export const fleetConfigFields: Record<SectionKind, Record<string, Field<unknown>>> = {
  fleet: fleetFields,
  rank: rankFields(defaultRanks.live),
  customer: customerFields,
  model: modelFields,
  adapter: adapterFields,
  service: serviceFields,
  pool: poolFields,
  exception: exceptionFields
}
