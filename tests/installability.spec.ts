import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import semver from 'semver'

interface PackageEntry { engines?: { node?: string } }

const supportedMajor = 20
const packages: Record<string, PackageEntry> = JSON.parse(readFileSync('package-lock.json', 'utf8')).packages
const manifest: PackageEntry = JSON.parse(readFileSync('package.json', 'utf8'))

/** Lowest release of the supported major version that the range accepts. */
function lowestRelease (range: string): string {
  const releases = semver.validRange(range)?.split('||') ?? []
  const candidates = releases.filter(part => semver.intersects(part, `^${supportedMajor}`)).map(part => {
    const lowest = semver.minVersion(part)?.version ?? `${supportedMajor}.0.0`
    return semver.major(lowest) < supportedMajor ? `${supportedMajor}.0.0` : lowest
  })
  return semver.sort(candidates)[0] ?? `${supportedMajor}.0.0`
}

describe('installability', () => {
  // A higher floor makes `npm ci` fail at once on machines that all dependencies accept.
  it('asks for the lowest Node.js release that all dependencies accept', () => {
    const demands = Object.entries(packages).filter(([name]) => name !== '').flatMap(([, entry]) => entry.engines?.node ?? [])
    const floor = semver.sort(demands.map(lowestRelease)).at(-1)
    expect(manifest.engines?.node).to.equal(`>=${floor}`)
    expect(packages['']?.engines?.node).to.equal(`>=${floor}`)
  })

  // A dependency that drops the supported major version would fail only when a user installs it.
  it('has no dependency that rejects the lowest supported release', () => {
    const lowest = semver.minVersion(manifest.engines?.node ?? '')?.version ?? ''
    const rejecting = Object.entries(packages).filter(([, entry]) => entry.engines?.node && !semver.satisfies(lowest, entry.engines.node)).map(([name]) => name)
    expect(rejecting).to.deep.equal([])
  })
})
