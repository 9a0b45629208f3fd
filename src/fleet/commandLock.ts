/** Read-write lock for the commands to one engine: exclusive calls run alone, shared calls concurrently, in FIFO order. */

interface Waiter { exclusive: boolean, start: () => void }

export class CommandLock {
  private running = 0
  private exclusiveRunning = false
  private readonly waiters: Waiter[] = []

  exclusive<T> (call: () => Promise<T>): Promise<T> {
    return this.enter(true, call)
  }

  shared<T> (call: () => Promise<T>): Promise<T> {
    return this.enter(false, call)
  }

  private async enter<T> (exclusive: boolean, call: () => Promise<T>): Promise<T> {
    await new Promise<void>(resolve => {
      this.waiters.push({ exclusive, start: resolve })
      this.admit()
    })
    try {
      return await call()
    } finally {
      this.running--
      if (exclusive) this.exclusiveRunning = false
      this.admit()
    }
  }

  private admit (): void {
    for (let next = this.waiters[0]; next; next = this.waiters[0]) {
      if (this.exclusiveRunning || (next.exclusive && this.running > 0)) return
      this.waiters.shift()
      this.running++
      this.exclusiveRunning = next.exclusive
      next.start()
    }
  }
}
