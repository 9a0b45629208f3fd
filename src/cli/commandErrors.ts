/** Errors that end a command with a certain exit code. */

/** Success. */
export const exitOk = 0
/** The command could not do its work. */
export const exitFailure = 1
/** Bad usage or input; nothing was done. */
export const exitBadInput = 2

/** Bad usage or input: exit code 2. */
export class UsageError extends Error {}

/** The command failed: exit code 1. */
export class CommandError extends Error {}
