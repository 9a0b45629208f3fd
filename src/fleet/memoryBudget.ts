/** Accounts the accelerator memory of one engine, in bytes. */

/** Memory of an engine. `adapterBytes` is reserved for adapters by the configuration. */
export interface MemoryCapacity {
  memoryBytes: number
  kvCacheBytes: number
  adapterBytes: number
}

/** Memory used by one model or adapter. */
export interface MemoryAllocation {
  memoryBytes: number
}

export function sumBytes (allocations: Iterable<MemoryAllocation>): number {
  let sum = 0
  for (const allocation of allocations) sum += allocation.memoryBytes
  return sum
}

/** Bytes available to models. Negative if the configuration reserves more for adapters than is free. */
export function freeModelBytes (capacity: MemoryCapacity, models: Iterable<MemoryAllocation>, adapters: Iterable<MemoryAllocation>): number {
  // The adapter space may have been reduced by the configuration while more adapters are loaded.
  const adapterSpaceBytes = Math.max(capacity.adapterBytes, sumBytes(adapters))
  return capacity.memoryBytes - capacity.kvCacheBytes - adapterSpaceBytes - sumBytes(models)
}

/** Bytes available to adapters, limited by the adapter space and by the memory that models leave free. */
export function freeAdapterBytes (capacity: MemoryCapacity, models: Iterable<MemoryAllocation>, adapters: Iterable<MemoryAllocation>): number {
  const usedBytes = sumBytes(adapters)
  const leftBytes = capacity.memoryBytes - capacity.kvCacheBytes - sumBytes(models)
  return Math.min(capacity.adapterBytes, leftBytes) - usedBytes
}
