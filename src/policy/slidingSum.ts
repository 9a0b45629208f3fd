/** Sum of amounts over a sliding window, in slots, so that memory is bounded however many amounts are added. */
export class SlidingSum {
  private slots: { index: number, amount: number }[] = []

  constructor (private readonly windowMs: number, private readonly slotMs: number) {}

  /** Adds an amount; one in the past is added at the time it belongs to. */
  add (amount: number, atMs: number): void {
    // Some sums are rarely read.
    this.dropOld(atMs)
    const index = Math.floor(atMs / this.slotMs)
    let position = this.slots.length
    while (position > 0 && this.slots[position - 1]!.index > index) position--
    const slot = this.slots[position - 1]
    if (slot?.index === index) slot.amount += amount
    else this.slots.splice(position, 0, { index, amount })
  }

  /** Sum over at least the last `windowMs` and at most one slot more. */
  sum (nowMs: number): number {
    this.dropOld(nowMs)
    let sum = 0
    for (const { amount } of this.slots) sum += amount
    return sum
  }

  /** Age of each slot's end in milliseconds (0 for the current one) and its amount, oldest first. */
  rows (nowMs: number): [number, number][] {
    this.dropOld(nowMs)
    return this.slots.filter(({ amount }) => amount !== 0).map(({ index, amount }) => [Math.max(0, nowMs - (index + 1) * this.slotMs), amount])
  }

  clear (): void {
    this.slots = []
  }

  private dropOld (nowMs: number): void {
    const oldest = Math.floor((nowMs - this.windowMs) / this.slotMs)
    while (this.slots.length > 0 && this.slots[0]!.index < oldest) this.slots.shift()
  }
}

/** Sums over a sliding window by key. A key whose window has become empty is forgotten, since clients may make keys up. */
export class SlidingSums {
  private readonly sums = new Map<string, SlidingSum>()

  constructor (private readonly windowMs: number, private readonly slotMs: number) {}

  add (key: string, amount: number, nowMs: number): void {
    let sum = this.sums.get(key)
    if (!sum) {
      for (const [known, other] of this.sums) if (other.sum(nowMs) === 0) this.sums.delete(known)
      sum = new SlidingSum(this.windowMs, this.slotMs)
      this.sums.set(key, sum)
    }
    sum.add(amount, nowMs)
  }

  /** Sum over at least the last `windowMs` and at most one slot more; 0 for unknown keys. */
  sum (key: string, nowMs: number): number {
    return this.sums.get(key)?.sum(nowMs) ?? 0
  }

  /** Number of known keys. */
  get size (): number {
    return this.sums.size
  }
}
