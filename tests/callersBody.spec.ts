import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { join } from 'node:path'
import { expect } from 'chai'

const program = join(import.meta.dirname, 'fixtures/smallCallersServer.js')
const bodyBytes = 4 * 2 ** 20
const chunksAtOnce = 65_536

describe('callers body', function () {
  this.timeout(60_000)

  it('the largest body in chunks of one byte is answered with a heap of 200 MB', async () => {
    // Guards against an object for each chunk until the body is complete, which ended the process for one caller inside the limit.
    const child = spawn(process.execPath, ['--max-old-space-size=200', program], { stdio: ['ignore', 'pipe', 'ignore'] })
    const [port] = await once(child.stdout, 'data') as [Buffer]
    let text = ''
    const socket = connect(Number(String(port)), '127.0.0.1').on('error', () => {}).on('data', data => { text += String(data) })
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n')
    const block = Buffer.from('1\r\nx\r\n'.repeat(chunksAtOnce))
    for (let sent = 0; sent < bodyBytes && !socket.destroyed; sent += chunksAtOnce) {
      await new Promise(resolve => { socket.write(block, resolve) })
    }
    socket.write('0\r\n\r\n')
    if (!socket.closed) await once(socket, 'close')
    child.kill('SIGKILL')
    expect(text).to.match(new RegExp(`^HTTP/1.1 200 [^]*\\r\\n\\r\\n${bodyBytes}$`))
  })
})
