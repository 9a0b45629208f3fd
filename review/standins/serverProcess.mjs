/** Starts, kills and registers the servers that run as processes of their own. */

import { fork } from 'node:child_process'
import { join } from 'node:path'
import { Link } from './link.mjs'
import { freePort, note } from './platform.mjs'

const beatMs = 1200

export class ServerProcess {
  /** Times at which it began to run each request. */
  runs = new Map()

  /** With `hasLink`, the nodes reach the server through a link that can be cut. */
  constructor ({ id, service, slots, store, settings, hasLink = false }) {
    Object.assign(this, { id, service, slots, store, settings, hasLink })
  }

  async start () {
    this.port ??= await freePort()
    if (this.hasLink && !this.link) {
      this.link = new Link(this.port)
      await this.link.listen()
    }
    this.child = fork(join(import.meta.dirname, 'unframedServer.mjs'), [JSON.stringify({ id: this.id, port: this.port, ...this.settings })])
    await new Promise((resolve, reject) => {
      this.child.once('error', reject)
      this.child.once('exit', () => reject(new Error(`${this.id} did not start`)))
      this.child.on('message', message => {
        if (message.listening) resolve()
        else this.runs.set(message.run, { atMs: performance.now(), from: message.from })
      })
    })
    this.born = Date.now()
    this.report()
    this.timer = setInterval(() => this.report(), beatMs)
  }

  report () {
    this.seq = (this.seq ?? 0) + 1
    const { models } = this.settings
    this.store.put(`servers/${this.id}`, {
      service: this.service, address: `127.0.0.1:${this.link?.port ?? this.port}`, zone: 'z1', version: 1, slots: this.slots, state: 'ready', cold_left_ms: 0, seq: this.seq, born: this.born, ...(models ? { stage: 'combined', models: models.map(name => ({ name, version: 1, adapters: [] })) } : {})
    })
  }

  /** Ends the process with SIGKILL. It sends nothing from now on. */
  kill () {
    note(`${this.id}: SIGKILL`)
    clearInterval(this.timer)
    this.child.kill('SIGKILL')
    this.seq = 0
  }

  end () {
    clearInterval(this.timer)
    this.child?.kill('SIGKILL')
    this.link?.close()
  }
}
