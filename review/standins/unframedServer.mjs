/**
 * A server as a process of its own, whose answers have neither a length nor chunks and end with their connection, as PROTOCOL.md and
 * the added terms allow. Its settings come as JSON in the first argument; it reports to its parent what it runs.
 */

import { createServer } from 'node:net'

const { id, port, events = 0, eventMs = 0, bodyBytes = 0, workMs = 0, models = [] } = JSON.parse(process.argv[2])
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

const server = createServer(socket => {
  let text = ''
  socket.on('error', () => {})
  socket.on('data', data => {
    text += data.toString('latin1')
    const headEnd = text.indexOf('\r\n\r\n')
    if (headEnd === -1) return
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0)
    if (text.length < headEnd + 4 + length) return
    const head = text.slice(0, headEnd)
    text = ''
    answer(socket, head)
  })
})

async function answer (socket, head) {
  const [method, path] = head.split(' ')
  const valueOf = name => new RegExp(`\r\n${name}: *([^\r]*)`, 'i').exec(head)?.[1]
  const attempt = valueOf('x-attempt-id')
  if (path === '/report') return framed(socket, 200, '', JSON.stringify({ stage: 'combined', models: models.map(name => ({ name, version: 1, adapters: [] })), busy: false, seq: 0, queued: 0, active: 0, kv_used: 0, kv_total: 90_000, handles: 0 }))
  const expected = valueOf('x-expect-instance')
  if (expected !== undefined && expected !== id) return framed(socket, 421, `X-Not-Executed: 1\r\nX-Attempt-Id: ${attempt}\r\n`, '{}')
  if (attempt === undefined) return framed(socket, 400, 'X-Not-Executed: 1\r\n', '{}')
  process.send?.({ run: attempt, method, path, from: Number(valueOf('last-event-id') ?? 0) })
  const isStream = events > 0
  await sleep(workMs)
  socket.write(`HTTP/1.1 200 OK\r\nContent-Type: ${isStream ? 'text/event-stream' : 'application/octet-stream'}\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Stamp: stamp-${id}\r\nConnection: close\r\n\r\n`)
  if (isStream) {
    for (let event = Number(valueOf('last-event-id') ?? 0) + 1; event <= events && !socket.destroyed; event++) {
      socket.write(`id: ${event}\ndata: ${attempt}.${event}\n\n`)
      await sleep(eventMs)
    }
  } else socket.write(Buffer.alloc(bodyBytes, `${attempt} `))
  socket.end()
}

function framed (socket, status, headers, body) {
  socket.write(`HTTP/1.1 ${status} Answer\r\nContent-Type: application/json\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`)
}

server.listen(port, '127.0.0.1', () => process.send?.({ listening: true }))
