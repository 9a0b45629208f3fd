/** Faults that a stand-in shows in its next calls. */

/** A fault applies to the next `calls` calls that it matches. */
export interface FaultBase {
  fault: string
  calls: number
}

export class FaultSwitches<Fault extends FaultBase> {
  private active: Fault[] = []

  add (fault: Fault): void {
    this.active.push({ ...fault })
  }

  clear (): void {
    this.active = []
  }

  /** Faults that still apply to some call. */
  get activeCount (): number {
    return this.active.length
  }

  /** The first active fault of the kind that `matches`. Counts it as used once. */
  take<Kind extends Fault['fault']> (kind: Kind, matches: (fault: Extract<Fault, { fault: Kind }>) => boolean = () => true): Extract<Fault, { fault: Kind }> | undefined {
    for (const fault of this.active) {
      if (fault.fault !== kind || !matches(fault as Extract<Fault, { fault: Kind }>)) continue
      fault.calls--
      if (fault.calls <= 0) this.active.splice(this.active.indexOf(fault), 1)
      return fault as Extract<Fault, { fault: Kind }>
    }
    return undefined
  }
}

/** A promise that does not settle: the answer of a process that never answers. */
export function never<T> (): Promise<T> {
  return new Promise(() => {})
}
