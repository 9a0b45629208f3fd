import { expect } from 'chai'
import { fit } from '../src/bench/capacityFit.js'

describe('capacity fit', () => {
  const series = { role: 'r', measure: 'm', varied: 'nodes', fixed: '', targetSize: 340 }

  // Guards against extrapolations from a wrong slope, or from fewer than four sizes.
  it('extrapolates a line', () => {
    expect(fit({ ...series, points: [[20, 50], [40, 90], [80, 170], [160, 330]] })).to.include({ slope: 2, intercept: 10, atTarget: 690 })
    expect(() => fit({ ...series, points: [[20, 50], [40, 90], [80, 170]] })).to.throw('3 sizes')
  })
})
