import { expect } from 'chai'
import { Condition, Ledger } from './soak/ledger.js'

describe('ledger of the soak', () => {
  let ledger: Ledger
  let link: Condition
  beforeEach(() => {
    ledger = new Ledger()
    link = new Condition()
    ledger.backends.set('i1', link)
    ledger.onElected('n1')
  })

  // A link that held an order up until its holder was elected again counted as a fence that had not grown (ONE).
  it('allows an order of an earlier term of its holder that a link held up', () => {
    ledger.onOrder('i2', 'n1', 5)
    link.begin('link holds')
    ledger.onElected('n1')
    ledger.onOrder('i1', 'n1', 5)
    link.end('link holds')
    ledger.onOrder('i1', 'n1', 5)
    expect(ledger.violations).to.deep.equal([])
  })

  it('reports a fence that the holder had before, over a link without a fault', () => {
    ledger.onOrder('i1', 'n1', 5)
    link.begin('link holds')
    link.end('link holds')
    ledger.onElected('n1')
    ledger.onOrder('i1', 'n1', 5)
    expect(ledger.violations.join()).to.match(/^ONE .* 5 was in use when it was elected/)
  })

  it('reports a fence of another holder, and one that the holder has not used, over a link with a fault', () => {
    ledger.onOrder('i1', 'n1', 5)
    link.begin('link holds')
    ledger.onElected('n2')
    ledger.onOrder('i1', 'n2', 5)
    ledger.onElected('n1')
    ledger.onOrder('i1', 'n1', 4)
    expect(ledger.violations.map(text => text.split(' ')[0])).to.deep.equal(['ONE', 'ONE', 'ONE'])
  })
})
