import { expect } from 'chai'
import { AccountAccess } from '../src/policy/accountAccess.js'
import { hashKey } from '../src/policy/accountKeys.js'

const account = { name: 'a', keyHashes: [hashKey('k1'), hashKey('k2')] }
const strict = new AccountAccess([account, { name: 'b', keyHashes: [hashKey('k2'), hashKey('k3')] }], { keyRemovalMs: 5000 })
const open = new AccountAccess([account])
const closedRoute = { isPublic: false }
const publicRoute = { isPublic: true }

describe('account access', () => {
  // Guards against a removed key that a cut-off node accepts longer than the limit, less the tenth for clocks.
  it('accepts a key up to 0.9 of the limit', () => {
    expect(strict.decide({ keyHash: hashKey('k1'), route: closedRoute, confirmedAgeMs: 4500 })).to.deep.equal({ kind: 'allowed', account })
    expect(strict.decide({ keyHash: hashKey('k1'), route: closedRoute, confirmedAgeMs: 4501 })).to.deep.equal({ kind: 'stale', retryAfterMs: 500, account })
    expect(strict.decide({ keyHash: hashKey('k1'), route: closedRoute, confirmedAgeMs: Infinity }).kind).to.equal('stale')
  })

  // Guards against refusals on deployments whose settings have no limit.
  it('accepts a known key at any age without a limit', () => {
    expect(open.decide({ keyHash: hashKey('k1'), route: closedRoute, confirmedAgeMs: Infinity })).to.deep.equal({ kind: 'allowed', account })
  })

  // Guards against a 401 for a key that was added a moment ago.
  it('refuses an unknown or missing key for good only with a current configuration', () => {
    for (const access of [strict, open]) {
      for (const key of ['other', '', undefined]) {
        expect(access.decide({ keyHash: key === undefined ? undefined : hashKey(key), route: closedRoute, confirmedAgeMs: 1000 })).to.deep.equal({ kind: 'unknown-key' })
        expect(access.decide({ keyHash: key === undefined ? undefined : hashKey(key), route: closedRoute, confirmedAgeMs: 1001 })).to.deep.include({ kind: 'stale', retryAfterMs: 500 })
      }
    }
  })

  // Guards against public routes that ask for keys, and against a removed key that still counts for its account there.
  it('asks for no key on a public route', () => {
    for (const key of ['other', undefined]) expect(strict.decide({ keyHash: key === undefined ? undefined : hashKey(key), route: publicRoute, confirmedAgeMs: Infinity })).to.deep.equal({ kind: 'allowed', account: undefined })
    expect(strict.decide({ keyHash: hashKey('k1'), route: publicRoute, confirmedAgeMs: 0 })).to.deep.equal({ kind: 'allowed', account })
    expect(strict.decide({ keyHash: hashKey('k1'), route: publicRoute, confirmedAgeMs: 4501 })).to.deep.equal({ kind: 'allowed', account: undefined })
  })

  // Guards against a key whose account depends on the order in which configurations came.
  it('gives a key of two accounts to the first', () => {
    expect(strict.decide({ keyHash: hashKey('k2'), route: closedRoute, confirmedAgeMs: 0 })).to.deep.equal({ kind: 'allowed', account })
  })
})
