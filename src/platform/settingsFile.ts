/** Reads the settings file that the platform writes for each process. */

import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'
import { FindingsError } from '../base/findings.js'
import type { Finding } from '../base/findings.js'
import { messageOf } from '../base/errors.js'
import type { ServingSettings } from '../serving/settings.js'
import { addressSchema } from './wireSchemas.js'

/** Environment variable with the path of the file. */
export const settingsPathVariable = 'TEASELRILL_NODE_FILE'

/** Path of the file that the platform names. */
export function settingsPath (): string {
  return process.env[settingsPathVariable] ?? '/etc/teaselrill/settings.toml'
}

const positive = z.number().positive()

// A setting that the platform omits has the value of the known deployments.
const settingsSchema = z.object({
  node: z.string().min(1),
  ip: z.string(),
  zone: z.string(),
  region: z.string(),
  port_range: z.tuple([z.number().int(), z.number().int()]),
  zones: z.record(z.string(), z.string()),
  // Whether no process of the system has run before.
  first_start: z.boolean().default(false),
  // Parts of the platform's rules that are in force.
  contracts: z.array(z.string()).default([]),
  listen: z.object({ front: addressSchema, ready: addressSchema }),
  limits: z.object({
    max_fds: positive.default(4100),
    memory_mb: positive.default(350),
    cpu_share: positive.default(1),
    // A speed factor of the CPU, not a number of CPUs.
    cores: positive.default(1)
  }).default({ max_fds: 4100, memory_mb: 350, cpu_share: 1, cores: 1 }),
  // Limits on what the node holds for clients. Each replaces a default that is derived from the limits of the machine.
  clients: z.object({
    held_mb: positive.optional(),
    held_with_small_mb: positive.optional(),
    connections: positive.int().optional(),
    pipelined: positive.int().optional(),
    body_stall_ms: positive.optional(),
    body_stall_without_room_ms: positive.optional(),
    response_stall_ms: positive.optional(),
    linger_ms: positive.optional(),
    linger_mb: positive.optional(),
    overhead_kb: positive.optional(),
    overhead_kb_per_s: positive.optional(),
    costly_connections: positive.optional(),
    linger_all_mb: positive.optional()
  }).default({}),
  bounds: z.object({
    grace_s: positive.default(8),
    budget_ratio: z.number().default(0.2),
    budget_window_s: positive.default(10),
    budget_slack: z.number().default(50),
    fence_required: z.boolean().default(false),
    lease_ms: positive.default(3000),
    ceiling_window_s: positive.default(5),
    revoke_strict: z.boolean().default(false),
    revoke_ms: positive.default(5000)
  }),
  platform: z.object({ address: addressSchema, ttl_min_ms: positive.default(1000) })
})

function finding (file: string, line: number, key: string, found: string, allowed: string): Finding {
  return { file, line, key, severity: 'error', found, allowed }
}

/** Parses and validates the settings. Throws `FindingsError` with all errors found. */
export function readSettingsFile (text: string, file: string): ServingSettings {
  let document: unknown
  try {
    document = parse(text)
  } catch (error) {
    throw new FindingsError([finding(file, error instanceof TomlError ? error.line : 0, '', messageOf(error).split('\n')[0]!, 'TOML')])
  }
  const result = settingsSchema.safeParse(document)
  if (!result.success) {
    throw new FindingsError(result.error.issues.map(issue => finding(file, 0, issue.path.join('.'), issue.message, 'see docs/platform.md')))
  }
  const { bounds, clients, listen, limits, platform, ...own } = result.data
  return {
    node: own.node,
    ip: own.ip,
    availabilityZone: own.zone,
    region: own.region,
    regionOfZone: own.zones,
    isFirstStart: own.first_start,
    clientsAddress: listen.front,
    readinessAddress: listen.ready,
    peersPort: own.port_range[0],
    maxFileDescriptors: limits.max_fds,
    cores: limits.cpu_share * limits.cores,
    store: { address: platform.address, minimumLeaseMs: platform.ttl_min_ms },
    shutdownTimeoutMs: bounds.grace_s * 1000,
    retryBudget: { share: bounds.budget_ratio, windowMs: bounds.budget_window_s * 1000, allowance: bounds.budget_slack },
    enginesCheckFences: bounds.fence_required,
    // Commands of successive placement leaders to one engine must be further apart than a lease.
    holderGapMs: bounds.lease_ms,
    // The platform tolerates some loads beyond the rate. They are not used, so that loads of the previous placement leader fit in.
    loadWindowMs: bounds.ceiling_window_s * 1000,
    sharesServers: own.contracts.includes('pool'),
    keyRemovalMs: bounds.revoke_strict ? bounds.revoke_ms : undefined,
    memoryMb: limits.memory_mb,
    clientLimits: withoutAbsent({
      heldBytes: bytesOf(clients.held_mb),
      heldBytesWithSmall: bytesOf(clients.held_with_small_mb),
      connections: clients.connections,
      pipelinedRequests: clients.pipelined,
      bodyStallMs: clients.body_stall_ms,
      bodyStallWithoutRoomMs: clients.body_stall_without_room_ms,
      responseStallMs: clients.response_stall_ms,
      lingerMs: clients.linger_ms,
      lingerBytes: bytesOf(clients.linger_mb),
      overheadBytes: kilobytes(clients.overhead_kb),
      overheadBytesPerS: kilobytes(clients.overhead_kb_per_s),
      costlyConnections: clients.costly_connections,
      lingerAllBytes: bytesOf(clients.linger_all_mb)
    })
  }
}

function bytesOf (megabytes: number | undefined): number | undefined {
  return megabytes === undefined ? undefined : megabytes * 1024 * 1024
}

function kilobytes (value: number | undefined): number | undefined {
  return value === undefined ? undefined : value * 1024
}

function withoutAbsent<T extends object> (values: T): { [Key in keyof T]?: Exclude<T[Key], undefined> } {
  return Object.fromEntries(Object.entries(values).filter(([, value]) => value !== undefined)) as { [Key in keyof T]?: Exclude<T[Key], undefined> }
}
