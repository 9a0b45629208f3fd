/** The platform's list of VMs. It lags behind. */

import { z } from 'zod'

export const vmSchema = z.object({
  name: z.string(),
  kind: z.enum(['entry', 'engine', 'service']),
  /** For `engine`: its pool; for `service`: the service's name; else empty. */
  group: z.string(),
  /** `IP:PORT` of the backend server, or of the peers' port of an entry VM. */
  address: z.string(),
  region: z.string(),
  availabilityZone: z.string(),
  state: z.enum(['live', 'leaving'])
})
export type Vm = z.infer<typeof vmSchema>

/** Reads the list. Rejects with the error classes of `base/errors`. */
export interface VmList {
  list (): Promise<Vm[]>
}
