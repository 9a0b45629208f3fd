/** The link to one server, as a TCP relay on loopback. While it is cut, what either side sends is held up, also the end of a connection. */

import { connect, createServer } from 'node:net'

export class Link {
  #held = []
  #isCut = false
  #sockets = new Set()
  #server = createServer({ allowHalfOpen: true }, client => this.#accept(client))

  constructor (targetPort) {
    this.targetPort = targetPort
  }

  async listen () {
    await new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.port = this.#server.address().port
  }

  cut () {
    this.#isCut = true
  }

  /** Delivers what was held up, in order. */
  heal () {
    this.#isCut = false
    for (const deliver of this.#held.splice(0)) deliver()
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #pass (deliver) {
    if (this.#isCut) this.#held.push(deliver)
    else deliver()
  }

  #accept (client) {
    this.#sockets.add(client)
    client.on('error', () => {})
    this.#pass(() => this.#open(client))
  }

  #open (client) {
    const server = connect({ port: this.targetPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    this.#sockets.add(server)
    client.setNoDelay(true)
    for (const [from, to] of [[client, server], [server, client]]) {
      from.on('data', data => this.#pass(() => { if (to.writable) to.write(data) }))
      from.on('end', () => this.#pass(() => { if (to.writable) to.end() }))
      from.on('error', () => this.#pass(() => to.resetAndDestroy()))
      from.on('close', () => this.#sockets.delete(from))
    }
  }
}
