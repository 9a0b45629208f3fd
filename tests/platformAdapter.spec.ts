import { expect } from 'chai'
import { FindingsError } from '../src/base/findings.js'
import { codecs } from '../src/platform/httpCodecs.js'
import { readSettingsFile } from '../src/platform/settingsFile.js'
import { readBackend, readDeployment, readReport } from '../src/platform/wireSchemas.js'
import type { ResponseHead } from '../src/serving/responseReader.js'

const settingsText = `
node = "front-a-1"
ip = "10.1.0.38"
zone = "a"
region = "r"
port_range = [7380,7395]
unknown = 1
[zones]
a = "r"
[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
[bounds]
drain_ms = 2500
fence_required = true
[platform]
address = "10.200.1.7:8142"
`

function head (status: number, rawHeaders: string[]): ResponseHead {
  const headers = new Map<string, string>()
  for (let index = 0; index < rawHeaders.length; index += 2) headers.set(rawHeaders[index]!.toLowerCase(), rawHeaders[index + 1]!)
  return { status, statusText: '', rawHeaders, headers, keepsAlive: true, endsWithConnection: false, isChunked: false, isBodiless: false }
}

describe('platform adapter', () => {
  // Guards against entries of other writers that are accepted and then fail every request.
  it('takes no backend entry whose address or ID cannot be used', () => {
    const entry = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready' }
    const read = (changes: object, id = 'i-1') => readBackend(id, JSON.stringify({ ...entry, ...changes })) instanceof Error
    expect(read({})).to.equal(false)
    for (const address of ['10.0.0.1:99999', '10.0.0.1:0', '999.0.0.1:80', '10.0.0.1:080000', '10.0.0.1']) expect(read({ address }), address).to.equal(true)
    for (const id of ['', 'i\r\nX-Hold: 1', 'i 1', 'i\u00e9', 'x'.repeat(201)]) expect(read({}, id), JSON.stringify(id)).to.equal(true)
    expect(read({ version: { odd: 1 } })).to.equal(false)
  })

  it('reads the settings file and ignores unknown keys', () => {
    const settings = readSettingsFile(settingsText, 'settings.toml')
    expect(settings).to.deep.include({ node: 'front-a-1', clientsAddress: '10.1.0.38:8149', peersPort: 7380, enginesCheckFences: true, shutdownTimeoutMs: 8000 })
  })

  it('reports all errors of a settings file together', () => {
    try {
      readSettingsFile(settingsText.replace('node = "front-a-1"', 'node = 7').replace('"10.200.1.7:8142"', '"nowhere"'), 'settings.toml')
      expect.fail('no error was thrown')
    } catch (error) {
      expect(error).to.be.instanceOf(FindingsError)
      expect((error as FindingsError).findings.map(({ key }) => key)).to.have.members(['node', 'platform.address'])
    }
  })

  it('reports the line of a syntax error', () => {
    try {
      readSettingsFile('node = "a"\n[bounds\n', 'settings.toml')
      expect.fail('no error was thrown')
    } catch (error) {
      expect((error as FindingsError).findings[0]).to.include({ file: 'settings.toml', line: 2 })
    }
  })

  it('decodes a deployment into the types of the serving node', () => {
    const deployment = readDeployment(JSON.stringify({
      version: 7,
      routes: [
        { name: 'r1', host: 'h', path_prefix: '/a/', kind: 'streaming', timeout_ms: 15000, goal_ms: 500, priority: 0, split: [{ service: 's1', weight: 90 }, { service: 's2', weight: 10 }], max_attempts: 2, resumable: true, gap_target_ms: 300 },
        { name: 'r2', host: 'h', path_prefix: '/b/', kind: 'safe', timeout_ms: 1000, service: 's2' }
      ],
      services: [
        { name: 's1', max_conns: 370, engine: { slots: 64, kv_capacity: 1000, weights_mb: 230000, adapter_slots: 8, loads_per_s: 1.2, models: [{ name: 'm', weights_mb: 72700, load_s: 2.4, warm_s: 1.2, disk_s: 1.6, adapter_mb: 66 }] } },
        { name: 's2', max_conns: 110 }
      ],
      limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    }))
    if (deployment instanceof Error) throw deployment
    expect(deployment.routes[0]).to.deep.include({ kind: 'stream', objectiveMs: 500, rank: 0, maxAttempts: 2, resumable: true, targets: [{ service: 's1', weight: 90 }, { service: 's2', weight: 10 }] })
    expect(deployment.routes[1]).to.deep.include({ kind: 'idempotent', maxAttempts: 1, resumable: false, targets: [{ service: 's2', weight: 1 }] })
    expect(deployment.services[0]!.engine!.models[0]).to.deep.equal({ name: 'm', weightsMb: 72700, loadMs: 2400, warmLoadMs: 1200, diskLoadMs: 1600, adapterMb: 66 })
  })

  it('decodes how long an engine lets a slot be reserved', () => {
    // Failure: the time is read into a field that the serving node does not use, and no slot is ever reserved.
    const engine = { slots: 64, kv_capacity: 1000, weights_mb: 230000, models: [] }
    const deployment = readDeployment(JSON.stringify({
      version: 7,
      routes: [],
      services: [{ name: 's1', max_conns: 370, engine: { ...engine, hold_ms: 2000 } }, { name: 's2', max_conns: 110, engine }],
      limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
    }))
    if (deployment instanceof Error) throw deployment
    expect(deployment.services.map(service => service.engine!.maxReservationMs)).to.deep.equal([2000, undefined])
  })

  it('rejects backend server entries of an unknown format', () => {
    const entry = { service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, state: 'ready', seq: 3, born: 5 }
    expect(readBackend('i', JSON.stringify(entry))).to.deep.include({ id: 'i', isDraining: false, bornAtMs: 5 })
    for (const broken of [{ ...entry, state: 'odd' }, { ...entry, address: 7 }, { ...entry, slots: '4' }, { ...entry, service: undefined }]) {
      expect(readBackend('i', JSON.stringify(broken))).to.be.instanceOf(Error)
    }
    expect(readBackend('i', '\u0000\u0001')).to.be.instanceOf(Error)
  })

  it('does not read the write count of an entry as a command count', () => {
    // Guards against commands with an expected count that engines do not use: every command would be rejected.
    expect(readReport('{"models":[],"busy":true,"seq":2}')).to.include({ orderCount: 2, isBusy: true })
    expect(readBackend('i', JSON.stringify({ service: 's', address: '10.0.0.1:80', zone: 'a', slots: 4, state: 'ready', seq: 9 }))).not.to.have.property('orderCount')
  })

  it('replaces the headers reserved for the system', () => {
    const headers = codecs.forwardHeaders(
      ['Host', 'h', 'X-Attempt-Id', 'id', 'X-Deadline-Ms', '9000', 'X-Hold', '1', 'Kv-From', 'x', 'X-Pin-Ms', '5', 'Connection', 'close, X-Private', 'Transfer-Encoding', 'chunked', 'X-Model', 'm'],
      { backendId: 'i-1', deadlineMs: 812.7, rank: 1, lastEventId: undefined })
    expect(headers).to.deep.equal(['Host', 'h', 'X-Attempt-Id', 'id', 'X-Model', 'm', 'X-Deadline-Ms', '812', 'X-Expect-Instance', 'i-1', 'X-Request-Urgency', '1'])
  })

  it('resumes after the last forwarded event', () => {
    const headers = codecs.forwardHeaders(['Last-Event-Id', '3'], { backendId: 'i', deadlineMs: 100, rank: undefined, lastEventId: 12n })
    expect(headers.join(' ')).to.include('Last-Event-Id 12').and.not.to.include('Last-Event-Id 3')
  })

  it('reads the metadata of a request', () => {
    const metadata = codecs.readRequest({ 'x-attempt-id': 'a', 'x-deadline-ms': '15000', 'x-model': 'm/a3', 'x-token-count': '1460,80', 'x-prompt-prefix': '5c:800,91:410,e4:250' })
    expect(metadata.sharedParts).to.deep.equal([{ id: '5c', tokens: 800 }, { id: '91', tokens: 410 }])
    expect(metadata).to.include({ requestId: 'a', deadlineMs: 15000, model: 'm', adapter: 'a3', promptTokens: 1460, outputTokens: 80 })
    expect(codecs.readRequest({ 'x-deadline-ms': 'soon' }).deadlineMs).to.equal(undefined)
  })

  it('estimates no more output than the client accepts', () => {
    // Guards against an engine whose memory counts as taken for as long as a client's estimate is wrong.
    const tokensOf = (hint: string, count: string) => codecs.readRequest({ 'x-length-hint': hint, 'x-token-count': count }).outputTokens
    expect([tokensOf('40', '100,80'), tokensOf('999999999999999', '100,80'), tokensOf('40', '100'), tokensOf('', '100,80'), tokensOf('', '')]).to.deep.equal([40, 80, 40, 80, 0])
  })

  it('takes no ID of a reservation that a header cannot hold', () => {
    // Guards against an engine whose text is sent on as further headers.
    expect(codecs.readReservation('{"hold": "h-1"}')).to.equal('h-1')
    expect(codecs.readReservation('{"hold": 7}')).to.equal('7')
    for (const hold of ['a\r\nX-Tenant: other', 'a b', '', 'x'.repeat(201), '\ud800']) expect(codecs.readReservation(JSON.stringify({ hold }))).to.be.instanceOf(Error)
  })

  // Guards against keys that reach backend servers, and against clients that name an account themselves.
  it('keeps the key of a request apart and states the account itself', () => {
    expect(codecs.readRequest({ 'x-api-key': 'k1' }).key).to.equal('k1')
    expect(codecs.readRequest({ 'x-api-key': '' }).key).to.equal(undefined)
    const rawHeaders = codecs.withoutAccount(['X-API-Key', 'k1', 'Accept', 'x-api-key', 'x-tenant', 'other', 'X-TENANT', 'third'])
    expect(rawHeaders).to.deep.equal(['Accept', 'x-api-key'])
    const options = { backendId: 'i', deadlineMs: 100, rank: undefined, lastEventId: undefined }
    expect(codecs.forwardHeaders(rawHeaders, { ...options, account: 'a' }).join(' ')).to.include('X-Tenant a')
    expect(codecs.forwardHeaders(rawHeaders, options).join(' ')).not.to.include('X-Tenant')
    const content = (key: string) => codecs.contentOf({ method: 'GET', path: '/', headers: { 'x-api-key': key, 'x-tenant': key } })
    expect(content('k1')).to.equal(content('k2'))
  })

  // Guards against keys in the log line of a configuration that cannot be read.
  it('names no content of a configuration that is not JSON', () => {
    const error = codecs.readDeployment('{"tenants": [{"name": "a", "keys": ["secret-key", oops]}]}')
    expect(error).to.be.instanceOf(Error)
    expect((error as Error).message).to.include('not valid JSON').and.not.to.match(/secret|key|oops/)
  })

  it('detects from a response whether the request ran', () => {
    expect(codecs.readResponse(head(503, ['X-Not-Executed', '1']))).to.include({ isNotRun: true, isMisdirected: false })
    expect(codecs.readResponse(head(421, []))).to.include({ isNotRun: true, isMisdirected: true })
    expect(codecs.readResponse(head(503, []))).to.include({ isNotRun: false })
    expect(codecs.readResponse(head(200, ['X-Server-Stamp', 's', 'X-Attempt-Id', 'a']))).to.include({ isSigned: true, requestId: 'a' })
  })
})
