import { execFile } from 'node:child_process'
import { cpSync, mkdirSync, mkdtempSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve as resolvePath } from 'node:path'
import { expect } from 'chai'

const root = resolvePath(import.meta.dirname, '../..')

/** What a run with the reporter prints where one test fails with `violations` and KNOWN-RED.txt lists it for LOST. */
function report (violations: string[]): Promise<{ output: string, exitCode: number }> {
  const directory = mkdtempSync(join(tmpdir(), 'teaselrill-reporter-'))
  mkdirSync(join(directory, 'scripts'))
  symlinkSync(join(root, 'node_modules'), join(directory, 'node_modules'))
  cpSync(join(root, 'scripts/countReporter.cjs'), join(directory, 'scripts/countReporter.cjs'))
  writeFileSync(join(directory, 'KNOWN-RED.txt'), "a soak: npm test -- -g 'some soak keeps promises', only LOST\n")
  writeFileSync(join(directory, 'some.spec.mjs'), `import { expect } from 'chai'
describe('some soak', () => {
  it('keeps promises', () => { expect(${JSON.stringify(violations)}).to.deep.equal([]) })
  it('starts', () => {})
})
`)
  const options = ['--no-config', '--reporter', 'scripts/countReporter.cjs', 'some.spec.mjs']
  return new Promise(resolve => {
    execFile(process.execPath, [join(root, 'node_modules/mocha/bin/mocha.js'), ...options], { cwd: directory }, (error, stdout) => {
      resolve({ output: stdout, exitCode: Number(error?.code ?? 0) })
    })
  })
}

describe('count reporter', () => {
  it('passes over a listed test and prints it', async () => {
    // Guards against a list of known failures that CI does not heed.
    const { output, exitCode } = await report(['LOST at 1.00 s: x', 'LOST at 2.00 s: y'])
    expect(output).to.include('known red: some soak keeps promises')
    expect(output).to.match(/^1 passed, 0 failed$/m)
    expect(exitCode).to.equal(0)
  })

  it('fails where a listed test shows anything else', async () => {
    const { output, exitCode } = await report(['LOST at 1.00 s: x', 'TWICE at 2.00 s: y'])
    expect(output).to.match(/^1 passed, 1 failed$/m)
    expect(exitCode).to.equal(1)
  })
})
