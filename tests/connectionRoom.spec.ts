import { expect } from 'chai'
import { connectionToClose } from '../src/policy/connectionRoom.js'
import type { ConnectionUse } from '../src/policy/connectionRoom.js'

const use = (connection: string, state: ConnectionUse<string>['state'], waitsSinceMs?: number): ConnectionUse<string> => ({ connection, state, waitsSinceMs })
const closed = (...uses: ConnectionUse<string>[]) => connectionToClose(uses)?.connection

describe('connection room', () => {
  it('is made by the connection that has waited longest', () => {
    // Guards against connections that keep all others out: unused ones, and parts of requests that stop short of their end.
    expect(closed(use('new', 'unused', 9), use('old', 'unused', 5))).to.equal('old')
    expect(closed(use('served', 'active'), use('later head', 'active', 6), use('body', 'active', 5), use('new', 'unused', 9))).to.equal('body')
  })

  it('is made by an idle connection rather than by a part of a request or a new connection', () => {
    // Guards against an upload that is broken off, and a connection that is closed before it is read, while others do nothing.
    expect(closed(use('body', 'active', 1), use('idle', 'idle', 8), use('new', 'unused', 9))).to.equal('idle')
    expect(closed(use('idle', 'idle', 8), use('old', 'unused', 5))).to.equal('old')
  })

  it('is not made by a request that is being served', () => {
    // Guards against answers that are taken from their clients.
    expect(closed(use('served', 'active'))).to.equal(undefined)
  })
})
