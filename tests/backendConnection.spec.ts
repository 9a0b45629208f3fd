import { expect } from 'chai'
import { SystemClock } from '../src/base/clock.js'
import { ConnectionPool } from '../src/serving/connectionPool.js'
import { responseTo, RequestProxyFixture } from './fixtures/requestProxyFixture.js'

describe('backend connection', () => {
  it('reads the next response although the previous client was slow at the end', async () => {
    // Guards against a pooled connection on which reading stays paused.
    const fixture = new RequestProxyFixture()
    await fixture.addServer('a', socket => { socket.write(responseTo('x', 'ok')) })
    const pool = new ConnectionPool({ address: fixture.fleet.servers.get('a')!.entry.address, clock: new SystemClock() })
    const send = (isSlow: boolean) => new Promise<string>(resolve => {
      const connection = pool.acquire()
      let text = ''
      connection.send('GET', Buffer.from('GET / HTTP/1.1\r\n\r\n'), {
        accepts: () => true,
        onHead: () => {},
        onData: data => {
          text += data.toString()
          if (isSlow) connection.pause()
        },
        onEnd: () => resolve(text),
        onFailure: ({ reason }) => resolve(reason)
      })
      setTimeout(() => resolve('no response'), 500)
    })
    expect(await send(true)).to.equal('ok')
    expect(pool.hasIdle).to.equal(true)
    expect(await send(false)).to.equal('ok')
    expect(pool.openCount).to.equal(1)
    fixture.stop()
  })
})
