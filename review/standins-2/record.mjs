/** Writes what was sent, answered and run to `record.txt`, with the time since the start in milliseconds. */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

export class Record {
  constructor (folder) {
    this.path = join(folder, 'record.txt')
    this.startMs = performance.now()
    this.lines = []
  }

  get atS () {
    return (performance.now() - this.startMs) / 1000
  }

  add (what, details = {}) {
    this.lines.push(`${Math.round(this.atS * 1000)} ${what} ${JSON.stringify(details)}`)
  }

  write () {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`)
  }
}
