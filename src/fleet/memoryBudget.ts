/** Accounting of accelerator memory. All figures are bytes of one engine. */

/** What an engine offers. `adapterBytes` is the space set aside for adapters by the configuration. */
export interface MemoryCapacity {
  memoryBytes: number
  kvCacheBytes: number
  adapterBytes: number
}

/** Anything that occupies memory. */
export interface MemoryAllocation {
  memoryBytes: number
}

export function sumBytes (users: Iterable<MemoryAllocation>): number {
  let sum = 0
  for (const user of users) sum += user.memoryBytes
  return sum
}

/** Bytes that models may still take. Negative if the configuration now sets aside more than is free. */
export function freeModelBytes (capacity: MemoryCapacity, models: Iterable<MemoryAllocation>, adapters: Iterable<MemoryAllocation>): number {
  // The adapter space may have been reduced by the configuration while more adapters are resident.
  const adapterSpaceBytes = Math.max(capacity.adapterBytes, sumBytes(adapters))
  return capacity.memoryBytes - capacity.kvCacheBytes - adapterSpaceBytes - sumBytes(models)
}

/** Bytes that adapters may still take: within the adapter space and within the memory that models leave. */
export function freeAdapterBytes (capacity: MemoryCapacity, models: Iterable<MemoryAllocation>, adapters: Iterable<MemoryAllocation>): number {
  const usedBytes = sumBytes(adapters)
  const leftBytes = capacity.memoryBytes - capacity.kvCacheBytes - sumBytes(models)
  return Math.min(capacity.adapterBytes, leftBytes) - usedBytes
}
