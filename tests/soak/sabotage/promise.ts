/** Answers 503 where it is not known whether the request has run. */
import { ServerResponse } from 'node:http'

const { writeHead } = ServerResponse.prototype
ServerResponse.prototype.writeHead = function (this: ServerResponse, status: number, ...rest: unknown[]) {
  return Reflect.apply(writeHead, this, [status === 502 || status === 504 ? 503 : status, ...rest])
} as typeof writeHead
