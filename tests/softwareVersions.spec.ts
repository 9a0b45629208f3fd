import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { streamEvents, VersionedFleet } from './fixtures/versionedFleet.js'
import type { Course, TakeUp } from './fixtures/versionedFleet.js'

const streamCount = 24
/** Events of every stream that its client has when the disruption begins. */
const eventsBefore = 20
/** Time within which a stream that can't go on is refused. */
const atOnceMs = 1000
const listMs = 150
const waitMs = 5000
/** The second name begins with the first one. */
const versions = ['v1', 'v1.1']

/** Least share of taken-up streams that go on, of the share of new ones that begin. */
const leastShare = 0.5

interface Expectation {
  /** Versions of which two engines serve throughout. */
  served: readonly string[]
  /** Versions of which no engine serves any more. */
  gone?: readonly string[]
}

describe('streams of several software versions', function () {
  this.timeout(60_000)
  let fleet: VersionedFleet

  async function start (names: readonly string[]): Promise<void> {
    fleet = new VersionedFleet(names)
    await fleet.start()
  }
  afterEach(() => fleet.stop())

  /** Reads streams at all nodes and disrupts them in their middle. */
  async function play ({ disrupt, beforeTakeUp = () => Promise.resolve() }: { disrupt: () => Promise<void> | void, beforeTakeUp?: () => Promise<void> }): Promise<Course[]> {
    let ready = 0
    let onAllReady = () => {}
    const allReady = new Promise<void>(resolve => { onAllReady = resolve })
    const courses = Array.from({ length: streamCount }, (_, index) => fleet.follow(index, {
      onEvent: ({ id }) => { if (id === eventsBefore && ++ready === streamCount) onAllReady() },
      beforeTakeUp
    }))
    await allReady
    await disrupt()
    fleet.goOn()
    return Promise.all(courses)
  }

  function check (courses: readonly Course[], { served, gone = [] }: Expectation): void {
    const streams = courses.flatMap(course => course.streams)
    const takeUps = courses.flatMap(course => course.takeUps)
    const mixed = streams.filter(events => new Set(events.map(({ version }) => version)).size > 1)
    const seen = `${mixed.length} streams with events of two versions; ${takeUps.length} taken up: ${countsOf(takeUps).join('; ')}`
    expect(mixed.map(summaryOf), seen).to.deep.equal([])
    const wrong = courses.map(({ streams }) => streams.at(-1)!).filter(events => events.length !== streamEvents || events.some(({ id }, index) => id !== index + 1))
    expect(wrong.map(summaryOf), 'streams that look whole and are not').to.deep.equal([])
    for (const version of served) checkShare(takeUps.filter(one => one.version === version), `${version}: ${seen}`)
    const late = takeUps.filter(({ version, status, afterMs }) => gone.includes(version) && (status !== 503 || afterMs > atOnceMs))
    expect(late, 'not refused at once').to.deep.equal([])
    expect(fleet.ledger.violations).to.deep.equal([])
  }

  // Guards against versions that fail without a disruption.
  it('keep to their version without a disruption', async () => {
    await start(versions)
    const courses = await play({ disrupt: () => {} })
    check(courses, { served: versions })
    expect(new Set(courses.map(({ streams }) => streams[0]![0]!.version))).to.have.all.keys(versions)
    expect(courses.flatMap(({ takeUps }) => takeUps)).to.deep.equal([])
  })

  // Guards against an answer that is continued at an engine of another version.
  it('keep to their version when one of its engines crashes', async () => {
    await start(versions)
    check(await play({ disrupt: () => fleet.crash(fleet.enginesOf('v1').slice(0, 1)) }), { served: ['v1.1'] })
  })

  // Guards against streams that go on at another version, or whose clients wait, when all engines of theirs are gone.
  it('are refused at once when all engines of their version crash', async () => {
    await start(versions)
    check(await play({ disrupt: () => fleet.crash(fleet.enginesOf('v1')) }), { served: ['v1.1'], gone: ['v1'] })
  })

  // Guards against a node that does not know which version began a stream at another node.
  it('go on at their version when one node is killed', async () => {
    await start(versions)
    const courses = await play({ disrupt: () => fleet.nodes[0]!.signal('SIGKILL') })
    check(courses, { served: versions })
    // Nodes that have run all along serve new streams, so that the share is one of something.
    expect(courses.flatMap(({ takeUps }) => takeUps).filter(({ statusOfNew }) => statusOfNew === 200)).to.not.be.empty
  })

  // Guards against versions that only the processes know that have ended.
  it('go on at their version when all nodes are killed', async () => {
    await start(versions)
    check(await play({ disrupt: () => fleet.killAllNodes() }), { served: versions })
  })

  // Guards against nodes that take the only version in the list for that of every stream.
  it('are refused when their version leaves the list before all nodes are killed', async () => {
    await start(versions)
    const disrupt = async () => {
      for (const engine of fleet.enginesOf('v1')) fleet.leaveList(engine)
      await sleep(listMs)
      fleet.killAllNodes()
    }
    check(await play({ disrupt }), { served: ['v1.1'], gone: ['v1'] })
  })

  // Guards against versions that are forgotten before clients return.
  it('go on at their version when clients return 5 s after all nodes were killed', async () => {
    await start(versions)
    check(await play({ disrupt: () => fleet.killAllNodes(), beforeTakeUp: () => sleep(waitMs) }), { served: versions })
  })

  // Guards against refusals where there is only one version.
  it('go on when all nodes are killed and there is one version', async () => {
    await start(['v1'])
    check(await play({ disrupt: () => fleet.killAllNodes() }), { served: ['v1'] })
  })
})

/** Checks the share of taken-up streams that go on against that of new streams at the same nodes at the same moments. */
function checkShare (takeUps: readonly TakeUp[], seen: string): void {
  const goOn = takeUps.filter(({ status }) => status === 200).length
  const begin = takeUps.filter(({ statusOfNew }) => statusOfNew === 200).length
  expect(goOn, `go on of ${takeUps.length} taken up, while ${begin} new ones begin; ${seen}`).to.be.at.least(leastShare * begin)
}

function countsOf (takeUps: readonly TakeUp[]): string[] {
  const kinds = new Map<string, { count: number, longestMs: number }>()
  for (const { version, status, statusOfNew, afterMs } of takeUps) {
    const kind = `${version} ${status}, new streams ${statusOfNew}`
    const { count, longestMs } = kinds.get(kind) ?? { count: 0, longestMs: 0 }
    kinds.set(kind, { count: count + 1, longestMs: Math.max(longestMs, afterMs) })
  }
  return [...kinds].map(([kind, { count, longestMs }]) => `${kind}: ${count}, after at most ${Math.round(longestMs)} ms`)
}

function summaryOf (events: readonly { id: number, version: string }[]): string {
  return events.map(({ id, version }) => `${id} ${version}`).filter((_, index) => index === 0 || events[index]!.version !== events[index - 1]!.version || index === events.length - 1).join(', ')
}
