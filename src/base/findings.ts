/** Mistakes in input, collected with their place and reported together. */

/** One mistake in a file. `line` is 1-based; 0 means the file as a whole. */
export interface Finding {
  file: string
  line: number
  /** `section.key`, or the section alone. */
  key: string
  severity: 'error' | 'warning'
  /** What was found. */
  found: string
  /** What is allowed. */
  allowed: string
}

/** One line of text for a finding: `file:line: severity: key: found; allowed: …`. */
export function formatFinding (finding: Finding): string {
  const { file, line, key, severity, found, allowed } = finding
  return `${file}:${line}: ${severity}: ${key}: ${found}; allowed: ${allowed}`
}

/** Thrown when input has at least one finding of severity `error`. Nothing of the input is applied. */
export class FindingsError extends Error {
  constructor (readonly findings: readonly Finding[]) {
    super(findings.map(formatFinding).join('\n'))
    this.name = 'FindingsError'
  }
}

/** Whether `findings` forbid that the input is applied. */
export function hasErrors (findings: readonly Finding[]): boolean {
  return findings.some(finding => finding.severity === 'error')
}
