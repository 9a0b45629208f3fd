import { expect } from 'chai'
import fc from 'fast-check'
import { VirtualClock } from '../src/base/clock.js'
import { silentLog } from '../src/base/log.js'
import { SeededRandom } from '../src/base/random.js'
import { markerRenewalMs, SoftwareMarkers } from '../src/policy/softwareMarkers.js'
import { continueByMarkers, continueByRecord } from '../src/policy/streamContinuation.js'
import { StreamOrigins } from '../src/policy/streamOrigins.js'
import { SoftwareMarkerWriter } from '../src/serving/softwareMarkerWriter.js'
import { packRows, StreamKeys, streamDigest, unpackRows } from '../src/serving/streamKeys.js'
import { MemoryStore, StoreState } from './fixtures/coordinationStore.js'

const word = fc.constantFrom('', 'v1', 'v1.1', '?', '%', 'a/b', '100%')

describe('software versions of streams', () => {
  // Guards against records that are lost before they are in the store, also when there are more than the table keeps of the others.
  it('keeps unwritten records until their time ends', () => {
    const origins = new StreamOrigins()
    for (let index = 0; index < 30_000; index++) origins.record({ service: 's', version: 'v1', digest: `w${index}` }, 1000)
    origins.onWritten(origins.unwrittenRows(() => true, () => true, Infinity))
    for (let index = 0; index < 30_000; index++) origins.record({ service: 's', version: 'v1', digest: `u${index}` }, 1000)
    expect([origins.unwrittenCount, origins.size]).to.deep.equal([30_000, 50_000])
    origins.sweep(1000)
    expect(origins.size).to.equal(0)
  })

  // Guards against a renewed record that counts as written by the acknowledgement of its earlier one.
  it('writes a renewed record again, and all of them after the store lost some', () => {
    const origins = new StreamOrigins()
    const rows = () => origins.unwrittenRows(() => true, () => true, 10)
    origins.record({ service: 's', version: 'v1', digest: 'a' }, 1000)
    const sent = rows()
    origins.record({ service: 's', version: 'v1', digest: 'a' }, 2000)
    origins.onWritten(sent)
    expect(rows()).to.have.length(1)
    origins.onWritten(rows())
    expect(rows()).to.have.length(0)
    origins.onStoreLoss()
    expect(rows()).to.have.length(1)
  })

  // Guards against an ID used for streams of two versions, of which the later one hides the earlier.
  it('knows no version of an ID that stands for two', () => {
    const origins = new StreamOrigins()
    for (const version of ['v1', 'v2', 'v2']) origins.record({ service: 's', version, digest: 'a' }, 1000)
    expect(origins.find('s', 'a')).to.deep.equal({ service: 's', version: undefined, endsAtMs: 1000 })
    expect(continueByRecord(origins.find('s', 'a')?.version)).to.deep.equal({ kind: 'refused', reason: 'ambiguous-stream' })
  })

  // Guards against a version that is taken for another one because of how its name is written into a key, and against client text in keys.
  it('reads from keys and records what was written', () => {
    const keys = new StreamKeys('own/')
    fc.assert(fc.property(word.filter(service => service !== ''), fc.option(word, { nil: undefined }), fc.nat(99), (service, version, era) => {
      expect(keys.readMarker(keys.markerKey({ service, version }), String(era))).to.deep.equal({ service, version, era })
    }))
    expect(keys.readMarker(keys.markerKey({ service: 's', version: '\ud800' }), '1')).to.deep.equal({ service: 's', version: '\ufffd', era: 1 })
    const rows = ['v1', 'v2', 'v1'].map((version, index) => ({ service: 's', version, digest: streamDigest('s', 'account', `id/${index}`) }))
    expect(unpackRows(packRows(rows))).to.have.deep.members(rows)
    expect(streamDigest('s', 'other', 'id/0')).to.not.equal(rows[0]!.digest)
  })

  // Guards against a marker from before a return of the store, or one of an unknown version, that decides for all streams.
  it('takes a single marker of the current era for the version of all streams', () => {
    const marker = { service: 's', version: 'v1', era: 3 }
    expect(continueByMarkers([marker], 3)).to.deep.equal({ kind: 'version', version: 'v1', by: 'only-marker' })
    for (const markers of [[], [{ ...marker, era: 2 }], [{ ...marker, version: undefined }], [marker, { ...marker, version: undefined }], [marker, { ...marker, version: 'v2' }]]) {
      expect(continueByMarkers(markers, 3)).to.equal(undefined)
    }
  })

  // Guards against streams that begin while nothing in the store says so, and against markers of others that are forgotten with a return.
  it('lets streams begin under a marker of this era, and announces what may have been lost', () => {
    const clock = new VirtualClock()
    const viewAgeMs = 0
    const markersOf = (isFirstStart: boolean) => new SoftwareMarkers({ clock, isFirstStart, viewAgeMs: () => viewAgeMs, versionsOf: () => new Set() })
    for (const isFirstStart of [true, false]) {
      const markers = markersOf(isFirstStart)
      expect(markers.dueWrite('s', 'v1', { isLeader: true }), 'before the store is known').to.equal(undefined)
      markers.onList([], 1)
      expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.deep.equal({ withUnknown: !isFirstStart })
      expect(markers.mayBegin('s', 'v1')).to.equal(false)
      markers.onWritten({ service: 's', version: 'v1', era: 1 })
      expect([markers.mayBegin('s', 'v1'), markers.mayBegin('s', 'v2'), markers.isShared('s')]).to.deep.equal([true, false, false])
      expect(markers.onList([{ service: 's', version: 'v1', era: 1 }], 2)).to.equal(true)
      expect(markers.mayBegin('s', 'v1')).to.equal(false)
      expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.deep.equal({ withUnknown: true })
    }
  })

  it('renews markers at the leader, and not without a view of the store', async () => {
    // Guards against a marker that has ended during an outage and is written as if it had not.
    const clock = new VirtualClock()
    let viewAgeMs = 0
    const markers = new SoftwareMarkers({ clock, isFirstStart: true, viewAgeMs: () => viewAgeMs, versionsOf: () => new Set(['v1', 'v2']) })
    markers.onList([{ service: 's', version: 'v1', era: 0 }], 0)
    await clock.advance(markerRenewalMs)
    expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.deep.equal({ withUnknown: false })
    expect(markers.dueWrite('s', 'v1', { isLeader: false })).to.equal(undefined)
    await clock.advance(20_000)
    viewAgeMs = 20_000
    expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.equal(undefined)
    // A marker that was written right before the view ended may be lost with a return of the store; one that was seen for a minute is in every copy.
    markers.onWritten({ service: 's', version: 'v2', era: 0 })
    expect([markers.mayBegin('s', 'v1'), markers.mayBegin('s', 'v2')]).to.deep.equal([true, false])
  })

  // Guards against a node that is cut off for a minute and then begins streams under a marker that the store lost right after the cut.
  it('does not take a young marker for an old one because time passes without a view of the store', async () => {
    const clock = new VirtualClock()
    let viewAgeMs = 0
    const markers = new SoftwareMarkers({ clock, isFirstStart: true, viewAgeMs: () => viewAgeMs, versionsOf: () => new Set(['v1', 'v2']) })
    markers.onList([{ service: 's', version: 'v1', era: 0 }, { service: 's', version: 'v2', era: 0 }], 0)
    await clock.advance(5000)
    for (let cutMs = 15_000; cutMs <= 180_000; cutMs += 5000) {
      viewAgeMs = cutMs
      await clock.advance(cutMs === 15_000 ? 15_000 : 5000)
      expect(markers.mayBegin('s', 'v2'), `${cutMs} ms after the cut`).to.equal(false)
    }
  })

  // Guards against a marker of the current era without that of unknown versions, which would then tell the version of all streams.
  for (const [name, listed] of [['a renewal', [{ service: 's', version: 'v1', era: 0 }]], ['the first write', []]] as const) {
    it(`does not write a marker by what was listed before the store came back from a copy: ${name}`, async () => {
      const clock = new VirtualClock()
      const state = new StoreState(clock)
      const keys = new StreamKeys('own/')
      const markers = new SoftwareMarkers({ clock, isFirstStart: true, viewAgeMs: () => 0, versionsOf: () => new Set(['v1']) })
      const writer = new SoftwareMarkerWriter({
        store: new MemoryStore(state), clock, random: new SeededRandom(1), log: silentLog, keys, markers, nodeCount: () => 1, isLeader: () => true, recordLifetimeMs: () => 30_000
      })
      markers.onList(listed, 0)
      await clock.advance(markerRenewalMs)
      // What another node wrote since the copy is lost: the marker of v2.
      state.restore(state.copy())
      writer.check('s', 'v1')
      await clock.advance(100)
      expect([...state.items.keys()]).to.deep.equal([])
      markers.onList([], 1)
      await clock.advance(1000)
      writer.check('s', 'v1')
      await clock.advance(100)
      expect([...state.items.keys()]).to.deep.equal(['own/software/s/v1', 'own/software/s/?'])
    })
  }

  // Guards against a marker that ends under live streams because each list of the store counts as its renewal.
  it('renews a marker that was only listed, however often the store is listed', async () => {
    const clock = new VirtualClock()
    const markers = new SoftwareMarkers({ clock, isFirstStart: false, viewAgeMs: () => 0, versionsOf: () => new Set(['v1']) })
    markers.onList([{ service: 's', version: 'v1', era: 0 }], 0)
    expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.deep.equal({ withUnknown: false })
    expect(markers.dueWrite('s', 'v1', { isLeader: false })).to.equal(undefined)
    markers.onWritten({ service: 's', version: 'v1', era: 0 })
    for (let lists = 0; lists < 4; lists++) {
      await clock.advance(markerRenewalMs / 4)
      markers.onList([{ service: 's', version: 'v1', era: 0 }], 0)
    }
    expect(markers.dueWrite('s', 'v1', { isLeader: true })).to.deep.equal({ withUnknown: false })
  })
})
