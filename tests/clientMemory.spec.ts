import { PassThrough } from 'node:stream'
import { createServer } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { expect } from 'chai'
import { SystemClock, VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { readSettingsFile } from '../src/platform/settingsFile.js'
import { clientMemoryLimits } from '../src/policy/clientMemory.js'
import { ClientBody } from '../src/serving/clientBody.js'
import { ResponseWriter } from '../src/serving/clientExchange.js'
import { ClientMemory } from '../src/serving/clientMemory.js'
import { ServingMetrics } from '../src/serving/servingMetrics.js'
import { chunk, requestIdOf, responseTo, RequestProxyFixture, route, streamHead } from './fixtures/requestProxyFixture.js'
import { settingsText } from './soak/nodeProcess.js'

describe('client memory', () => {
  it('limits follow the machine and give way to settings', () => {
    // Guards against defaults that a single request inside the stated limits reaches on the smallest machine.
    const limits = clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 })
    expect(limits.heldBytes).to.be.above(2 * 4_194_304)
    expect(limits.connections * 64 * 1024 + limits.heldBytesWithSmall).to.be.below(110 * 1024 * 1024)
    expect(clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 1300 }).connections).to.equal(100)
    const { clientLimits } = readSettingsFile(`${settingsText('n', '127.0.0.1', '127.0.0.1:1')}[clients]\nheld_mb = 3\npipelined = 5\n`, 'f')
    expect(clientLimits).to.deep.equal({ heldBytes: 3 * 1024 * 1024, pipelinedRequests: 5 })
  })

  it('metrics show the peak of the resident memory, and buffers apart from the heap', async () => {
    // Guards against a peak between two scrapes that nothing shows, and buffers that are not counted and look like any other memory.
    const metrics = new ServingMetrics('n')
    const valueOf = async (name: string) => Number(new RegExp(`^teaselrill_${name}\\{.*\\} (\\S+)$`, 'm').exec(await metrics.text())?.[1])
    const [bufferBytes, buffer] = [await valueOf('buffer_memory_bytes'), Buffer.alloc(50_000_000, 'x')]
    expect(await valueOf('buffer_memory_bytes') - bufferBytes).to.be.within(40_000_000, 60_000_000)
    expect(await valueOf('resident_memory_peak_bytes')).to.be.at.least(buffer.length)
    expect(await valueOf('heap_memory_bytes')).to.be.within(1_000_000, await valueOf('resident_memory_peak_bytes'))
    metrics.stop()
  })

  it('stalled bodies make room, and only after a time without progress', async () => {
    // Guards against a body that keeps its share as long as its client wants, and against one that is given up while it comes.
    const clock = new VirtualClock(0)
    const memory = new ClientMemory({ clock, log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { heldBytes: 1_000_000 }) })
    const upload = { progressAtMs: 0, receivedAtMs: 0, deadlineAtMs: 0, heldBytes: 900_000, giveUp: () => { stop(); memory.budget.resize(900_000, 0) } }
    const stop = memory.watch(upload)
    expect(memory.budget.resize(0, 900_000)).to.equal(true)
    await clock.advance(900)
    expect(memory.budget.resize(0, 500_000), 'with progress').to.equal(false)
    expect(memory.budget.resize(0, 50_000), 'small').to.equal(true)
    await clock.advance(200)
    expect(memory.budget.resize(0, 500_000), 'stalled').to.equal(true)
    expect(memory.budget.bytes).to.equal(550_000)
  })

  it('only bodies that make enough room are given up, the largest first', async () => {
    // Guards against slow clients that lose their small bodies for a large request that finds no room even then.
    const clock = new VirtualClock(0)
    const memory = new ClientMemory({ clock, log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { heldBytes: 1_000_000 }) })
    const givenUp: number[] = []
    for (const heldBytes of [1000, 300_000, 2000]) {
      const stop = memory.watch({ progressAtMs: 0, receivedAtMs: 0, deadlineAtMs: 0, heldBytes, giveUp: () => { stop(); givenUp.push(heldBytes); memory.budget.resize(heldBytes, 0) } })
      memory.budget.resize(0, heldBytes)
    }
    memory.budget.resize(0, 600_000)
    await clock.advance(2000)
    expect(memory.budget.resize(0, 500_000)).to.equal(false)
    expect(givenUp).to.deep.equal([])
    expect(memory.budget.resize(0, 300_000)).to.equal(true)
    expect(givenUp).to.deep.equal([300_000])
  })

  it('a body that finds no room for its next bytes releases what it holds once', async () => {
    // Guards against a body that is given up to make room for itself: its bytes were released twice, and the count fell below zero.
    const clock = new VirtualClock(0)
    const memory = new ClientMemory({ clock, log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, { heldBytes: 1_000_000 }) })
    const request = Object.assign(new PassThrough(), { rawHeaders: [], url: '/', headers: {} })
    const body = new ClientBody(request as unknown as IncomingMessage, memory, { maxBytes: 4_000_000, deadlineAtMs: 60_000 })
    request.write(Buffer.alloc(400_000))
    await new Promise(resolve => setImmediate(resolve))
    memory.budget.resize(0, 500_000)
    await clock.advance(2000)
    request.write(Buffer.alloc(100_000))
    expect(await body.result).to.equal('no-room')
    body.release()
    expect(memory.budget.bytes).to.equal(500_000)
  })

  it('a body takes no more memory than is counted, up to the largest size', async () => {
    // Guards against buffers that grow beyond what is counted, and garbage of every growth, which let a crowd take twice what it may.
    const clock = new VirtualClock(0)
    const memory = new ClientMemory({ clock, log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }) })
    const request = Object.assign(new PassThrough(), { rawHeaders: [], url: '/', headers: {} })
    const body = new ClientBody(request as unknown as IncomingMessage, memory, { maxBytes: 4_194_304, deadlineAtMs: 60_000 })
    const beforeBytes = process.memoryUsage().arrayBuffers
    // As Node.js hands over what it has read in one go, without the lines of chunks.
    for (const bytes of [...Array.from({ length: 64 }, () => 65_473), 4000]) {
      request.write(Buffer.allocUnsafeSlow(bytes))
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(memory.budget.bytes).to.be.within(4_194_272, 4_400_000)
    request.end()
    const blocks = await body.result
    expect(process.memoryUsage().arrayBuffers - beforeBytes).to.be.below(1.25 * memory.budget.bytes)
    expect([...blocks].reduce((sum, { length }) => sum + length, 0)).to.equal(4_194_272)
    body.release()
    expect(memory.budget.bytes).to.equal(0)
  })

  it('a head of many short fields takes no more memory than is counted', () => {
    // Guards against the objects of fields, which take ten times the bytes of a head.
    const memory = new ClientMemory({ clock: new VirtualClock(0), log: silentLog })
    const rawHeaders = Array.from({ length: 930 }, () => ['ab', 'c']).flat()
    const body = new ClientBody(Object.assign(new PassThrough(), { rawHeaders, url: '/', headers: {} }) as unknown as IncomingMessage, memory, { maxBytes: 0, deadlineAtMs: 60_000 })
    // Measured with such heads, their text included (Node.js 20).
    expect(memory.budget.bytes).to.be.above(930 * 100)
    body.release()
    expect(memory.budget.bytes).to.equal(0)
  })

  it('a body may come slowly until the deadline of its request', async () => {
    // Guards against 408 for a small body that is still arriving in time, and against one in single bytes that stays for ever.
    const clock = new VirtualClock(0)
    const memory = new ClientMemory({ clock, log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }) })
    const bodyWith = (deadlineAtMs: number) => {
      const request = Object.assign(new PassThrough(), { rawHeaders: [], url: '/', headers: {} })
      return { request, body: new ClientBody(request as unknown as IncomingMessage, memory, { maxBytes: 4_000_000, deadlineAtMs }) }
    }
    const [inTime, late, silent] = [bodyWith(60_000), bodyWith(15_000), bodyWith(60_000)]
    for (let second = 0; second < 20; second++) {
      for (const { request } of [inTime, late]) request.write('x')
      await new Promise(resolve => setImmediate(resolve))
      await clock.advance(1000)
    }
    expect(await late.body.result, 'past its deadline').to.equal('stalled')
    expect(await silent.body.result, 'without a byte').to.equal('stalled')
    inTime.request.end('x')
    expect(String(await inTime.body.result)).to.equal('x'.repeat(21))
  })

  it('a stream whose client reads nothing is broken off beyond the budget', async () => {
    // Guards against memory for a client that reads nothing, and against a repeat of its request.
    const fixture = new RequestProxyFixture()
    await fixture.start([route({ kind: 'stream', resumable: true, timeoutMs: 10_000 })])
    await fixture.addServer('a', (socket, head) => {
      socket.write(streamHead(head, 'Transfer-Encoding: chunked\r\n'))
      let id = 0
      const timer = setInterval(() => { for (let count = 0; count < 20; count++) socket.write(chunk(`id: ${++id}\ndata: ${'x'.repeat(50_000)}\n\n`)) }, 2)
      socket.once('close', () => clearInterval(timer))
    })
    const { socket } = fixture.connect()
    socket.pause()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 1\r\n\r\nx')
    while (fixture.records.length === 0) await new Promise(resolve => setTimeout(resolve, 10))
    expect(fixture.records[0]).to.include({ outcome: 'client-left', attempts: 1 })
    while (fixture.fleet.buffered.bytes > 0) await new Promise(resolve => setTimeout(resolve, 10))
    fixture.stop()
  })

  it('a response without room does not count as a failure of its server', async () => {
    // Guards against nodes that avoid sound servers because their own memory is used up.
    const fixture = new RequestProxyFixture()
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'x'.repeat(100_000))) })
    fixture.fleet.buffered.resize(0, 16 * 1024 * 1024)
    expect(await fixture.send('id1')).to.include({ status: 502 })
    expect(fixture.records[0]!.outcome).to.equal('unknown')
    expect(fixture.fleet.servers.get('a')!.collectOutcomes()).to.include({ failed: 0 })
    fixture.stop()
  })

  it('a response head without room does not count as a failure of its server, and causes no retry', async () => {
    // Guards against nodes that avoid sound servers, and use up their retries, because their own memory is used up.
    const parts = ['HTTP/1.1 200 OK\r\nX-Long: xxx', `${streamHead('', 'Transfer-Encoding: chunked\r\n')}${chunk('id: 1\ndata: xxx')}`]
    for (const part of parts) {
      const fixture = new RequestProxyFixture()
      await fixture.start([route({ kind: 'stream', resumable: true })])
      const fill = () => { for (const bytes of [65_536, 1024, 1]) while (fixture.fleet.buffered.resize(0, bytes)); }
      const script = (socket: Socket, head: string) => {
        fill()
        socket.write(part.replace('X-Attempt-Id: ', `X-Attempt-Id: ${requestIdOf(head)}`))
      }
      await fixture.addServer('a', script)
      await fixture.addServer('b', script)
      expect(await fixture.send('id1')).to.include({ status: 502 })
      expect(fixture.records[0]).to.include({ outcome: 'unknown', attempts: 1 })
      expect(['a', 'b'].map(id => fixture.fleet.servers.get(id)!.collectOutcomes().failed)).to.deep.equal([0, 0])
      fixture.stop()
    }
  })

  for (const [name, clients, replaced] of [['a refusal', 1, { lingerBytes: 256 * 1024 }], ['all refusals', 8, { lingerAllBytes: 256 * 1024 }]] as const) {
    it(`what is read on after ${name} has a limit, and each client gets its refusal`, async () => {
      // Guards against bytes of refused bodies that are discarded without a limit, for one client or for a crowd.
      const memory = new ClientMemory({ clock: new SystemClock(), log: silentLog, limits: clientMemoryLimits({ memoryMb: 250, maxFileDescriptors: 4100 }, replaced) })
      const refused: IncomingMessage[] = []
      const server = createServer((request, response) => {
        refused.push(request.pause())
        new ResponseWriter(request, response, memory).sendError(413, 'the request body is too large')
      })
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const statuses = await Promise.all(Array.from({ length: clients }, () => new Promise<string>(resolve => {
        const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
        socket.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n')
        socket.write(Buffer.alloc(2_000_000))
        socket.on('error', () => {})
        socket.once('data', data => resolve(String(data).slice(9, 12)))
      })))
      await new Promise(resolve => setTimeout(resolve, 300))
      expect(statuses).to.deep.equal(statuses.map(() => '413'))
      // What was read before a connection was paused comes on top: up to 64 KiB at a time.
      expect(refused.reduce((sum, { socket }) => sum + socket.bytesRead, 0)).to.be.below(256 * 1024 + clients * 3 * 64 * 1024)
      server.close()
      server.closeAllConnections()
    })
  }

  it('a refusal keeps the connection of a request that has arrived whole', async () => {
    // Guards against pipelined requests that are lost, and connections that are opened anew, after a request that matches no route.
    const fixture = new RequestProxyFixture()
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => { socket.write(responseTo(requestIdOf(head), 'ok')) })
    const { socket, text } = fixture.connect()
    const request = (host: string) => `POST / HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: id1\r\nContent-Length: 1\r\n\r\nx`
    socket.write(request('unknown') + request('h'))
    await new Promise(resolve => {
      socket.once('end', resolve)
      socket.on('data', () => { if (text().includes('200 OK')) resolve(undefined) })
    })
    expect(text()).to.match(/^HTTP\/1.1 404 .*HTTP\/1.1 200 OK/s)
    fixture.stop()
  })

  it('a connection with too many requests in progress is closed', async () => {
    // Guards against requests that wait for an earlier response, without a limit.
    const fixture = new RequestProxyFixture()
    await fixture.start([route()])
    await fixture.addServer('a', (socket, head) => setTimeout(() => socket.write(responseTo(requestIdOf(head), 'ok')), 300))
    const { socket, text } = fixture.connect()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id1\r\nContent-Length: 1\r\n\r\nx'.repeat(40))
    await new Promise(resolve => socket.once('end', resolve))
    expect(text()).to.equal('')
    expect(fixture.received.length).to.be.below(2)
    fixture.stop()
  })
})
